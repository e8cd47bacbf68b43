//! Responses that have no end or that are not read.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

use ebonytack_stand_in::{Behaviour, Caller};

use crate::crowd::{Framing, connect, lookup, order_head};
use crate::host::{FAST, KEY};
use crate::limited_host::{LimitedHost, SMALL};

const CROWD: usize = 40;
const PIECE_BYTES: usize = 64 * 1024;
/// The head of a response whose body ends with its connection.
const SIGNED_HEAD: &str = "HTTP/1.1 200 OK\r\nx-ebonytack-response-seal: 1\r\n\r\n";

/// Starts a server that answers the first request of each connection with `start`, and then repeats
/// `repeated` without end.
fn start_endless_instance(start: &'static str, repeated: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut request = [0; 4_096];
                if stream.read(&mut request).is_err() {
                    return;
                }
                let piece = repeated.repeat(PIECE_BYTES / repeated.len());
                let mut result = stream.write_all(start.as_bytes());
                while result.is_ok() {
                    result = stream.write_all(piece.as_bytes());
                }
            });
        }
    });
    address
}

/// Guards against memory that grows with the number of responses without end.
#[actix_rt::test]
async fn endless_responses_of_instances() {
    let mut host = LimitedHost::start("endless", SMALL, &[FAST, FAST, FAST]).await;
    for index in [0, 1] {
        host.replace_instance(index, start_endless_instance(SIGNED_HEAD, "x")).await;
    }
    let connections = connect(host.callers(), CROWD, |number| lookup(&format!("l-{number}"))).await;
    host.check().await;
    drop(connections);
}

/// Guards against memory that grows with bytes of instances that are no response, in a head or in a
/// body, and against other callers that lose their connections by it.
#[actix_rt::test]
async fn endless_bytes_that_are_no_response() {
    let chunk_extension = "HTTP/1.1 200 OK\r\nx-ebonytack-response-seal: 1\r\n\
                           transfer-encoding: chunked\r\n\r\n5;";
    for (start, repeated) in [
        ("HTTP/1.1 200 OK\r\n", "x-filler: 0123456789abcdef\r\n"),
        ("HTTP/1.1 200 OK\r\nx-filler: ", "x"),
        ("HTTP/1.1 ", "2"),
        ("", "\0no response\r\n"),
        ("", "\r\n"),
        ("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
        ("", "HTTP/1.1 200 OK\r\nx-ebonytack-request-id: x\r\ncontent-length: 1\r\n\r\nx"),
        (SIGNED_HEAD, "HTTP/1.1 200 OK\r\n"),
        (chunk_extension, "x"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x-trailer: 1\r\n"),
    ] {
        let mut host = LimitedHost::start("no-response", SMALL, &[FAST, FAST, FAST]).await;
        for index in [0, 1] {
            host.replace_instance(index, start_endless_instance(start, repeated)).await;
        }
        let crowd = connect(host.callers(), CROWD, |number| match number % 2 {
            0 => lookup(&format!("l-{number}")),
            _ => order_head(&format!("o-{number}"), Framing::Announced(0)),
        });
        let address = host.callers();
        let ordinary = async {
            let mut caller = Caller::new(address);
            for number in 0..10 {
                let id = format!("ordinary-{number}");
                let response = caller.send("/lookup/1", &id, KEY, 2_000).await;
                let status = response.map(|response| response.status.as_u16());
                assert!(status.is_ok(), "{start:?} {repeated:?}: {status:?}");
            }
        };
        let (connections, ()) = tokio::join!(crowd, ordinary);
        host.check().await;
        drop(connections);
    }
}

/// Guards against memory held for callers that do not read their responses.
#[actix_rt::test]
async fn callers_that_do_not_read_large_responses() {
    let large = Behaviour::AnswerLarge(4 * 1024 * 1024);
    let mut host = LimitedHost::start("unread", SMALL, &[large, large]).await;
    let connections = connect(host.callers(), CROWD, |number| lookup(&format!("l-{number}"))).await;
    for instance in &host.instances {
        instance.set_behaviour(FAST);
    }
    host.check().await;
    drop(connections);
}
