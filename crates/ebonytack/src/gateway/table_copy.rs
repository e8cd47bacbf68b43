//! A host's copy of a table of the store, from which it answers other hosts.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use ebonytack_adapter::{Changes, Row};
use tokio::sync::Notify;

/// Removed rows that are kept for hosts that have not heard of their removal.
const REMOVED_ROWS_MAX: usize = 1_000;

/// A copy of a table.
#[derive(Default)]
pub(super) struct TableCopy {
    rows: RefCell<BTreeMap<String, Row>>,
    /// Changes up to this version cannot be told apart any more.
    base: Cell<u64>,
    version: Cell<u64>,
    /// When the store last answered this host about the table.
    confirmed_at: Cell<Option<Instant>>,
    changed: Notify,
}

/// What a host gets that asks another one.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum CopyAnswer {
    /// The rows.
    Rows(Changes),
    /// The changes after the version are not known; all rows must be read.
    HistoryGone,
    /// The copy is not read from the store now.
    NotReading,
}

/// Writing.
impl TableCopy {
    /// Takes rows over; `whole` says that they are all that there are.
    pub(super) fn take(&self, changes: &Changes, whole: bool) {
        let mut rows = self.rows.borrow_mut();
        if whole {
            rows.clear();
            self.base.set(changes.version);
        }
        for row in &changes.rows {
            rows.insert(row.key.clone(), row.clone());
        }
        if rows.values().filter(|row| row.value.is_none()).count() > REMOVED_ROWS_MAX {
            rows.retain(|_, row| row.value.is_some());
            self.base.set(changes.version);
        }
        self.version.set(changes.version.max(self.version.get()));
        self.changed.notify_waiters();
    }

    /// Notes that the store itself answered.
    pub(super) fn confirm(&self) {
        self.confirmed_at.set(Some(Instant::now()));
    }

    /// Notes that the store itself is not read any more.
    pub(super) fn lose(&self) {
        if self.confirmed_at.take().is_some() {
            self.changed.notify_waiters();
        }
    }

    /// Returns the value of a row.
    pub(super) fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.rows.borrow().get(key).and_then(|row| row.value.clone())
    }
}

/// Reading.
impl TableCopy {
    /// Answers another host, when there are changes or after `wait`. `age_max` is the longest
    /// time since the store confirmed the copy.
    pub(super) async fn answer(
        &self,
        after: Option<u64>,
        wait: Duration,
        age_max: Duration,
    ) -> CopyAnswer {
        let until = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let confirmed = self.confirmed_at.get().filter(|at| at.elapsed() < age_max);
            let Some(confirmed_at) = confirmed else { return CopyAnswer::NotReading };
            let Some(after) = after else { return CopyAnswer::Rows(self.all()) };
            if after < self.base.get() {
                return CopyAnswer::HistoryGone;
            }
            let changes = self.since(after);
            if !changes.rows.is_empty() || tokio::time::Instant::now() >= until {
                return CopyAnswer::Rows(changes);
            }
            // A wait that ends without a change is an answer, too.
            let check_at = until.min((confirmed_at + age_max).into());
            let _ = tokio::time::timeout_at(check_at, changed).await;
        }
    }

    fn all(&self) -> Changes {
        let rows = self.rows.borrow();
        let present = rows.values().filter(|row| row.value.is_some());
        Changes { rows: present.cloned().collect(), version: self.version.get(), back_for: None }
    }

    fn since(&self, after: u64) -> Changes {
        let rows = self.rows.borrow();
        let mut newer: Vec<Row> =
            rows.values().filter(|row| row.version > after).cloned().collect();
        newer.sort_by_key(|row| row.version);
        Changes { rows: newer, version: self.version.get().max(after), back_for: None }
    }
}
