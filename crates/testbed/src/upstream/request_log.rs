//! What ran on the instances.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// One request that an instance ran.
#[derive(Clone, Debug)]
pub struct RecordedRequest {
    /// The instance.
    pub instance: String,
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// All headers, as they came.
    pub headers: Vec<(String, String)>,
    /// When the request came.
    pub at: Instant,
}

/// Everything that ran on the instances of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestLog {
    entries: Arc<Mutex<Vec<RecordedRequest>>>,
}

impl RequestLog {
    pub(super) fn record(&self, entry: RecordedRequest) {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).push(entry);
    }

    pub(crate) fn requests(&self) -> Vec<RecordedRequest> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Counts runs by the value of a header.
    pub(crate) fn count_by_header(&self, name: &str) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for entry in self.entries.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            if let Some((_, value)) = entry.headers.iter().find(|(header, _)| header == name) {
                *runs.entry(value.clone()).or_default() += 1;
            }
        }
        runs
    }
}
