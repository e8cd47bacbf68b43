//! The path of a request through real processes.

use std::net::SocketAddr;

use ebonytack_testbed::{Caller, InstanceFault};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{plan, run};

/// Sends bytes and returns everything that comes back.
async fn raw(host: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(host).await.expect("the host listens");
    stream.write_all(request.as_bytes()).await.expect("the host reads");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("the host answers");
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn a_request_with_a_key_reaches_an_instance_without_it() {
    run(plan(), async |fleet| {
        let request = "GET /catalogue/rods?size=3&api%5Fkey=key-club HTTP/1.1\r\nHost: fleet\r\n\
            X-API-Key: key-club\r\nx-api-key: key-club\r\nAuthorization: Bearer key-club\r\n\
            X-Copy: copy of key-club\r\nConnection: x-named, close\r\nX-Named: dropped\r\n\r\n";
        for host in 1..=3 {
            let answer = raw(fleet.callers(host), request).await;
            assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("xxx"), "{answer}");
        }
        let seen = fleet.upstream("catalogue").ledger();
        let seen: Vec<_> = seen.iter().filter(|entry| entry.path.contains("rods")).collect();
        assert_eq!(seen.len(), 3);
        for entry in seen {
            assert!(entry.path.ends_with("/catalogue/rods?size=3"), "{}", entry.path);
            let text = format!("{entry:?}");
            assert!(!text.contains("key-club") && !text.contains("x-named"), "{text}");
        }
    });
}

#[test]
fn requests_without_a_valid_key_are_refused_as_not_run() {
    run(plan(), async |fleet| {
        let caller = Caller::new();
        let before = fleet.upstream("catalogue").ledger().len();
        let host = fleet.callers(1);
        for (path, key, status, reason) in [
            ("/catalogue/rods", "", 401, "key-missing"),
            ("/catalogue/rods", "wrong", 403, "key-refused"),
            ("/nowhere", "key-club", 404, "no-route"),
            ("/catalogue/%2e%2e/orders", "key-club", 400, "bad-request"),
            ("/catalogue/key-club", "key-club", 400, "bad-request"),
        ] {
            let reply = caller.get(host, path, key).await;
            assert_eq!((reply.status, reply.reason.as_deref()), (status, Some(reason)), "{path}");
            assert!(reply.is_not_run(), "{path}");
        }
        assert_eq!(fleet.upstream("catalogue").ledger().len(), before);
    });
}

#[test]
fn lookups_survive_cut_answers_and_refusing_instances() {
    run(plan(), async |fleet| {
        let caller = Caller::new();
        let upstream = fleet.upstream("catalogue");
        let cut = InstanceFault { truncate_percent: 100, ..InstanceFault::default() };
        upstream.set("catalogue-1", cut);
        let refuse = InstanceFault { refuse: true, ..InstanceFault::default() };
        upstream.set("catalogue-2", refuse);
        for _ in 0..40 {
            let reply = caller.get(fleet.callers(1), "/catalogue/rods", "key-club").await;
            assert_eq!((reply.status, reply.body.len()), (200, 64));
        }
    });
}
