//! Exchanges against a peer that answers with given bytes.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, Uri};
use bytes::Bytes;
use ebonytack_http::{
    ConnectSettings, Connection, Exchange, ExchangeError, ExchangeErrorKind, IncomingResponse,
    OutgoingRequest,
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

/// How a peer ends its connection.
#[derive(Clone, Copy, PartialEq)]
enum End {
    Stay,
    Close,
    Reset,
}

/// Starts a peer that reads up to `read` bytes and answers with `answer`.
async fn peer(read: usize, answer: &'static str, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection comes");
        let mut buffer = vec![0; read];
        let count = stream.read(&mut buffer).await.expect("a request comes");
        assert!(count > 0, "the request has bytes");
        stream.write_all(answer.as_bytes()).await.expect("the answer is written");
        match end {
            End::Stay => tokio::time::sleep(Duration::from_secs(5)).await,
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
    OutgoingRequest { method: Method::POST, target: Uri::from_static("/a/b?c=d"), headers, body }
}

async fn run(
    address: SocketAddr,
    body: Option<Bytes>,
) -> Result<(IncomingResponse, Option<Connection>), ExchangeError> {
    let connection = Connection::open(address, &SETTINGS).await?;
    let exchange = Exchange { echo: Some((ID, "mine".to_owned())), body_max_bytes: 1_000_000 };
    let request = request(body);
    let run = exchange.run(connection, &request);
    tokio::time::timeout(Duration::from_secs(3), run).await.expect("the exchange ends")
}

#[actix_rt::test]
async fn a_whole_answer_leaves_its_connection_for_the_next_request() {
    let answer =
        "HTTP/1.1 200 OK\r\nx-id: mine\r\nkeep-alive: timeout=7\r\ncontent-length: 5\r\n\r\nhello";
    let (answer, kept) = run(peer(4_096, answer, End::Stay).await, None).await.expect("an answer");
    assert_eq!(&answer.body[..], b"hello");
    let kept = kept.expect("the connection stays");
    assert_eq!(kept.idle_limit(), Some(Duration::from_secs(7)));
    assert!(kept.is_clean());
}

#[actix_rt::test]
async fn an_answer_to_another_request_is_skipped() {
    let answers = "HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 5\r\n\r\nwrongHTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 5\r\n\r\nright";
    let (answer, _) = run(peer(4_096, answers, End::Stay).await, None).await.expect("an answer");
    assert_eq!(&answer.body[..], b"right");
}

#[actix_rt::test]
async fn a_connection_with_bytes_after_the_answer_is_not_kept() {
    let answer = "HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n";
    let (_, kept) = run(peer(4_096, answer, End::Stay).await, None).await.expect("an answer");
    assert!(kept.is_none());
}

#[actix_rt::test]
async fn bytes_that_come_unasked_make_a_kept_connection_unusable() {
    let answer = "HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 2\r\n\r\nok";
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection comes");
        let mut buffer = [0; 1_024];
        let count = stream.read(&mut buffer).await.expect("a request comes");
        assert!(count > 0);
        stream.write_all(answer.as_bytes()).await.expect("the answer is written");
        tokio::time::sleep(Duration::from_millis(100)).await;
        stream.write_all(answer.as_bytes()).await.expect("the second answer is written");
        tokio::time::sleep(Duration::from_secs(5)).await;
    });
    let (_, kept) = run(address, None).await.expect("an answer");
    let kept = kept.expect("nothing came yet");
    assert!(kept.is_clean());
    tokio::time::sleep(Duration::from_millis(250)).await;
    assert!(!kept.is_clean());
}

#[actix_rt::test]
async fn an_answer_without_length_is_whole_at_an_orderly_end_only() {
    let answer = "HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\nall of it";
    let (whole, kept) = run(peer(4_096, answer, End::Close).await, None).await.expect("an answer");
    assert_eq!(&whole.body[..], b"all of it");
    assert!(kept.is_none());
    let error = run(peer(4_096, answer, End::Reset).await, None).await.expect_err("a reset");
    assert_eq!((error.kind, error.sent), (ExchangeErrorKind::Broken, true));
}

#[actix_rt::test]
async fn torn_answers_are_no_answers() {
    let torn = [
        "HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 50\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nx-id: mine\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 O",
    ];
    for answer in torn {
        let error = run(peer(4_096, answer, End::Close).await, None).await.expect_err("torn");
        assert_eq!((error.kind, error.sent), (ExchangeErrorKind::Broken, true), "{answer}");
    }
    let error = run(peer(4_096, "\u{1}\u{2}nonsense\r\n\r\n", End::Close).await, None).await;
    let error = error.expect_err("no HTTP");
    assert_eq!((error.kind, error.sent), (ExchangeErrorKind::Malformed, true));
}

#[actix_rt::test]
async fn an_answer_that_comes_before_the_body_was_read_is_taken_and_its_connection_dropped() {
    let answer = "HTTP/1.1 413 Too Large\r\nx-id: mine\r\ncontent-length: 0\r\n\r\n";
    let body = Bytes::from(vec![b'x'; 16 * 1024 * 1024]);
    let address = peer(1_024, answer, End::Stay).await;
    let (answer, kept) = run(address, Some(body)).await.expect("an answer");
    assert_eq!(answer.status.as_u16(), 413);
    assert!(kept.is_none());
}

#[actix_rt::test]
async fn a_port_without_listener_gets_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    drop(listener);
    let error = run(address, None).await.expect_err("nobody listens");
    assert_eq!((error.kind, error.sent), (ExchangeErrorKind::Connect, false));
}

#[actix_rt::test]
async fn a_closed_connection_is_not_clean() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    let connection = Connection::open(address, &SETTINGS).await.expect("a connection");
    let (stream, _) = listener.accept().await.expect("the other end");
    assert!(connection.is_clean());
    drop(stream);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!connection.is_clean());
}
