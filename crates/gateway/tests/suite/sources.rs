//! Tests of how a host selects the source from which it reads the store's tables.

use std::net::SocketAddr;
use std::time::Duration;

use ebonytack_core::Random;
use ebonytack_gateway::{NoSource, ReadPeers, Source, SourceSelector};
use quickcheck::QuickCheck;

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
    let NoSource { wait, is_outage } =
        first.choose(&read_peers(1), NOW).expect_err("all sources have a backoff");
    assert!(wait <= PROBE_DELAY_MAX && is_outage, "{wait:?}");
    let then = NOW + wait;
    assert_eq!(first.choose(&read_peers(1), then), Ok(Source::Store));
    assert_ne!(first.choose(&read_peers(1), then), Ok(Source::Store));
    first.on_success(Source::Store);
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
            Err(none) => now += none.wait,
        }
    }
    assert!(calls <= 45, "{calls} calls in 30 s");
}

/// Guards against an outage of the store that a host infers from its own earlier failure, while a call
/// that may refute it is under way.
#[test]
fn probe_of_the_store_is_no_outage_until_it_fails() {
    let alone = ReadPeers::default();
    let mut second = selector();
    second.on_failure(Source::Store, &read_peers(2), NOW);
    assert_eq!(second.choose(&read_peers(2), NOW), Ok(Source::Peer(address(1))));
    second.on_success(Source::Peer(address(1)));
    let hand_over = NOW + Duration::from_secs(1);
    assert_eq!(second.choose(&alone, hand_over), Ok(Source::Store));
    for _ in 0..2 {
        let none = second.choose(&alone, hand_over).expect_err("one call at a time probes");
        assert!(!none.is_outage && none.wait <= PROBE_DELAY_MAX, "{none:?}");
    }
    second.on_failure(Source::Store, &alone, hand_over);
    let none = second.choose(&alone, hand_over).expect_err("the store has failed");
    assert!(none.is_outage);
}

/// Guards against a failure that counts for good on a host that reads from another one, which makes no
/// calls to the store that could succeed.
#[test]
fn failure_of_the_store_is_forgotten_without_later_calls() {
    let mut second = selector();
    second.on_failure(Source::Store, &read_peers(2), NOW);
    assert!(second.is_store_suspected(NOW + Duration::from_secs(2)));
    let later = NOW + Duration::from_secs(4);
    assert!(!second.is_store_suspected(later));
    // All followers of tables call the store at once when the other host falls silent.
    for _ in 0..3 {
        assert_eq!(second.choose(&ReadPeers::default(), later), Ok(Source::Store));
    }
}

/// Guards against an outage reported while the last call to the store has succeeded or is under way,
/// over random orders of calls, responses, hand-overs and pauses.
#[test]
fn outage_requires_that_the_last_call_to_the_store_has_failed() {
    fn holds(steps: Vec<(u8, u8)>) -> bool {
        let mut selector = selector();
        let mut now = NOW;
        let mut last_call_failed = false;
        for (step, pause_ms) in steps {
            now += Duration::from_millis(u64::from(pause_ms) * 10);
            let peers = read_peers(u16::from(step % 4) + 1);
            let peers = if step & 16 == 0 { peers } else { ReadPeers::default() };
            match selector.choose(&peers, now) {
                Ok(Source::Store) if step & 32 == 0 => {
                    selector.on_failure(Source::Store, &peers, now);
                    last_call_failed = true;
                }
                Ok(Source::Store) => {
                    last_call_failed = false;
                    // Otherwise the call is still under way when the next source is chosen.
                    if step & 64 == 0 {
                        selector.on_success(Source::Store);
                    }
                }
                Ok(peer) if step & 32 == 0 => selector.on_refusal(peer, now),
                Ok(peer) => selector.on_success(peer),
                Err(none) => {
                    if none.is_outage && !last_call_failed {
                        return false;
                    }
                }
            }
        }
        true
    }
    QuickCheck::new().tests(500).quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against all hosts of a data centre that read all rows of a restored store: the host that reads
/// for them refuses their reads while it is about to read them itself.
#[test]
fn host_waits_for_preceding_peers_before_it_reads_a_restored_store() {
    let mut second = selector();
    second.on_refusal(Source::Peer(address(1)), NOW);
    assert_eq!(second.choose(&read_peers(2), NOW), Ok(Source::Store));
    second.on_restored(NOW);
    let mut now = NOW;
    while now < NOW + Duration::from_millis(900) {
        assert_eq!(second.choose(&read_peers(2), now), Ok(Source::Peer(address(1))));
        second.on_refusal(Source::Peer(address(1)), now);
        let none = second.choose(&read_peers(2), now).expect_err("the peer has just refused");
        assert!(!none.is_outage);
        now += none.wait;
    }
    let almost = NOW + Duration::from_millis(990);
    second.on_failure(Source::Peer(address(1)), &read_peers(2), almost);
    let none = second.choose(&read_peers(2), almost).expect_err("the peer has just failed");
    assert_eq!(none.wait, Duration::from_millis(10), "the store is not waited for any longer");
    let later = NOW + Duration::from_secs(1);
    assert_eq!(second.choose(&read_peers(2), later), Ok(Source::Store));
}

/// Guards against a host without others before it that does not read the restored store at once.
#[test]
fn first_host_reads_a_restored_store_at_once() {
    let mut first = selector();
    first.on_restored(NOW);
    assert_eq!(first.choose(&read_peers(1), NOW), Ok(Source::Store));
    first.on_failure(Source::Store, &read_peers(1), NOW);
    assert_eq!(first.choose(&read_peers(1), NOW), Ok(Source::Peer(address(2))));
}
