//! How the worst-served customer fares while another sends far above its rate.

use std::path::Path;
use std::time::Duration;

use ebonytack_core::Customer;
use eyre::Result;

use super::bucket_check::unserved_share;
use super::load::{Load, Sample, Stream};
use super::{Figure, Report};
use crate::{Fleet, FleetPlan};

const HOSTS: u32 = 44;
const LENGTH: Duration = Duration::from_secs(20);
const GREEDY_FACTOR: f64 = 8.0;
const OTHERS_FACTOR: f64 = 0.9;
const FILL_TIME: Duration = Duration::from_secs(2);
const RATES: [u32; 8] = [200, 150, 100, 60, 40, 30, 20, 10];

/// Lets the largest customer send eight times its rate.
pub(super) async fn run(program: &Path, seed: u64, report: &mut Report) -> Result<()> {
    let mut plan = FleetPlan::new(HOSTS)
        .service("catalogue", 20, "stock-lookup", Duration::from_millis(25))
        .seed(seed);
    for (index, rate) in RATES.into_iter().enumerate() {
        plan = plan.customer(&name(index), rate, rate / 2);
    }
    let fleet = Fleet::start(program, &plan).await?;
    for index in 0..RATES.len() {
        let key = format!("key-{}", name(index));
        let caller = crate::Caller::new();
        let served = async || {
            caller.get(fleet.caller_address(1), "/catalogue/warm", &key).await.is_success()
        };
        fleet.wait_for("a holder", served).await?;
    }
    // A new holder begins with an empty bucket.
    actix_rt::time::sleep(FILL_TIME).await;
    let load = Load::start(&fleet, &streams(), LENGTH, seed);
    let samples = load.finish().await;
    let unserved = |(name, customer): (&String, &Customer)| {
        let own: Vec<Sample> = samples.iter().filter(|s| s.customer == *name).cloned().collect();
        unserved_share(&own, customer)
    };
    let others = plan.customers.iter().filter(|(customer, _)| **customer != name(0));
    let worst = others.map(unserved).fold(0.0, f64::max);
    let refused = Figure::new("worst-served customer: not served within its rate", worst, "share");
    report.push(refused.at_most(0.001).baseline(even_split_worst()));
    let greedy = good_share(&samples, 0) * GREEDY_FACTOR;
    report.push(Figure::new("customer at 8x: served, of its rate", greedy, "share"));
    report.push(Figure::new("requests", samples.len() as f64, "requests"));
    Ok(())
}

fn name(index: usize) -> String {
    format!("customer-{}", index + 1)
}

fn streams() -> Vec<Stream> {
    let factor = |index| if index == 0 { GREEDY_FACTOR } else { OTHERS_FACTOR };
    let stream = |(index, rate): (usize, u32)| Stream {
        customer: name(index),
        rate_per_second: f64::from(rate) * factor(index),
        path: "/catalogue/item".to_owned(),
    };
    RATES.into_iter().enumerate().map(stream).collect()
}

fn good_share(samples: &[Sample], index: usize) -> f64 {
    let own: Vec<_> = samples.iter().filter(|s| s.customer == name(index)).collect();
    own.iter().filter(|sample| sample.response.is_success()).count() as f64
        / own.len().max(1) as f64
}

/// The share that the busiest hosts refuse when each rate is divided evenly over the hosts: with
/// traffic that falls off as the square root of the host's rank, the first host alone gets more
/// than six times an even share.
fn even_split_worst() -> f64 {
    let hosts = f64::from(HOSTS);
    let share = |host: u32| (f64::from(host) / hosts).sqrt() - (f64::from(host - 1) / hosts).sqrt();
    (1..=HOSTS).map(|host| (share(host) * OTHERS_FACTOR - 1.0 / hosts).max(0.0)).sum::<f64>()
        / OTHERS_FACTOR
}
