//! Tests of how a host selects the source from which it reads the store's tables.

use std::net::SocketAddr;
use std::time::Duration;

use ebonytack_core::Random;
use ebonytack_gateway::{ReadPeers, Source, SourceSelector};

const NOW: Duration = Duration::from_secs(100);
/// Maximum time until a host probes whether the store is reachable again.
const PROBE_DELAY_MAX: Duration = Duration::from_millis(300);

fn address(host: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], host))
}

/// Returns the peers of host `own` among ten live hosts.
fn read_peers(own: u16) -> ReadPeers {
    ReadPeers {
        preceding: (1..own).map(address).collect(),
        following: (own + 1..=10).map(address).collect(),
    }
}

fn selector() -> SourceSelector {
    SourceSelector::new(Random::new(1))
}

#[test]
fn first_host_reads_the_store_and_others_read_from_it() {
    assert_eq!(selector().choose(&read_peers(1), NOW), Ok(Source::Store));
    for own in 2..=10 {
        assert_eq!(selector().choose(&read_peers(own), NOW), Ok(Source::Peer(address(1))));
    }
    assert_eq!(selector().choose(&ReadPeers::default(), NOW), Ok(Source::Store));
}

#[test]
fn next_host_by_name_replaces_a_host_that_refuses_reads() {
    let mut second = selector();
    second.on_refusal(Source::Peer(address(1)), NOW);
    assert_eq!(second.choose(&read_peers(2), NOW), Ok(Source::Store));
    let mut ninth = selector();
    ninth.on_refusal(Source::Peer(address(1)), NOW);
    assert_eq!(ninth.choose(&read_peers(9), NOW), Ok(Source::Peer(address(2))));
    let later = NOW + Duration::from_secs(1);
    assert_eq!(ninth.choose(&read_peers(9), later), Ok(Source::Peer(address(1))));
}

#[test]
fn host_that_cannot_reach_the_store_reads_from_the_next_host() {
    let mut first = selector();
    first.on_failure(Source::Store, &read_peers(1), NOW);
    assert_eq!(first.choose(&read_peers(1), NOW), Ok(Source::Peer(address(2))));
}

#[test]
fn unreachable_store_is_probed_within_300_ms_by_one_call() {
    let mut first = selector();
    first.on_failure(Source::Store, &read_peers(1), NOW);
    for host in 2..=10 {
        first.on_refusal(Source::Peer(address(host)), NOW);
    }
    let wait = first.choose(&read_peers(1), NOW).expect_err("all sources have a backoff");
    assert!(wait <= PROBE_DELAY_MAX, "{wait:?}");
    let then = NOW + wait;
    assert_eq!(first.choose(&read_peers(1), then), Ok(Source::Store));
    assert_ne!(first.choose(&read_peers(1), then), Ok(Source::Store));
    assert!(first.on_success(Source::Store));
    assert_eq!(first.choose(&read_peers(1), then), Ok(Source::Store));
}

#[test]
fn last_host_by_name_rarely_probes_the_store() {
    let mut last = selector();
    let (mut now, mut calls) = (NOW, 0);
    while now < NOW + Duration::from_secs(30) {
        match last.choose(&read_peers(10), now) {
            Ok(Source::Store) => {
                calls += 1;
                last.on_failure(Source::Store, &read_peers(10), now);
            }
            Ok(peer) => last.on_refusal(peer, now),
            Err(wait) => now += wait,
        }
    }
    assert!(calls <= 45, "{calls} calls in 30 s");
}
