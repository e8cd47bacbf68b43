//! Tests of the `gateway` mode: host processes with a simulated store and simulated instances.

use std::time::{Duration, Instant};

use ebonytack_stand_in::{
    Behaviour, Caller, StandInStore, StoreFault, configuration, configuration_with_customers,
    is_ready,
};
use nix::sys::signal::Signal;

use crate::host::{FAST, Fixture, HostProcess, KEY};

#[actix_rt::test]
async fn api_key_selects_customer_and_unknown_key_gets_401() {
    let fixture = Fixture::start("served", &[FAST]).await;
    let mut caller = Caller::new(fixture.host.callers);
    let response = caller.send("/order/1?x=y", "o-1", KEY, 2_000).await.expect("a response");
    assert_eq!(response.status.as_u16(), 200);
    assert_eq!(&response.body.to_bytes()[..], b"two handle sets");
    assert_eq!(fixture.instances[0].customers(), ["club"]);
    assert_eq!(fixture.instances[0].requests_with_api_key(), 0);
    let refused = caller.send("/order/1", "o-2", "another-key", 2_000).await.expect("a response");
    assert_eq!(refused.status.as_u16(), 401);
    let not_found = caller.send("/nowhere/1", "o-3", KEY, 2_000).await.expect("a response");
    assert_eq!(not_found.status.as_u16(), 404);
    assert_eq!((fixture.run_count("o-1"), fixture.run_count("o-2")), (1, 0));
    assert_eq!(fixture.store.members(), ["served"]);
    fixture
        .host
        .wait_for_line(&["\"event\":\"placed\"", "\"request\":\"o-1\"", "\"in_flight\":0"])
        .await;
    fixture.host.wait_for_line(&["\"event\":\"delivered\"", "\"request\":\"o-1\""]).await;
    fixture
        .host
        .wait_for_line(&["\"event\":\"refused\"", "\"request\":\"o-2\"", "key-missing"])
        .await;
}

#[actix_rt::test]
async fn request_rejected_by_only_instance_gets_503_and_does_not_run() {
    let fixture = Fixture::start("turned", &[Behaviour::TurnAway]).await;
    let mut caller = Caller::new(fixture.host.callers);
    let refused = caller.send("/order/1", "o-1", KEY, 2_000).await.expect("a response");
    assert_eq!(refused.status.as_u16(), 503);
    assert!(refused.header("retry-after").is_some());
    assert_eq!(fixture.run_count("o-1"), 0);
    fixture.instances[0].set_behaviour(FAST);
    assert_eq!(fixture.request("/order/1", "o-2").await, 200);
}

#[actix_rt::test]
async fn failed_order_is_not_retried() {
    let fixture = Fixture::start("failed", &[Behaviour::Fail, Behaviour::Fail]).await;
    assert_eq!(fixture.request("/order/1", "o-1").await, 500);
    assert_eq!(fixture.run_count("o-1"), 1);
}

#[actix_rt::test]
async fn revoked_key_is_refused_and_draining_instance_gets_no_requests() {
    let fixture = Fixture::start("changes", &[FAST, FAST]).await;
    let draining = &fixture.instances[0];
    fixture.store.put_instance(draining.id(), Some(draining.registration("stock", "draining")));
    fixture.store.put_configuration(&configuration(2, &["new-key"]));
    fixture.store.put_configuration(&configuration(2, &["new-key"]));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(fixture.request("/order/1", "o-1").await, 401);
    let requests_before = draining.customers().len();
    let mut caller = Caller::new(fixture.host.callers);
    for _ in 0..10 {
        let response = caller.send("/lookup/1", "l", "new-key", 2_000).await.expect("a response");
        assert_eq!(response.status.as_u16(), 200);
    }
    assert_eq!(draining.customers().len(), requests_before);
}

/// Guards against a withdrawal of the last customer that opens all routes.
#[actix_rt::test]
async fn no_key_is_accepted_after_the_last_customer_was_withdrawn() {
    let fixture = Fixture::start("withdrawn", &[FAST]).await;
    assert_eq!(fixture.request("/order/1", "o-1").await, 200);
    fixture.store.put_configuration(&configuration_with_customers(2, &[]));
    tokio::time::sleep(CONFIGURATION_TIME_MAX).await;
    for (id, key) in [("o-2", KEY), ("o-3", "never-held"), ("o-4", "")] {
        assert_eq!(fixture.host.request("/order/1", id, key).await, 401, "{key:?}");
        assert_eq!(fixture.run_count(id), 0, "{key:?}");
    }
}

#[actix_rt::test]
async fn requests_are_served_during_store_faults() {
    let fixture = Fixture::start("away", &[FAST]).await;
    for fault in [StoreFault::Busy, StoreFault::Silent, StoreFault::Forgetful] {
        fixture.store.set_fault(fault);
        tokio::time::sleep(Duration::from_millis(700)).await;
        assert_eq!(fixture.request("/order/1", "o").await, 200, "{fault:?}");
        assert!(is_ready(fixture.host.ready).await, "{fault:?}");
        fixture.store.set_fault(StoreFault::None);
    }
    fixture.host.wait_for_line(&["\"event\":\"store\"", "\"reachable\":false"]).await;
    fixture.host.wait_for_line(&["\"event\":\"store\"", "\"reachable\":true"]).await;
    let calls = fixture.store.call_count();
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(
        fixture.store.call_count() - calls < 10,
        "a host without changes to read calls the store rarely"
    );
}

#[actix_rt::test]
async fn sighup_reloads_settings_and_invalid_settings_are_ignored() {
    let mut fixture = Fixture::start("reload", &[FAST]).await;
    fixture.host.signal(Signal::SIGHUP);
    fixture.host.wait_for_line(&["reload: settings in force"]).await;
    std::fs::write(&fixture.host.settings, "{}").expect("the settings are written");
    fixture.host.wait_for_line(&["reload: cannot apply the settings"]).await;
    assert!(!fixture.host.has_exited());
    assert_eq!(fixture.request("/order/1", "o-1").await, 200);
}

/// Waits until a host refuses the old key and accepts the new one, and returns how long it took.
async fn wait_for_key(host: &HostProcess, old: &str, new: &str) -> Duration {
    let started_at = Instant::now();
    while host.request("/lookup/1", "l", old).await != 401
        || host.request("/lookup/1", "l", new).await != 200
    {
        assert!(started_at.elapsed() < CONFIGURATION_TIME_MAX, "the configuration is in force");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    started_at.elapsed()
}

/// The time within which every host has to apply a configuration that the store accepted.
const CONFIGURATION_TIME_MAX: Duration = Duration::from_secs(2);

#[actix_rt::test]
async fn one_host_reads_store_for_all_and_another_takes_over() {
    let mut fixture = Fixture::start("relay-1", &[FAST]).await;
    let second = HostProcess::start("relay-2", &fixture.store).await;
    let third = HostProcess::start("relay-3", &fixture.store).await;
    for host in [&second, &third] {
        host.wait_for_line(&["Instances is read from 127.0.0.1"]).await;
        host.wait_for_line(&["Operator is read from 127.0.0.1"]).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let calls = fixture.store.call_count();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = fixture.store.call_count() - calls;
    assert!(calls <= 12, "{calls} calls in 4 s: more than one host reads");

    fixture.store.put_configuration(&configuration(2, &["second-key"]));
    for host in [&fixture.host, &second, &third] {
        wait_for_key(host, KEY, "second-key").await;
    }
    // SIGSTOP freezes the host that reads the store while its connections stay open.
    fixture.host.signal(Signal::SIGSTOP);
    fixture.store.put_configuration(&configuration(3, &["third-key"]));
    for host in [&second, &third] {
        wait_for_key(host, "second-key", "third-key").await;
    }
    fixture.host.signal(Signal::SIGCONT);
    fixture.store.put_configuration(&configuration(4, &["fourth-key"]));
    for host in [&fixture.host, &second, &third] {
        wait_for_key(host, "third-key", "fourth-key").await;
    }
    fixture.store.set_fault(StoreFault::Busy);
    third.wait_for_line(&["\"event\":\"store\"", "\"reachable\":false"]).await;
    fixture.store.set_fault(StoreFault::None);
    third.wait_for_line(&["\"event\":\"store\"", "\"reachable\":true"]).await;
    fixture.store.put_configuration(&configuration(5, &["fifth-key"]));
    for host in [&fixture.host, &second, &third] {
        wait_for_key(host, "fourth-key", "fifth-key").await;
    }
    assert!(!fixture.host.has_exited());
}

/// Load pattern: hundreds of hosts that start at the same moment, each call of the store priced.
#[actix_rt::test]
async fn host_of_first_start_reads_tables_from_host_that_reads_the_store() {
    let store = StandInStore::start().await.expect("the store starts");
    store.put_configuration(&configuration(1, &[KEY]));
    let first_start = r#""first_start": true,"#;
    let _first = HostProcess::start_with("boot-1", &store, first_start).await;
    let second = HostProcess::start_with("boot-2", &store, first_start).await;
    second.wait_for_line(&["Operator is read from 127.0.0.1"]).await;
    second.wait_for_line(&["Instances is read from 127.0.0.1"]).await;
    let log = second.log.lock().expect("no thread panicked");
    let from_store = |table: &str| format!("{table} is read from the store");
    for table in ["Operator", "Instances"] {
        assert!(!log.iter().any(|line| line.contains(&from_store(table))), "{table}: {log:?}");
    }
}
