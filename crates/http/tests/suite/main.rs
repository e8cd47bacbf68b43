//! Exchanges against a peer that sends fixed bytes.

mod body;
mod broken;
mod early_response;
mod endless;

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, Uri};
use bytes::Bytes;
use ebonytack_http::{
    Body, ConnectSettings, Connection, Exchange, ExchangeError, ExchangeErrorKind,
    IncomingResponse, OutgoingRequest,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const SETTINGS: ConnectSettings = ConnectSettings {
    timeout: Duration::from_millis(500),
    keep_alive_interval_s: 1,
    keep_alive_probes_max: 2,
    user_timeout: Duration::from_secs(2),
};
const ID: HeaderName = HeaderName::from_static("x-id");

/// What the peer does with the connection after its response.
#[derive(Clone, Copy, PartialEq)]
enum End {
    StayOpen,
    Close,
    Reset,
}

/// Starts a peer that accepts one connection, reads once, up to `read_max_bytes`, and sends
/// `response`.
async fn start_peer(read_max_bytes: usize, response: &'static str, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let mut buffer = vec![0; read_max_bytes];
        let count = stream.read(&mut buffer).await.expect("a request is read");
        assert!(count > 0, "the request is not empty");
        stream.write_all(response.as_bytes()).await.expect("the response is written");
        match end {
            End::StayOpen => tokio::time::sleep(Duration::from_secs(5)).await,
            End::Close => {}
            End::Reset => {
                tokio::time::sleep(Duration::from_millis(50)).await;
                socket2::SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .expect("the socket takes the option");
            }
        }
    });
    address
}

fn request(body: Option<Bytes>) -> OutgoingRequest {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_static("shop.example"));
    headers.insert(ID, HeaderValue::from_static("mine"));
    let (target, body) = (Uri::from_static("/a/b?c=d"), body.map(Body::from));
    OutgoingRequest { method: Method::POST, target, headers, body }
}

async fn run(
    address: SocketAddr,
    body: Option<Bytes>,
) -> Result<(IncomingResponse, Option<Connection>), ExchangeError> {
    let connection = Connection::open(address, &SETTINGS).await?;
    let exchange =
        Exchange { echo: Some((ID, "mine".to_owned())), body_max_bytes: 1_000_000, memory: None };
    let request = request(body);
    let exchange_run = exchange.run(connection, &request);
    tokio::time::timeout(Duration::from_secs(3), exchange_run).await.expect("the exchange ends")
}

#[actix_rt::test]
async fn connection_is_reusable_after_complete_response() {
    let response =
        "HTTP/1.1 200 OK\r\nx-id: mine\r\nkeep-alive: timeout=7\r\ncontent-length: 5\r\n\r\nhello";
    let (response, connection) =
        run(start_peer(4_096, response, End::StayOpen).await, None).await.expect("a response");
    assert_eq!(&response.body.to_bytes()[..], b"hello");
    let connection = connection.expect("the connection is reusable");
    assert_eq!(connection.idle_limit(), Some(Duration::from_secs(7)));
    assert!(connection.is_reusable());
}

#[actix_rt::test]
async fn response_with_other_request_id_is_skipped() {
    let responses = "HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 5\r\n\r\nwrongHTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 5\r\n\r\nright";
    let (response, _) =
        run(start_peer(4_096, responses, End::StayOpen).await, None).await.expect("a response");
    assert_eq!(&response.body.to_bytes()[..], b"right");
}

#[actix_rt::test]
async fn extra_bytes_after_response_prevent_reuse() {
    let response =
        "HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n";
    let (_, connection) =
        run(start_peer(4_096, response, End::StayOpen).await, None).await.expect("a response");
    assert!(connection.is_none());
}

#[actix_rt::test]
async fn unsolicited_bytes_on_idle_connection_prevent_reuse() {
    let response = "HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 2\r\n\r\nok";
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let mut buffer = [0; 1_024];
        let count = stream.read(&mut buffer).await.expect("a request is read");
        assert!(count > 0);
        stream.write_all(response.as_bytes()).await.expect("the response is written");
        tokio::time::sleep(Duration::from_millis(100)).await;
        stream.write_all(response.as_bytes()).await.expect("the second response is written");
        tokio::time::sleep(Duration::from_secs(5)).await;
    });
    let (_, connection) = run(address, None).await.expect("a response");
    let connection = connection.expect("no unsolicited bytes yet");
    assert!(connection.is_reusable());
    tokio::time::sleep(Duration::from_millis(250)).await;
    assert!(!connection.is_reusable());
}

/// Starts a peer that responds to the first request, and to the second one with a late copy of that
/// response before the response proper.
async fn start_repeating_peer(copy: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let first = "HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 5\r\n\r\nfirst";
        let second = "HTTP/1.1 200 OK\r\nx-id: next\r\ncontent-length: 6\r\n\r\nsecond";
        for response in [first.to_owned(), format!("{copy}{second}")] {
            let count = stream.read(&mut [0; 4_096]).await.expect("a request is read");
            assert!(count > 0);
            stream.write_all(response.as_bytes()).await.expect("the response is written");
        }
        tokio::time::sleep(Duration::from_secs(5)).await;
    });
    address
}

#[actix_rt::test]
async fn late_copy_of_response_never_reaches_next_request() {
    let copies = [
        "HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 5\r\n\r\nfirst",
        "HTTP/1.1 200 OK\r\nx-id: another\r\ncontent-length: 5\r\n\r\nfirst",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst",
        "HTTP/1.1 500 Failed\r\ncontent-length: 5\r\n\r\nfirst",
        "HTTP/1.1 503 Full\r\nx-id: mine\r\nx-not-run: 1\r\ncontent-length: 5\r\n\r\nfirst",
        "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 5\r\n\r\nfirst",
        "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nconnection: close\r\n\r\nfirst",
        "HTTP/1.1 421 Misdirected\r\nx-id: mine\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 429 Too Many\r\nx-not-run: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\nfirst",
        "first",
    ];
    for copy in copies {
        let (response, connection) =
            run(start_repeating_peer(copy).await, None).await.expect("a response");
        assert_eq!(&response.body.to_bytes()[..], b"first");
        let connection = connection.expect("the connection is reusable");
        let exchange =
            Exchange { echo: Some((ID, "next".to_owned())), body_max_bytes: 1_000, memory: None };
        let request = request(None);
        let second = exchange.run(connection, &request);
        match tokio::time::timeout(Duration::from_millis(500), second).await {
            Ok(Ok((response, _))) => assert_eq!(&response.body.to_bytes()[..], b"second", "{copy}"),
            Ok(Err(error)) => assert!(error.sent, "{copy}: the request may have run"),
            Err(_) => {}
        }
    }
}

/// Guards against an earlier refusal, sent once more, that passes for the response to a running request:
/// a request with the id of an earlier one cannot be told from it on the same connection.
#[actix_rt::test]
async fn request_with_an_earlier_id_is_not_sent_on_the_same_connection() {
    let copy = "HTTP/1.1 503 Full\r\nx-id: mine\r\nx-not-run: 1\r\ncontent-length: 5\r\n\r\nfirst";
    let (_, connection) = run(start_repeating_peer(copy).await, None).await.expect("a response");
    let connection = connection.expect("the connection is reusable");
    let exchange =
        Exchange { echo: Some((ID, "mine".to_owned())), body_max_bytes: 1_000, memory: None };
    let error = exchange.run(connection, &request(None)).await.expect_err("nothing is sent");
    assert_eq!((error.kind, error.sent), (ExchangeErrorKind::IdReused, false));
}

#[actix_rt::test]
async fn close_delimited_response_needs_orderly_close() {
    let response = "HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\nall of it";
    let (response_at_close, connection) =
        run(start_peer(4_096, response, End::Close).await, None).await.expect("a response");
    assert_eq!(&response_at_close.body.to_bytes()[..], b"all of it");
    assert!(connection.is_none());
    let error = run(start_peer(4_096, response, End::Reset).await, None)
        .await
        .expect_err("connection reset");
    assert_eq!((error.kind, error.sent), (ExchangeErrorKind::Broken, true));
}

#[actix_rt::test]
async fn truncated_or_invalid_response_fails() {
    let truncated = [
        "HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 50\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nx-id: mine\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 O",
    ];
    for response in truncated {
        let error = run(start_peer(4_096, response, End::Close).await, None)
            .await
            .expect_err("truncated response");
        assert_eq!((error.kind, error.sent), (ExchangeErrorKind::Broken, true), "{response}");
    }
    let error = run(start_peer(4_096, "\u{1}\u{2}nonsense\r\n\r\n", End::Close).await, None).await;
    let error = error.expect_err("not HTTP");
    assert_eq!((error.kind, error.sent), (ExchangeErrorKind::Malformed, true));
}

/// Guards against a response that breaks off in its head, or anywhere else, and passes for complete.
#[actix_rt::test]
async fn no_prefix_of_a_framed_response_passes_for_complete() {
    let responses = [
        "HTTP/1.1 200 OK\r\nx-id: mine\r\nx-seal: 3e1b\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-seal: 3e1b\r\nx-id: mine\r\n\r\nhello",
        "HTTP/1.1 200 OK\nx-id: mine\ncontent-length: 5\n\nhello",
        "HTTP/1.1 200 OK\r\nx-id: mine\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nx-id: mine\r\n\r\n",
    ];
    for response in responses {
        for length in 0..response.len() {
            let prefix = &response[..length];
            let error = run(start_peer(4_096, prefix, End::Close).await, None).await;
            let error = error.expect_err(prefix);
            assert!(error.sent, "{prefix:?}: the request may have run");
        }
        let (complete, _) = run(start_peer(4_096, response, End::Close).await, None)
            .await
            .unwrap_or_else(|error| panic!("{response}: {error}"));
        assert!(complete.status.is_success());
    }
}

/// The same for responses that end with their connection: their head must be complete.
#[actix_rt::test]
async fn no_prefix_of_a_head_passes_for_a_close_delimited_response() {
    let head = "HTTP/1.1 200 OK\r\nx-id: mine\r\nx-seal: 3e1b\r\n\r\n";
    for length in 0..head.len() {
        let prefix = &head[..length];
        let error = run(start_peer(4_096, prefix, End::Close).await, None).await;
        assert!(error.expect_err(prefix).sent, "{prefix:?}");
    }
}

#[actix_rt::test]
async fn early_response_is_returned_and_connection_dropped() {
    let response = "HTTP/1.1 413 Too Large\r\nx-id: mine\r\ncontent-length: 0\r\n\r\n";
    let body = Bytes::from(vec![b'x'; 16 * 1024 * 1024]);
    let address = start_peer(1_024, response, End::StayOpen).await;
    let (response, connection) = run(address, Some(body)).await.expect("a response");
    assert_eq!(response.status.as_u16(), 413);
    assert!(connection.is_none());
}

#[actix_rt::test]
async fn refused_connection_reports_nothing_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    drop(listener);
    let error = run(address, None).await.expect_err("nobody listens");
    assert_eq!((error.kind, error.sent), (ExchangeErrorKind::Connect, false));
}

#[actix_rt::test]
async fn connection_closed_by_peer_is_not_reusable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    let connection = Connection::open(address, &SETTINGS).await.expect("a connection");
    let (stream, _) = listener.accept().await.expect("the peer accepts");
    assert!(connection.is_reusable());
    drop(stream);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!connection.is_reusable());
}
