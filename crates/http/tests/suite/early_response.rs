//! Exchanges with a peer that responds while the request is still being written.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use ebonytack_http::{ExchangeError, ExchangeErrorKind};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::run;

/// More than the sockets of both sides hold.
const UPLOAD_BYTES: usize = 16 * 1024 * 1024;
const EXCHANGES: usize = 20;

/// How the peer ends the connection after its response.
#[derive(Clone, Copy, Debug)]
enum End {
    /// Closes it with `SO_LINGER` 0.
    Reset,
    /// Closes it while bytes of the request are unread, for which the kernel resets it.
    CloseUnread,
    /// Ends its stream, and keeps the connection.
    Shutdown,
    /// Ends its stream, and reads the request to its end.
    ShutdownAndRead,
    /// Ends its stream, and resets the connection at once.
    ShutdownAndReset,
}

/// Starts a peer that reads 1 KiB of the request, sends `response` and ends the connection after
/// `pause`.
async fn start_peer(response: &'static str, pause: Duration, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let mut buffer = vec![0; 1_024];
        let count = stream.read(&mut buffer).await.expect("a request is read");
        assert!(count > 0, "the request is not empty");
        stream.write_all(response.as_bytes()).await.expect("the response is written");
        tokio::time::sleep(pause).await;
        match end {
            End::Reset => reset(stream),
            End::CloseUnread => {}
            End::ShutdownAndReset => {
                stream.shutdown().await.expect("the stream ends");
                reset(stream);
            }
            End::Shutdown => {
                stream.shutdown().await.expect("the stream ends");
                tokio::time::sleep(Duration::from_secs(5)).await;
            }
            End::ShutdownAndRead => {
                stream.shutdown().await.expect("the stream ends");
                while matches!(stream.read(&mut buffer).await, Ok(1..)) {}
            }
        }
    });
    address
}

fn reset(stream: TcpStream) {
    // Fails only after the client has closed the connection.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// Runs an exchange and returns the status and body of its response.
async fn upload(
    response: &'static str,
    pause: Duration,
    end: End,
) -> Result<(u16, Bytes), ExchangeError> {
    let address = start_peer(response, pause, end).await;
    let outcome = run(address, Some(Bytes::from(vec![b'x'; UPLOAD_BYTES]))).await;
    outcome.map(|(response, _)| (response.status.as_u16(), response.body.to_bytes()))
}

/// Guards against a part of a body that passes for the whole: a write takes the error of the reset, and
/// the next read reports the end of the stream.
#[actix_rt::test]
async fn early_response_without_a_length_is_incomplete_after_a_reset() {
    let responses = [
        "HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\nsixteen bytes of",
        "HTTP/1.1 413 Too Large\r\nx-id: mine\r\n\r\nsixteen bytes of",
    ];
    let mut complete = Vec::new();
    for response in responses {
        for end in [End::Reset, End::CloseUnread] {
            for pause_ms in [0, 5, 50] {
                for _ in 0..EXCHANGES {
                    match upload(response, Duration::from_millis(pause_ms), end).await {
                        Ok((status, _)) => complete.push((status, end, pause_ms)),
                        Err(error) => {
                            let expected =
                                ExchangeError { kind: ExchangeErrorKind::Broken, sent: true };
                            assert_eq!(error, expected);
                        }
                    }
                }
            }
        }
    }
    assert!(complete.is_empty(), "{} of 240 are complete: {complete:?}", complete.len());
}

/// Guards against the same where the peer's process ends with nothing unread, which ends the stream
/// without a reset: a success before the whole request was sent does not show that it is whole.
#[actix_rt::test]
async fn early_success_without_a_length_is_incomplete() {
    for end in [End::Shutdown, End::ShutdownAndRead, End::ShutdownAndReset] {
        for response in [
            "HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\nsixteen bytes of",
            "HTTP/1.1 302 Found\r\nx-id: mine\r\nlocation: /\r\n\r\nsixteen bytes of",
        ] {
            let error = upload(response, Duration::ZERO, end).await.expect_err(response);
            assert_eq!((error.kind, error.sent), (ExchangeErrorKind::Broken, true), "{end:?}");
        }
    }
}

/// Guards against a refusal of a large body that its caller does not get (RFC 9112, section 9.5).
#[actix_rt::test]
async fn early_error_without_a_length_is_complete_after_an_orderly_end() {
    let response = "HTTP/1.1 413 Too Large\r\nx-id: mine\r\n\r\ntoo large";
    for end in [End::Shutdown, End::ShutdownAndRead, End::ShutdownAndReset] {
        for _ in 0..EXCHANGES {
            let (status, body) = upload(response, Duration::ZERO, end).await.expect("a response");
            assert_eq!((status, &body[..]), (413, &b"too large"[..]), "{end:?}");
        }
    }
}

/// Guards against a complete response that fails because the rest of the request cannot be sent.
#[actix_rt::test]
async fn early_response_with_a_length_is_complete_after_a_reset() {
    let response = "HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 5\r\n\r\nhello";
    for end in [End::Reset, End::CloseUnread, End::Shutdown] {
        for _ in 0..EXCHANGES {
            let outcome = upload(response, Duration::from_millis(20), end).await;
            let (status, body) = outcome.expect("a response");
            assert_eq!((status, &body[..]), (200, &b"hello"[..]), "{end:?}");
        }
    }
}

/// Guards against a kernel that reports a reset otherwise than the exchange assumes: to a write, after
/// which reads report the end of the stream; and as `BrokenPipe` if the peer had ended its stream.
#[test]
fn reset_is_reported_once() {
    for (ends_stream, expected) in
        [(false, ErrorKind::ConnectionReset), (true, ErrorKind::BrokenPipe)]
    {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the socket is bound");
        let mut client = std::net::TcpStream::connect(address).expect("the peer listens");
        let (peer, _) = listener.accept().expect("the client connects");
        if ends_stream {
            peer.shutdown(Shutdown::Write).expect("the stream ends");
        }
        SockRef::from(&peer).set_linger(Some(Duration::ZERO)).expect("the socket takes the option");
        drop(peer);
        std::thread::sleep(Duration::from_millis(50));
        let error = client.write(b"x").expect_err("the connection is reset");
        assert_eq!(error.kind(), expected);
        assert_eq!(client.read(&mut [0; 8]).expect("the end of the stream"), 0);
    }
}
