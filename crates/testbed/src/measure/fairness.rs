//! The service of other customers while one sends far above its rate limit.

use std::path::Path;
use std::time::Duration;

use ebonytack_core::Customer;
use eyre::Result;

use super::bucket_check::unserved_share;
use super::load::{Load, Sample, Stream};
use super::{Figure, Report};
use crate::{Fleet, FleetPlan};

const HOSTS: u32 = 44;
const DURATION: Duration = Duration::from_secs(20);
/// The load of the first customer, as a multiple of its rate limit.
const OVERLOAD_FACTOR: f64 = 8.0;
/// The load of every other customer, as a multiple of its rate limit.
const OTHERS_FACTOR: f64 = 0.9;
const BUCKET_FILL_TIME: Duration = Duration::from_secs(2);
/// The rate limit of each customer; the first one is the largest.
const RATES_PER_SECOND: [u32; 8] = [200, 150, 100, 60, 40, 30, 20, 10];

/// Measures all customers while the largest one sends at eight times its rate limit.
pub(super) async fn run(program: &Path, seed: u64, report: &mut Report) -> Result<()> {
    let mut plan = FleetPlan::new(HOSTS)
        .service("catalogue", 20, "stock-lookup", Duration::from_millis(25))
        .seed(seed);
    for (index, rate) in RATES_PER_SECOND.into_iter().enumerate() {
        plan = plan.customer(&customer_name(index), rate, rate / 2);
    }
    let fleet = Fleet::start(program, &plan).await?;
    for index in 0..RATES_PER_SECOND.len() {
        let key = format!("key-{}", customer_name(index));
        let caller = crate::Caller::new();
        let served = async || {
            caller.get(fleet.caller_address(1), "/catalogue/warm", &key).await.is_success()
        };
        fleet.wait_for("a host to hold the customer's bucket", served).await?;
    }
    // Wait until the buckets are full, because a new holder starts with an empty one.
    actix_rt::time::sleep(BUCKET_FILL_TIME).await;
    let load = Load::start(&fleet, &streams(), DURATION, seed);
    let samples = load.finish().await;
    let unserved = |(name, customer): (&String, &Customer)| {
        let customer_samples: Vec<Sample> =
            samples.iter().filter(|s| s.customer == *name).cloned().collect();
        unserved_share(&customer_samples, customer)
    };
    let others = plan.customers.iter().filter(|(customer, _)| **customer != customer_name(0));
    let worst = others.map(unserved).fold(0.0, f64::max);
    let figure = Figure::new("worst-served customer: not served within its rate", worst, "share");
    report.push(figure.at_most(0.001).baseline(even_split_unserved_share()));
    let served_share = success_share(&samples, 0) * OVERLOAD_FACTOR;
    report.push(Figure::new("customer at 8x: served, of its rate", served_share, "share"));
    report.push(Figure::new("requests", samples.len() as f64, "requests"));
    Ok(())
}

fn customer_name(index: usize) -> String {
    format!("customer-{}", index + 1)
}

fn streams() -> Vec<Stream> {
    let factor = |index| if index == 0 { OVERLOAD_FACTOR } else { OTHERS_FACTOR };
    let stream = |(index, rate): (usize, u32)| Stream {
        customer: customer_name(index),
        rate_per_second: f64::from(rate) * factor(index),
        path: "/catalogue/item".to_owned(),
    };
    RATES_PER_SECOND.into_iter().enumerate().map(stream).collect()
}

fn success_share(samples: &[Sample], index: usize) -> f64 {
    let customer_samples: Vec<_> =
        samples.iter().filter(|s| s.customer == customer_name(index)).collect();
    customer_samples.iter().filter(|sample| sample.response.is_success()).count() as f64
        / customer_samples.len().max(1) as f64
}

/// Returns the share of a customer's requests that would be rejected if its rate were divided
/// evenly over the hosts.
///
/// [`Load`] sends host `k` of `n` the share `sqrt(k / n) - sqrt((k - 1) / n)` of the requests, so
/// the first host alone receives more than six times an even share.
fn even_split_unserved_share() -> f64 {
    let hosts = f64::from(HOSTS);
    let share = |host: u32| (f64::from(host) / hosts).sqrt() - (f64::from(host - 1) / hosts).sqrt();
    (1..=HOSTS).map(|host| (share(host) * OTHERS_FACTOR - 1.0 / hosts).max(0.0)).sum::<f64>()
        / OTHERS_FACTOR
}
