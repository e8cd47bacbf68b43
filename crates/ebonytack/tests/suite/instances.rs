//! Tests of a host process against instances that misbehave, and entries that are late or invalid.

use std::time::{Duration, Instant};

use ebonytack_stand_in::{Behaviour, EndlessPart, RawInstance, StandInInstance};

use crate::host::{FAST, Fixture, HostProcess, KEY};

/// Guards against a registration that the store performs late, after a newer one of the instance.
#[actix_rt::test]
async fn late_registration_does_not_bring_a_draining_instance_back() {
    let fixture = Fixture::start("late", &[FAST, FAST]).await;
    let draining = &fixture.instances[0];
    let late = draining.registration("stock", "ready");
    fixture.store.put_instance(draining.id(), Some(draining.registration("stock", "draining")));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    fixture.store.put_instance(draining.id(), Some(late));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let requests_before = draining.arrivals().len();
    for _ in 0..20 {
        assert_eq!(fixture.request("/lookup/1", "l").await, 200);
    }
    assert_eq!(draining.arrivals().len(), requests_before);
    fixture.host.wait_for_line(&["\"event\":\"instance-entry-ignored\"", "i-0"]).await;
}

/// Guards against an odd entry of another writer after which a host ends or follows no more changes.
#[actix_rt::test]
async fn odd_entries_among_the_instances_do_not_stop_a_host() {
    let mut fixture = Fixture::start("odd", &[FAST, FAST]).await;
    for (id, entry) in fixture.instances[0].odd_registrations() {
        fixture.store.put_instance(id, Some(entry));
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let left = &fixture.instances[0];
    fixture.store.put_instance(left.id(), Some(left.registration("stock", "draining")));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let requests_before = left.arrivals().len();
    for _ in 0..10 {
        assert_eq!(fixture.request("/lookup/1", "l").await, 200);
    }
    assert_eq!(fixture.instances[0].arrivals().len(), requests_before, "changes are followed");
    // A host that starts reads the odd entries in its first list.
    let second = HostProcess::start("odd-2", &fixture.store).await;
    assert_eq!(second.request("/lookup/1", "l", KEY).await, 200);
    assert!(!fixture.host.has_exited());
}

/// Guards against "not run" for a request that an instance runs, because the instance wrote an
/// earlier refusal once more.
#[actix_rt::test]
async fn repeated_refusal_is_not_taken_for_a_later_response() {
    let fixture = Fixture::start("copy", &[FAST]).await;
    let raw = RawInstance::repeating_refusals().await.expect("an instance starts");
    let registration = fixture.instances[0].registration_at(raw.address, "stock", "ready");
    fixture.store.put_instance("i-0", Some(registration));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let served = async |id: &str| fixture.request("/order/1", id).await;
    assert_eq!((served("o-1").await, raw.accepted_connections()), (503, 1));
    assert_eq!((served("o-2").await, raw.accepted_connections()), (200, 1));
    // The refusal of the first request has this id too, so a new connection is used.
    assert_eq!((served("o-1").await, raw.accepted_connections()), (503, 2));
    // A request without an id never uses a connection that carried another one.
    assert_eq!((served("").await, raw.accepted_connections()), (503, 3));
}

/// Sends requests until `instance` has received one.
async fn reach(fixture: &Fixture, instance: &StandInInstance) {
    for _ in 0..200 {
        if instance.received_count() > 0 {
            return;
        }
        fixture.request("/lookup/1", "l").await;
    }
    panic!("{} receives no request", instance.id());
}

/// Guards against requests to an instance that has said in a response that it leaves.
#[actix_rt::test]
async fn instance_that_says_it_leaves_receives_no_more_requests() {
    let fixture = Fixture::start("leaving", &[FAST, FAST]).await;
    let leaving = &fixture.instances[0];
    leaving.set_extra_header("server-leaving", "1");
    reach(&fixture, leaving).await;
    let received = leaving.received_count();
    // Its entry still says that it is ready, and is written again.
    fixture.store.put_instance(leaving.id(), Some(leaving.registration("stock", "ready")));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    for _ in 0..30 {
        assert_eq!(fixture.request("/lookup/1", "l").await, 200);
    }
    assert_eq!(leaving.received_count(), received);
    fixture.host.wait_for_line(&["\"event\":\"instance-changed\"", "i-0", "leaving"]).await;
}

/// Guards against requests to an instance that has answered 503 with `Retry-After`.
#[actix_rt::test]
async fn instance_receives_no_requests_before_its_retry_after() {
    let fixture = Fixture::start("paused", &[Behaviour::TurnAway, FAST]).await;
    let paused = &fixture.instances[0];
    paused.set_extra_header("retry-after", "1.5");
    reach(&fixture, paused).await;
    let (received, paused_at) = (paused.received_count(), Instant::now());
    paused.set_behaviour(FAST);
    while paused_at.elapsed() < Duration::from_millis(1_300) {
        assert_eq!(fixture.request("/lookup/1", "l").await, 200);
        assert_eq!(paused.received_count(), received);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    for _ in 0..200 {
        fixture.request("/lookup/1", "l").await;
    }
    assert!(paused.received_count() > received, "the instance is used again");
}

/// Guards against bytes without end that are no response, in a head or a body: they must neither hold
/// their caller beyond its time nor the other requests of the host.
#[actix_rt::test]
async fn endless_bytes_end_with_their_attempt() {
    let parts =
        [EndlessPart::Head, EndlessPart::Garbage, EndlessPart::Body, EndlessPart::ChunkExtension];
    for part in parts {
        let fixture = Fixture::start("endless", &[FAST, FAST]).await;
        let raw = RawInstance::endless(part).await.expect("an instance starts");
        let endless = fixture.instances[0].registration_at(raw.address, "stock", "ready");
        fixture.store.put_instance("i-0", Some(endless));
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        let mut statuses = Vec::new();
        for number in 0..12 {
            let (id, sent_at) = (format!("o-{number}"), Instant::now());
            statuses.push(fixture.request("/order/1", &id).await);
            assert!(sent_at.elapsed() < Duration::from_millis(2_300), "{part:?}: {statuses:?}");
        }
        let served = statuses.iter().filter(|status| **status == 200).count();
        assert!(served >= 8, "{part:?}: {statuses:?}");
        let failed = statuses.iter().filter(|status| matches!(**status, 502 | 504)).count();
        assert_eq!(served + failed, statuses.len(), "{part:?}: {statuses:?}");
        assert!(failed > 0, "{part:?}: no order reached the endless instance");
        let deadline = Instant::now() + Duration::from_secs(3);
        while raw.open_connections() > 0 {
            assert!(Instant::now() < deadline, "{part:?}: the connection is closed");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
