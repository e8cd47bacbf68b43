//! From whom the tables of the store are read.

use std::net::SocketAddr;
use std::time::Duration;

use ebonytack_core::Random;
use ebonytack_gateway::{ReadPeers, Source, SourceSelector};

const NOW: Duration = Duration::from_secs(100);
/// The most time in which a host has to notice that the store is back.
const RETURN_NOTICED_MAX: Duration = Duration::from_millis(300);

fn address(host: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], host))
}

/// Returns what the host of this number hears of ten.
fn readers(own: u16) -> ReadPeers {
    ReadPeers {
        preceding: (1..own).map(address).collect(),
        following: (own + 1..=10).map(address).collect(),
    }
}

fn sources() -> SourceSelector {
    SourceSelector::new(Random::new(1))
}

#[test]
fn the_first_host_reads_the_store_and_the_others_read_from_it() {
    assert_eq!(sources().choose(&readers(1), NOW), Ok(Source::Store));
    for own in 2..=10 {
        assert_eq!(sources().choose(&readers(own), NOW), Ok(Source::Peer(address(1))));
    }
    assert_eq!(sources().choose(&ReadPeers::default(), NOW), Ok(Source::Store));
}

#[test]
fn the_next_host_reads_when_the_first_one_does_not() {
    let mut second = sources();
    second.on_refusal(Source::Peer(address(1)), NOW);
    assert_eq!(second.choose(&readers(2), NOW), Ok(Source::Store));
    let mut ninth = sources();
    ninth.on_refusal(Source::Peer(address(1)), NOW);
    assert_eq!(ninth.choose(&readers(9), NOW), Ok(Source::Peer(address(2))));
    let later = NOW + Duration::from_secs(1);
    assert_eq!(ninth.choose(&readers(9), later), Ok(Source::Peer(address(1))));
}

#[test]
fn a_host_that_the_store_turns_away_reads_from_a_later_one() {
    let mut first = sources();
    first.on_failure(Source::Store, &readers(1), NOW);
    assert_eq!(first.choose(&readers(1), NOW), Ok(Source::Peer(address(2))));
}

#[test]
fn the_store_is_asked_again_soon_and_by_one_call_at_a_time() {
    let mut first = sources();
    first.on_failure(Source::Store, &readers(1), NOW);
    for host in 2..=10 {
        first.on_refusal(Source::Peer(address(host)), NOW);
    }
    let wait = first.choose(&readers(1), NOW).expect_err("nobody is left to ask");
    assert!(wait <= RETURN_NOTICED_MAX, "{wait:?}");
    let then = NOW + wait;
    assert_eq!(first.choose(&readers(1), then), Ok(Source::Store));
    assert_ne!(first.choose(&readers(1), then), Ok(Source::Store));
    assert!(first.on_success(Source::Store));
    assert_eq!(first.choose(&readers(1), then), Ok(Source::Store));
}

#[test]
fn an_outage_costs_hosts_with_readers_few_calls() {
    let mut last = sources();
    let (mut now, mut calls) = (NOW, 0);
    while now < NOW + Duration::from_secs(30) {
        match last.choose(&readers(10), now) {
            Ok(Source::Store) => {
                calls += 1;
                last.on_failure(Source::Store, &readers(10), now);
            }
            Ok(peer) => last.on_refusal(peer, now),
            Err(wait) => now += wait,
        }
    }
    assert!(calls <= 45, "{calls} calls in 30 s");
}
