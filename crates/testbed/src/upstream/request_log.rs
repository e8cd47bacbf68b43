//! The log of requests that the instances of a service received.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// One request that an instance received, whether or not it got a response.
#[derive(Clone, Debug)]
pub struct RecordedRequest {
    /// The name of the instance that received the request.
    pub instance: String,
    /// The HTTP method, such as `GET`.
    pub method: String,
    /// The path and the query.
    pub path: String,
    /// All headers, in lower case, with invalid UTF-8 in values replaced.
    pub headers: Vec<(String, String)>,
    /// When the instance received the request.
    pub at: Instant,
}

/// All requests that the instances of one service received, except probes.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestLog {
    requests: Arc<Mutex<Vec<RecordedRequest>>>,
}

impl RequestLog {
    pub(super) fn record(&self, request: RecordedRequest) {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner).push(request);
    }

    pub(crate) fn requests(&self) -> Vec<RecordedRequest> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Counts the requests that have a header, by its value.
    pub(crate) fn count_by_header(&self, name: &str) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for request in self.requests.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            if let Some((_, value)) = request.headers.iter().find(|(header, _)| header == name) {
                *counts.entry(value.clone()).or_default() += 1;
            }
        }
        counts
    }
}
