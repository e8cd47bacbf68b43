//! Tests of restarts of a whole fleet: customers keep to their rates, and within them are served.

use std::time::Duration;

use ebonytack_gateway::{Customer, Event};

use crate::cluster::{Cluster, SETTLED};
use crate::support::configuration;

/// Returns the most runs within any five seconds.
fn most_in_window(runs: &[Duration]) -> usize {
    let in_window = |start: &Duration| {
        runs.iter().filter(|at| **at >= *start && **at < *start + Duration::from_secs(5)).count()
    };
    runs.iter().map(in_window).max().unwrap_or(0)
}

/// A fleet of 45 hosts with one customer of 10 requests a second and a burst of 46.
fn fleet_with_a_customer(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(3, 15, 8, seed);
    cluster.keys = vec!["hot-key".to_owned()];
    let mut next = configuration(2);
    let hot = Customer { priority: None, rate_per_second: Some(10.0), burst: 46.0 };
    next.add_customer("hot".to_owned(), hot, vec!["hot-key".to_owned()]);
    for host in 0..cluster.hosts.len() {
        cluster.step(host, Event::Configuration(Box::new(next.clone())));
    }
    cluster.advance(SETTLED);
    cluster
}

/// Load pattern: a customer sends ten times its rate while all hosts restart twice within a window.
/// Guards against hosts that each grant it a request before they know what the others have granted.
#[test]
fn restarts_of_all_hosts_do_not_raise_the_rate_of_a_customer() {
    // The platform's bound: the rate and the burst, a tenth more, and 20 requests.
    let allowed = ((10.0 * 5.0 + 46.0) * 1.1 + 20.0) as usize;
    for seed in 1..=10 {
        let mut cluster = fleet_with_a_customer(seed);
        let mut runs = Vec::new();
        let outage = Duration::from_millis(500 + 40 * seed);
        cluster.send_requests(100.0, Duration::from_millis(1_200), &mut runs);
        cluster.restart_all(outage);
        cluster.send_requests(100.0, Duration::from_millis(1_100), &mut runs);
        cluster.restart_all(outage);
        cluster.send_requests(100.0, Duration::from_millis(4_000), &mut runs);
        let most = most_in_window(&runs);
        assert!(most <= allowed, "seed {seed}: {most} requests in 5 s, {allowed} are allowed");
    }
}

/// Returns the requests that a customer sends, `per_second`, over a restart of all hosts, and how many
/// of them are served. Its rate is 10 requests a second.
fn served_over_a_restart(per_second: f64) -> (u32, usize) {
    let (mut sent, mut served) = (0, 0);
    for seed in 1..=10 {
        let mut cluster = fleet_with_a_customer(seed);
        let mut runs = Vec::new();
        sent += cluster.send_requests(per_second, Duration::from_secs(5), &mut runs);
        cluster.restart_all(Duration::from_millis(600));
        sent += cluster.send_requests(per_second, Duration::from_secs(20), &mut runs);
        served += runs.len();
    }
    (sent, served)
}

/// The other side: a customer within its rate loses less than a hundredth by a restart of all hosts.
#[test]
fn customer_within_its_rate_is_served_over_a_restart_of_all_hosts() {
    let (sent, served) = served_over_a_restart(8.0);
    assert!(served as f64 >= 0.99 * f64::from(sent), "{served} of {sent}");
}

/// The same for a customer that uses almost its whole rate.
#[test]
fn customer_close_to_its_rate_is_served_over_a_restart_of_all_hosts() {
    for per_second in [9.0, 9.7] {
        let (sent, served) = served_over_a_restart(per_second);
        assert!(served as f64 >= 0.99 * f64::from(sent), "{per_second}/s: {served} of {sent}");
    }
}
