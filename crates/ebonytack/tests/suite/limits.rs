//! Tests of the responses to callers that exceed a limit.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::host::{FAST, Fixture, HostProcess, KEY};

/// How long a host may take to respond or to close a connection.
const LIMIT: Duration = Duration::from_secs(10);

fn order_head(id: &str, headers: &str) -> String {
    format!(
        "POST /order/1 HTTP/1.1\r\nhost: shop.example\r\nx-ebonytack-request-id: {id}\r\n\
         x-ebonytack-credential: {KEY}\r\nx-ebonytack-deadline-ms: 1000\r\n{headers}\r\n\r\n"
    )
}

async fn send(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("the host accepts");
    stream.write_all(bytes).await.expect("the bytes are sent");
    stream
}

/// Reads until the host closes the connection, and returns what it sent.
async fn read_to_end(mut stream: TcpStream) -> String {
    let mut received = Vec::new();
    let read = tokio::time::timeout(LIMIT, stream.read_to_end(&mut received));
    // A reset ends the connection as well.
    let _ = read.await.expect("the host closes the connection");
    String::from_utf8_lossy(&received).into_owned()
}

/// Guards against a host that waits for a body which it will refuse.
#[actix_rt::test]
async fn announced_body_over_the_limit_is_refused_unread() {
    let fixture = Fixture::start("over", &[FAST]).await;
    let head = order_head("o-1", "content-length: 65537");
    let response = read_to_end(send(fixture.host.callers, head.as_bytes()).await).await;
    assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
    assert!(response.to_lowercase().contains("connection: close"), "{response}");
    assert_eq!(fixture.run_count("o-1"), 0);
}

/// Guards against a caller that is asked for a body which the host then refuses.
#[actix_rt::test]
async fn announced_body_over_the_limit_is_refused_without_100_continue() {
    let fixture = Fixture::start("expect", &[FAST]).await;
    let expect = |bytes| format!("content-length: {bytes}\r\nexpect: 100-continue");
    let head = order_head("o-1", &expect(65_537));
    let response = read_to_end(send(fixture.host.callers, head.as_bytes()).await).await;
    assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
    assert!(response.to_lowercase().contains("connection: close"), "{response}");
    // A body within the limit is asked for.
    let head = order_head("o-2", &expect(2));
    let mut stream = send(fixture.host.callers, head.as_bytes()).await;
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).await.expect("an interim response");
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"ok").await.expect("the body is sent");
    let mut status = [0; 12];
    stream.read_exact(&mut status).await.expect("a response");
    assert_eq!(&status, b"HTTP/1.1 200");
    assert_eq!((fixture.run_count("o-1"), fixture.run_count("o-2")), (0, 1));
}

/// Guards against bodies that arrive byte by byte, each within the time for the next one.
#[actix_rt::test]
async fn body_slower_than_its_deadline_is_refused() {
    let fixture = Fixture::start("slow", &[FAST]).await;
    let head = order_head("o-1", "content-length: 1000");
    let mut stream = send(fixture.host.callers, head.as_bytes()).await;
    for _ in 0..30 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        if stream.write_all(b"x").await.is_err() {
            break;
        }
    }
    let response = read_to_end(stream).await;
    assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
    assert_eq!(fixture.run_count("o-1"), 0);
}

/// Guards against bodies that are taken out of turn by the limits of a read: pieces of all sizes.
#[actix_rt::test]
async fn body_in_pieces_and_chunks_arrives_complete() {
    let fixture = Fixture::start("pieces", &[FAST]).await;
    let body: Vec<u8> = (0..60_000_u32).map(|index| b'a' + (index % 23) as u8).collect();
    for (number, chunk_bytes) in [1, 1_000, 60_000].into_iter().enumerate() {
        let id = format!("o-{number}");
        let mut bytes =
            order_head(&id, "connection: close\r\ntransfer-encoding: chunked").into_bytes();
        for chunk in body.chunks(chunk_bytes) {
            bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        let response = read_to_end(send(fixture.host.callers, &bytes).await).await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        // The instance sends back what it received.
        assert!(response.as_bytes().ends_with(&body), "chunks of {chunk_bytes}");
    }
}

/// Guards against requests that are lost when they arrive before the response to the last one.
#[actix_rt::test]
async fn pipelined_requests_are_all_served() {
    let fixture = Fixture::start("pipelined", &[FAST]).await;
    let mut bytes = String::new();
    for number in 0..12 {
        let connection = if number == 11 { "close" } else { "keep-alive" };
        let headers = format!("connection: {connection}\r\ncontent-length: 6000");
        bytes += &order_head(&format!("o-{number}"), &headers);
        bytes += &"x".repeat(6_000);
    }
    let response = read_to_end(send(fixture.host.callers, bytes.as_bytes()).await).await;
    assert_eq!(response.matches("HTTP/1.1 200 ").count(), 12, "{response}");
}

/// Guards against heads that are collected without a bound on size or time.
#[actix_rt::test]
async fn heads_are_limited_in_size_and_time() {
    let fixture = Fixture::start("heads", &[FAST]).await;
    let large = order_head("o-1", &format!("x-filler: {}", "x".repeat(40_000)));
    let response = read_to_end(send(fixture.host.callers, large.as_bytes()).await).await;
    assert!(response.is_empty() || response.starts_with("HTTP/1.1 431 "), "{response}");
    // A head within the limit of 16 KiB is served.
    let allowed = format!("connection: close\r\ncontent-length: 1\r\nx-a: {}", "x".repeat(15_000));
    let allowed = order_head("o-2", &allowed) + "x";
    let response = read_to_end(send(fixture.host.callers, allowed.as_bytes()).await).await;
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    let slow = &order_head("o-3", "content-length: 1")[..40];
    let response = read_to_end(send(fixture.host.callers, slow.as_bytes()).await).await;
    assert!(!response.contains(" 200 "), "{response}");
    assert_eq!((fixture.run_count("o-1"), fixture.run_count("o-3")), (0, 0));
}

/// Guards against metrics that are missing when an operator needs them.
#[actix_rt::test]
async fn limits_are_shown_in_the_metrics() {
    let fixture = Fixture::start("shown", &[FAST]).await;
    let head = order_head("o-1", "content-length: 65537");
    read_to_end(send(fixture.host.callers, head.as_bytes()).await).await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    let request = b"GET /metrics HTTP/1.1\r\nhost: host\r\nconnection: close\r\n\r\n";
    let metrics = read_to_end(send(fixture.host.ready, request).await).await;
    for expected in [
        "ebonytack_limit_refusals_total{cause=\"body-too-large\"} 1",
        "ebonytack_memory_held_bytes{kind=\"body\"} 0",
        "ebonytack_caller_connections{state=\"idle\"}",
    ] {
        assert!(metrics.contains(expected), "{expected}\n{metrics}");
    }
}

/// Guards against a host that starts with limits under which it cannot serve.
#[actix_rt::test]
async fn limits_too_low_to_serve_are_rejected() {
    let check = |settings: &str| {
        let file = std::env::temp_dir().join(format!("ebonytack-limits-{}", std::process::id()));
        let text = format!(
            r#"{{{settings}, "name": "a", "data_centre": "a", "fleet_secret": "a secret of enough bytes",
            "listen": {{"callers": "127.0.0.1:1", "ready": "127.0.0.1:2", "peers": "127.0.0.1:3"}},
            "store_address": "127.0.0.1:4", "caller_connections": 100}}"#
        );
        std::fs::write(&file, text).expect("the settings are written");
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_ebonytack"))
            .args(["gateway", "--check", "--settings"])
            .arg(&file)
            .output()
            .expect("the binary runs");
        std::fs::remove_file(&file).expect("the settings are removed");
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    assert_eq!(check(r#""memory_mb": 160, "descriptors": 4100"#).0, Some(0));
    let (status, message) = check(r#""memory_mb": 47, "descriptors": 255"#);
    assert_eq!(status, Some(2), "{message}");
    assert!(message.contains("$.memory_mb: found 47; allowed: at least 48"), "{message}");
    assert!(message.contains("$.descriptors: found 255; allowed: at least 256"), "{message}");
}

/// Guards against a caller that occupies a host by not reading its response.
#[actix_rt::test]
async fn caller_that_does_not_read_its_response_is_disconnected() {
    let large = ebonytack_stand_in::Behaviour::AnswerLarge(16 * 1024 * 1024);
    // Full buffers of 128 KiB take 4 s at this rate.
    let rate = r#""caller_rate_min_bytes_per_s": 32768,"#;
    let fixture = Fixture::start_with("unread", &[large], rate).await;
    let host: &HostProcess = &fixture.host;
    let request = order_head("o-1", "content-length: 1") + "x";
    let stream = send(host.callers, request.as_bytes()).await;
    tokio::time::sleep(Duration::from_millis(7_500)).await;
    let response = read_to_end(stream).await;
    assert!(response.contains("content-length: 16777216"), "the head was sent");
    assert!(response.len() < 16 * 1024 * 1024, "the response does not look complete");
}
