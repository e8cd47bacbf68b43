//! Crowds of requests with large heads of legal size.

use std::time::Duration;

use ebonytack_stand_in::Behaviour;

use crate::crowd::{Framing, connect, order_head};
use crate::limited_host::{HostLimits, LimitedHost, SMALL};

/// As many connections as fit into the memory of [`SMALL`].
const CROWD: usize = 240;
const HEADERS: usize = 60;
const HEADER_BYTES: usize = 235;
const BODY_BYTES: usize = 120_000;
/// Instances that take long enough for all requests of the crowd to be held at the same time.
const SLOW: Behaviour = Behaviour::Answer(Duration::from_millis(1_500));

/// Returns a complete order with a head of 15 KB.
fn order_with_large_head(number: usize) -> Vec<u8> {
    let mut bytes = order_head(&format!("o-{number}"), Framing::Announced(BODY_BYTES));
    bytes.truncate(bytes.len() - 2);
    for header in 0..HEADERS {
        bytes.extend_from_slice(format!("x-header-{header}: ").as_bytes());
        bytes.resize(bytes.len() + HEADER_BYTES, b'v');
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.resize(bytes.len() + BODY_BYTES, b'b');
    bytes
}

/// Guards against memory that grows with the heads of requests, beside the bodies.
#[actix_rt::test]
async fn many_requests_with_large_heads_and_bodies() {
    let limits = HostLimits { descriptors: 2_000, ..SMALL };
    let mut host = LimitedHost::start("heads", limits, &[SLOW; 20]).await;
    let connections = connect(host.callers(), CROWD, order_with_large_head).await;
    host.check().await;
    drop(connections);
}
