//! Tests of host processes that read the store through each other.

use std::time::{Duration, Instant};

use ebonytack_stand_in::{StandInInstance, StandInStore, StoreFault, configuration};
use nix::sys::signal::Signal;

use crate::host::{FAST, HostProcess, KEY};

/// The time within which every host has to stop using an instance whose entry was removed.
const REMOVAL_TIME_MAX: Duration = Duration::from_secs(2);
/// How long after its own store has failed a host has to take over. Longer than the 3 s after which
/// the platform counts the host as undisturbed.
const CALM: Duration = Duration::from_millis(3_500);

/// Guards against an earlier failure of the store that a host takes for a present outage when the
/// host from which it reads falls silent: it then keeps instances whose entries were removed.
#[actix_rt::test]
async fn host_that_lost_the_store_before_stops_using_a_removed_instance_after_a_hand_over() {
    let store = StandInStore::start().await.expect("the store starts");
    store.put_configuration(&configuration(1, &[KEY]));
    let stays = start_instance(&store, "stays").await;
    let leaves = start_instance(&store, "leaves").await;
    let second_door = store.open_address().await.expect("a port is free");
    let reader = HostProcess::start("source-1", &store).await;
    let second = HostProcess::start("source-2", &second_door).await;
    second.wait_for_line(&["Instances is read from 127.0.0.1"]).await;
    // The second host loses the store while the host from which it reads is away.
    second_door.set_fault(StoreFault::Busy);
    reader.signal(Signal::SIGSTOP);
    second.wait_for_line(&["\"event\":\"store\"", "\"reachable\":false"]).await;
    reader.signal(Signal::SIGCONT);
    second.wait_for_line(&["\"event\":\"store\"", "\"reachable\":true"]).await;
    second_door.set_fault(StoreFault::None);
    tokio::time::sleep(CALM).await;

    let lines = |texts: &[&str]| {
        let log = second.log.lock().expect("no thread panicked");
        let lines = log.iter().filter(|line| texts.iter().any(|text| line.contains(text)));
        lines.cloned().collect::<Vec<String>>()
    };
    let outages_before = lines(&["\"reachable\":false"]).len();
    reader.signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_millis(50)).await;
    store.put_instance("leaves", None);
    let removed_at = Instant::now();
    let mut last_used = Duration::ZERO;
    while removed_at.elapsed() < 2 * REMOVAL_TIME_MAX {
        let before = leaves.received_count();
        assert_eq!(second.request("/lookup/1", "l", KEY).await, 200);
        if leaves.received_count() > before {
            last_used = removed_at.elapsed();
        }
    }
    reader.signal(Signal::SIGCONT);
    assert!(stays.received_count() > 0);
    let seen = lines(&["\"event\":\"store\"", "\"instance\":\"leaves\",\"service\""]).join("\n");
    assert!(last_used < REMOVAL_TIME_MAX, "used {last_used:?} after its entry was removed: {seen}");
    let outages = lines(&["\"reachable\":false"]).len();
    assert_eq!(outages, outages_before, "the store was reachable all the time: {seen}");
}

async fn start_instance(store: &StandInStore, id: &str) -> StandInInstance {
    let instance = StandInInstance::start(id, FAST).await.expect("an instance starts");
    store.put_instance(id, Some(instance.registration("stock", "ready")));
    instance
}
