//! A local copy of a table that other hosts read by long polling.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use ebonytack_gateway::{Changes, CopyError, CopyResponse, Era, Position, TableCopy};
use tokio::sync::Notify;

/// A copy of a table that wakes long polls when it changes.
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
    /// Applies changes. With `is_snapshot` they are all rows of the table and replace the copy.
    pub(super) fn apply(&self, changes: &Changes, is_snapshot: bool) {
        self.copy.borrow_mut().apply(changes, is_snapshot);
        self.changed.notify_waiters();
    }

    /// Records that the store itself responded, which confirms the copy as of now.
    pub(super) fn confirm(&self) {
        self.copy.borrow_mut().confirm(self.started_at.elapsed());
    }

    /// Records that this host no longer reads the store itself. Other hosts may not read the copy
    /// until it is confirmed again.
    pub(super) fn invalidate(&self) {
        if self.copy.borrow_mut().invalidate() {
            self.changed.notify_waiters();
        }
    }

    /// Returns the era of the rows; 0 before the first rows.
    pub(super) fn era(&self) -> Era {
        self.copy.borrow().era()
    }

    /// Returns whether the copy has a row with this key and value.
    pub(super) fn contains(&self, key: &str, value: &[u8]) -> bool {
        self.copy.borrow().value(key) == Some(value)
    }

    /// Returns the changes after `after`, or all rows when it is `None`. Waits up to `wait` for
    /// changes. Fails when the store's last response is older than `age_max`, or when the copy does
    /// not have the changes after that position.
    pub(super) async fn wait_for_changes(
        &self,
        after: Option<Position>,
        wait: Duration,
        age_max: Duration,
    ) -> Result<Changes, CopyError> {
        let deadline = self.started_at.elapsed() + wait;
        loop {
            let changed = self.changed.notified();
            let now = self.started_at.elapsed();
            let response = self.copy.borrow().read(after, now, age_max)?;
            let until = match response {
                CopyResponse::Rows(changes) => return Ok(changes),
                CopyResponse::Unchanged { until } => until,
            };
            if let Some(after) = after
                && now >= deadline
            {
                return Ok(self.copy.borrow().changes_since(after));
            }
            let check_at = self.started_at + deadline.min(until);
            // The copy is read again both after a change and after a timeout.
            let _ = tokio::time::timeout_at(check_at.into(), changed).await;
        }
    }
}
