//! Prometheus metrics. No label takes a value that a customer can choose, which bounds the number of
//! time series.

use std::time::Duration;

use ebonytack_core::{Refusal, Revision};
use eyre::Result;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// How often the samples of histograms are merged.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Installs the global recorder and returns the handle that renders the metrics.
pub(crate) fn start_metrics() -> Result<PrometheusHandle> {
    let handle = PrometheusBuilder::new().install_recorder()?;
    metrics::describe_counter!("ebonytack_requests_total", "Requests by status class");
    metrics::describe_counter!("ebonytack_refusals_total", "Refusals by reason and outcome");
    metrics::describe_gauge!("ebonytack_revision", "Revision in force");
    metrics::describe_gauge!("ebonytack_evacuated", "1 while a data centre is evacuated, else 0");
    metrics::describe_gauge!("ebonytack_shortage_level", "Shortage level by service, 0 to 2");
    Ok(handle)
}

/// Merges the samples of histograms every [`UPKEEP_INTERVAL`]. The recorder keeps each sample until then,
/// or until the metrics are read, which may never happen. Never returns.
pub(crate) async fn merge_samples(handle: PrometheusHandle) {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        handle.run_upkeep();
    }
}

/// Counts a request that got an upstream's response, by status class.
pub(crate) fn count_request(status: u16) {
    let class = match status {
        100..=199 => "1xx",
        200..=299 => "2xx",
        300..=399 => "3xx",
        400..=499 => "4xx",
        _ => "5xx",
    };
    metrics::counter!("ebonytack_requests_total", "class" => class).increment(1);
}

/// Counts a request that the host refused, by reason.
pub(crate) fn count_refusal(refusal: &Refusal) {
    let reason = refusal.reason.name();
    metrics::counter!("ebonytack_refusals_total", "reason" => reason).increment(1);
}

/// Sets the gauge of a service's shortage level.
pub(crate) fn set_shortage_level(service: &str, level: u32) {
    let service = service.to_owned();
    metrics::gauge!("ebonytack_shortage_level", "service" => service).set(f64::from(level));
}

/// Sets the gauge of the resident memory of the process, if the system tells it.
pub(crate) fn set_resident_memory() {
    let Ok(status) = std::fs::read_to_string("/proc/self/status") else { return };
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    if let Some(kib) = kib {
        metrics::gauge!("ebonytack_process_resident_bytes").set(kib * 1024.0);
    }
}

/// Sets the gauge of the configuration revision in force.
pub(crate) fn set_revision(revision: Revision) {
    metrics::gauge!("ebonytack_revision").set(revision as f64);
}

/// Sets the gauge that says whether a data centre is evacuated. The operator chooses the names, so
/// their number is small.
pub(crate) fn set_evacuated(data_centre: &str, evacuated: bool) {
    let gauge = metrics::gauge!("ebonytack_evacuated", "data_centre" => data_centre.to_owned());
    gauge.set(if evacuated { 1.0 } else { 0.0 });
}
