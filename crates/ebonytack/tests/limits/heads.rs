//! Crowds of requests with large heads of legal size.

use std::time::Duration;

use ebonytack_stand_in::Behaviour;

use crate::crowd::{Framing, connect, lookup, order_head};
use crate::limited_host::{HostLimits, LimitedHost, SMALL};

/// As many connections as fit into the memory of [`SMALL`].
const CROWD: usize = 240;
const HEADERS: usize = 60;
const HEADER_BYTES: usize = 235;
const BODY_BYTES: usize = 120_000;
/// Instances that take long enough for all requests of the crowd to be held at the same time.
const SLOW: Behaviour = Behaviour::Answer(Duration::from_millis(1_500));

/// Returns an order with these further headers, and a whole body.
fn order(number: usize, headers: usize, body_bytes: usize) -> Vec<u8> {
    let mut bytes = order_head(&format!("o-{number}"), Framing::Announced(body_bytes));
    bytes.truncate(bytes.len() - 2);
    for header in 0..headers {
        bytes.extend_from_slice(format!("x-header-{header}: ").as_bytes());
        bytes.resize(bytes.len() + HEADER_BYTES, b'v');
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.resize(bytes.len() + body_bytes, b'b');
    bytes
}

/// Guards against memory that grows with the heads of requests, beside the bodies.
#[actix_rt::test]
async fn many_requests_with_large_heads_and_bodies() {
    let limits = HostLimits { descriptors: 2_000, ..SMALL };
    let mut host = LimitedHost::start("heads", limits, &[SLOW; 20]).await;
    let connections =
        connect(host.callers(), CROWD, |number| order(number, HEADERS, BODY_BYTES)).await;
    host.check().await;
    drop(connections);
}

/// Returns what a client of a mixed crowd sends: heads of 0.2 to 15 KB and bodies of up to 120 KB, some
/// sent ahead, some that stop in the middle of a body.
fn mixed(number: usize) -> Vec<u8> {
    match number % 6 {
        0 => order(number, HEADERS, BODY_BYTES),
        1 => order(number, 0, BODY_BYTES),
        2 => order(number, HEADERS, 0),
        3 => order(number, 20, 40_000),
        4 => lookup(&format!("l-{number}")).repeat(3),
        _ => {
            let mut slow = order(number, 10, BODY_BYTES);
            slow.truncate(slow.len() - BODY_BYTES / 2);
            slow
        }
    }
}

/// Guards against memory of a crowd that the account does not know of.
#[actix_rt::test]
async fn account_explains_the_memory_of_a_mixed_crowd() {
    let limits = HostLimits { memory_mb: 160, descriptors: 4_000, ..SMALL };
    let mut host = LimitedHost::start("mixed", limits, &[SLOW; 20]).await;
    let idle = host.memory().await;
    let staying = connect(host.callers(), 400, mixed);
    let leaving = async { drop(connect(host.callers(), 100, mixed).await) };
    let sample = async {
        let mut largest = idle;
        for _ in 0..15 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let memory = host.memory().await;
            if memory.resident_bytes > largest.resident_bytes {
                largest = memory;
            }
        }
        largest
    };
    let (connections, (), largest) = tokio::join!(staying, leaving, sample);
    let growth = largest.resident_bytes - idle.resident_bytes;
    let explained = largest.held_bytes - idle.held_bytes;
    println!("{idle:?}, {largest:?}: {explained} of {growth} bytes explained");
    assert!(growth > 10e6, "the crowd is too small to tell: {growth} bytes");
    assert!(explained >= 0.75 * growth, "{explained} of {growth} bytes are explained");
    host.check().await;
    drop(connections);
}
