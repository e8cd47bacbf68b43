//! Tests of host processes whose store is restored from a copy, so that it gives out versions again.

use std::time::Duration;

use ebonytack_stand_in::{StandInInstance, StandInStore, StoreFault, configuration};

use nix::sys::signal::Signal;

use crate::host::{FAST, HostProcess, KEY};

/// The time in which hosts read what was written.
const READ_TIME: Duration = Duration::from_millis(1_500);
/// How long the store is away.
const AWAY_TIME: Duration = Duration::from_millis(300);
/// The time after the return of the store from which a host counts as undisturbed; changes have to be
/// in force 2 s after they were made.
const CALM_TIME: Duration = Duration::from_secs(3);
const NEW_KEY: &str = "new-key";

/// Hosts of one data centre, of which the first reads the store for the others.
struct RestoredFleet {
    store: StandInStore,
    stays: StandInInstance,
    leaves: StandInInstance,
    hosts: Vec<HostProcess>,
}

impl RestoredFleet {
    async fn start(name: &str) -> Self {
        Self::start_hosts(name, 3).await
    }

    async fn start_hosts(name: &str, count: usize) -> Self {
        let store = StandInStore::start().await.expect("the store starts");
        store.put_configuration(&configuration(1, &[KEY, NEW_KEY]));
        let [stays, leaves] =
            [start_instance(&store, "stays").await, start_instance(&store, "leaves").await];
        let mut hosts = Vec::new();
        for number in 1..=count {
            hosts.push(HostProcess::start(&format!("{name}-{number}"), &store).await);
        }
        for host in &hosts[1..] {
            host.wait_for_line(&["Operator is read from 127.0.0.1"]).await;
            host.wait_for_line(&["Instances is read from 127.0.0.1"]).await;
        }
        tokio::time::sleep(READ_TIME).await;
        Self { store, stays, leaves, hosts }
    }

    /// The store goes away, and is restored from its last copy; `change` is made at once.
    async fn restore(&self, change: impl FnOnce(&StandInStore)) {
        self.store.set_fault(StoreFault::Busy);
        tokio::time::sleep(AWAY_TIME).await;
        let lost = self.store.restore();
        self.store.write_again(lost);
        change(&self.store);
        self.store.set_fault(StoreFault::None);
    }

    /// Returns the status with which each host answers a request with this key.
    async fn statuses(&self, key: &str) -> Vec<u16> {
        let mut statuses = Vec::new();
        for host in &self.hosts {
            statuses.push(host.request("/order/1", "o", key).await);
        }
        statuses
    }
}

async fn start_instance(store: &StandInStore, id: &str) -> StandInInstance {
    let instance = StandInInstance::start(id, FAST).await.expect("an instance starts");
    store.put_instance(id, Some(instance.registration("stock", "ready")));
    instance
}

/// Guards against a version that is given out again for a change of which the hosts then hear nothing:
/// they have read that version before, and ask for what came after it.
#[actix_rt::test]
async fn key_withdrawn_under_a_version_that_was_read_before_is_refused() {
    let fleet = RestoredFleet::start("reused").await;
    let store = &fleet.store;
    store.copy();
    for revision in [2, 3] {
        store.put_configuration(&configuration(revision, &[KEY, NEW_KEY]));
    }
    let read_version = store.version();
    tokio::time::sleep(READ_TIME).await;
    assert_eq!(fleet.statuses(KEY).await, [200; 3]);
    fleet.restore(|store| store.put_configuration(&configuration(4, &[NEW_KEY]))).await;
    assert_eq!(store.version(), read_version, "the version is given out again");
    tokio::time::sleep(CALM_TIME).await;
    assert_eq!(fleet.statuses(KEY).await, [401; 3]);
    assert_eq!(fleet.statuses(NEW_KEY).await, [200; 3]);
}

/// Guards against hosts that refuse what a restored store returns because they have read a higher
/// version before.
#[actix_rt::test]
async fn key_withdrawn_under_a_lower_version_than_was_read_before_is_refused() {
    let fleet = RestoredFleet::start("lower").await;
    let store = &fleet.store;
    store.copy();
    for revision in 2..=20 {
        store.put_configuration(&configuration(revision, &[KEY, NEW_KEY]));
    }
    let read_version = store.version();
    tokio::time::sleep(READ_TIME).await;
    fleet.restore(|store| store.put_configuration(&configuration(21, &[NEW_KEY]))).await;
    assert!(store.version() < read_version, "the versions are lower than before");
    tokio::time::sleep(CALM_TIME).await;
    assert_eq!(fleet.statuses(KEY).await, [401; 3]);
    assert_eq!(fleet.statuses(NEW_KEY).await, [200; 3]);
}

/// Guards against the same for the entry of an instance: a host goes on using an instance that was
/// withdrawn under a version that it has read before.
#[actix_rt::test]
async fn instance_withdrawn_under_a_version_that_was_read_before_is_not_used() {
    let fleet = RestoredFleet::start("withdrawn-entry").await;
    let store = &fleet.store;
    store.copy();
    for _ in 0..2 {
        store.put_instance("stays", Some(fleet.stays.registration("stock", "ready")));
    }
    let read_version = store.version();
    tokio::time::sleep(READ_TIME).await;
    fleet.restore(|store| store.put_instance("leaves", None)).await;
    assert_eq!(store.version(), read_version, "the version is given out again");
    tokio::time::sleep(CALM_TIME).await;
    let before = fleet.leaves.received_count();
    for _ in 0..10 {
        assert_eq!(fleet.statuses(KEY).await, [200; 3]);
    }
    assert_eq!(fleet.leaves.received_count(), before, "the instance was withdrawn");
}

/// Guards against all hosts of a data centre that read all rows of a restored store.
#[actix_rt::test]
async fn one_host_reads_all_rows_of_a_restored_store() {
    let fleet = RestoredFleet::start_hosts("once", 6).await;
    fleet.store.copy();
    let before = fleet.store.full_read_count();
    fleet.restore(|store| store.put_configuration(&configuration(2, &[NEW_KEY]))).await;
    tokio::time::sleep(CALM_TIME).await;
    assert_eq!(fleet.statuses(KEY).await, [401; 6]);
    assert_eq!(fleet.store.full_read_count() - before, 3, "each of the three tables is read once");
}

/// Guards against hosts that the store turns away and that learn of its restore from a peer only, and
/// against a second restore in a row.
#[actix_rt::test]
async fn hosts_that_read_from_a_peer_follow_two_restores_in_a_row() {
    let mut fleet = RestoredFleet::start("twice").await;
    let rejecting = fleet.store.open_address().await.expect("a port is free");
    fleet.hosts.push(HostProcess::start("twice-4", &rejecting).await);
    fleet.hosts[3].wait_for_line(&["Operator is read from 127.0.0.1"]).await;
    fleet.store.copy();
    for revision in [2, 3] {
        fleet.store.put_configuration(&configuration(revision, &[KEY, NEW_KEY]));
    }
    tokio::time::sleep(READ_TIME).await;
    rejecting.set_fault(StoreFault::Busy);
    fleet.restore(|store| store.put_configuration(&configuration(4, &[KEY, NEW_KEY]))).await;
    tokio::time::sleep(AWAY_TIME).await;
    fleet.restore(|store| store.put_configuration(&configuration(5, &[NEW_KEY]))).await;
    tokio::time::sleep(CALM_TIME).await;
    assert_eq!(fleet.statuses(KEY).await, [401; 4]);
    assert_eq!(fleet.statuses(NEW_KEY).await, [200; 4]);
    fleet.hosts[3].wait_for_line(&["\"event\":\"store-restored\"", "\"era\":3"]).await;
}

/// Guards against a host that takes over while the one from which it reads is paused over a restore, and
/// against that host, which wakes with a copy of the earlier era.
#[actix_rt::test]
async fn restore_beside_a_hand_over_is_followed_by_both_hosts() {
    let fleet = RestoredFleet::start("handed-over").await;
    fleet.store.copy();
    for revision in [2, 3] {
        fleet.store.put_configuration(&configuration(revision, &[KEY, NEW_KEY]));
    }
    tokio::time::sleep(READ_TIME).await;
    fleet.hosts[0].signal(Signal::SIGSTOP);
    fleet.restore(|store| store.put_configuration(&configuration(4, &[NEW_KEY]))).await;
    tokio::time::sleep(CALM_TIME).await;
    for host in &fleet.hosts[1..] {
        assert_eq!(host.request("/order/1", "o", KEY).await, 401);
    }
    fleet.hosts[0].signal(Signal::SIGCONT);
    tokio::time::sleep(CALM_TIME).await;
    assert_eq!(fleet.statuses(KEY).await, [401; 3]);
    assert_eq!(fleet.statuses(NEW_KEY).await, [200; 3]);
}

/// Guards against a host that stays unknown to the others because the restored store lacks its row, which
/// it reads from a peer.
#[actix_rt::test]
async fn host_whose_row_was_lost_registers_again() {
    let mut fleet = RestoredFleet::start("registered").await;
    fleet.store.copy();
    fleet.hosts.push(HostProcess::start("registered-4", &fleet.store).await);
    fleet.hosts[3].wait_for_line(&["Members is read from 127.0.0.1"]).await;
    let registered = fleet.store.members();
    assert_eq!(registered.len(), 4);
    fleet.restore(|store| assert_eq!(store.members().len(), 3)).await;
    for host in &fleet.hosts {
        host.signal(Signal::SIGHUP);
    }
    tokio::time::sleep(CALM_TIME).await;
    assert_eq!(fleet.store.members(), registered);
    assert_eq!(fleet.statuses(KEY).await, [200; 4]);
}
