//! A copy of a table for which other hosts wait.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use ebonytack_gateway::{Changes, CopyError, CopyResponse, TableCopy};
use tokio::sync::Notify;

/// A copy of a table with those that wait for it.
pub(super) struct SharedCopy {
    copy: RefCell<TableCopy>,
    started_at: Instant,
    changed: Notify,
}

impl Default for SharedCopy {
    fn default() -> Self {
        Self { copy: RefCell::default(), started_at: Instant::now(), changed: Notify::new() }
    }
}

impl SharedCopy {
    /// Takes rows over; `whole` says that they are all that there are.
    pub(super) fn take(&self, changes: &Changes, whole: bool) {
        self.copy.borrow_mut().apply(changes, whole);
        self.changed.notify_waiters();
    }

    /// Notes that the store itself answered.
    pub(super) fn confirm(&self) {
        self.copy.borrow_mut().confirm(self.started_at.elapsed());
    }

    /// Notes that the store itself is not read any more.
    pub(super) fn lose(&self) {
        if self.copy.borrow_mut().invalidate() {
            self.changed.notify_waiters();
        }
    }

    /// Returns whether a row has this value.
    pub(super) fn has(&self, key: &str, value: &[u8]) -> bool {
        self.copy.borrow().value(key) == Some(value)
    }

    /// Answers another host, when there is something to tell or after `wait`.
    pub(super) async fn answer(
        &self,
        after: Option<u64>,
        wait: Duration,
        age_max: Duration,
    ) -> Result<Changes, CopyError> {
        let end = self.started_at.elapsed() + wait;
        loop {
            let changed = self.changed.notified();
            let now = self.started_at.elapsed();
            let answer = self.copy.borrow().read(after, now, age_max)?;
            let until = match answer {
                CopyResponse::Rows(changes) => return Ok(changes),
                CopyResponse::Unchanged { until } => until,
            };
            if let Some(after) = after
                && now >= end
            {
                return Ok(self.copy.borrow().changes_since(after));
            }
            let check_at = self.started_at + end.min(until);
            // A wait that ends without a change leads to another look.
            let _ = tokio::time::timeout_at(check_at.into(), changed).await;
        }
    }
}
