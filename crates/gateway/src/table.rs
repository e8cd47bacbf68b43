//! A host's copy of a table of the store, from which it answers other hosts.
//!
//! Load pattern: each change concerns all hosts of a data centre, which wait for it at one host.
//! That host answers only while the store has confirmed its copy, so that no host follows a copy
//! that has come to rest.

use std::collections::BTreeMap;
use std::time::Duration;

/// Removed rows that are kept for hosts that have not heard of their removal.
const REMOVED_ROWS_MAX: usize = 1_000;

/// A row as it stands in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// The row's name in its table.
    pub key: String,
    /// The row's value, or `None` when the row was removed or its value cannot be read.
    pub value: Option<Vec<u8>>,
    /// Rises with each write to the store.
    pub version: u64,
}

/// Rows with the version as of which they hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// The rows.
    pub rows: Vec<Row>,
    /// The newest version.
    pub version: u64,
    /// For how long the store has been back, when a host answered that had lost it.
    pub store_reachable_for: Option<Duration>,
}

/// What a host that asks another one for a table is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CopyResponse {
    /// The rows that changed, or all of them.
    Rows(Changes),
    /// There are no changes; this holds until the given time, unless some come before.
    Unchanged {
        /// Until when the store's confirmation counts.
        until: Duration,
    },
}

/// Why a host that asks another one for a table is told nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyError {
    /// The changes after the version are not known; all rows must be read.
    HistoryGone,
    /// The copy is not read from the store now.
    NotConfirmed,
}

/// A row of a copy.
#[derive(Clone, Debug)]
struct HeldRow {
    row: Row,
    /// Hosts that know less than this version have not seen the row. Invariant: never below the
    /// row's version.
    unseen_below: u64,
}

/// A copy of a table.
#[derive(Clone, Debug, Default)]
pub struct TableCopy {
    rows: BTreeMap<String, HeldRow>,
    /// Changes up to this version cannot be told apart any more.
    base: u64,
    /// Invariant: never falls.
    version: u64,
    /// When the store last answered this host about the table.
    confirmed_at: Option<Duration>,
}

/// Writing.
impl TableCopy {
    /// Takes rows over; `whole` says that they are all that there are.
    pub fn apply(&mut self, changes: &Changes, whole: bool) {
        if whole {
            self.take_whole(changes);
        } else {
            for row in &changes.rows {
                let held = HeldRow { unseen_below: row.version, row: row.clone() };
                self.rows.insert(row.key.clone(), held);
            }
        }
        if self.rows.values().filter(|held| held.row.value.is_none()).count() > REMOVED_ROWS_MAX {
            self.rows.retain(|_, held| held.row.value.is_some());
            self.base = changes.version;
        }
        self.version = self.version.max(changes.version);
    }

    /// Takes all rows. A store that forgot its history may have hidden changes from a wait, whose
    /// version was passed on; those are told to hosts that know that version.
    fn take_whole(&mut self, changes: &Changes) {
        let known = std::mem::take(&mut self.rows);
        let hidden = |row: &Row| {
            let same = known.get(&row.key).is_some_and(|held| held.row.version == row.version);
            !same && row.version <= self.version
        };
        for row in &changes.rows {
            let unseen_below = if hidden(row) { changes.version + 1 } else { row.version };
            self.rows.insert(row.key.clone(), HeldRow { row: row.clone(), unseen_below });
        }
        for (key, held) in known {
            if held.row.value.is_some() && !self.rows.contains_key(&key) {
                let row = Row { key: key.clone(), value: None, version: changes.version };
                self.rows.insert(key, HeldRow { row, unseen_below: changes.version + 1 });
            }
        }
        self.base = changes.version;
    }

    /// Notes that the store itself answered.
    pub fn confirm(&mut self, now: Duration) {
        self.confirmed_at = Some(now);
    }

    /// Notes that the store itself is not read any more; returns whether it was.
    pub fn invalidate(&mut self) -> bool {
        self.confirmed_at.take().is_some()
    }

    /// Returns the value of a row.
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        self.rows.get(key).and_then(|held| held.row.value.as_deref())
    }
}

/// Reading.
impl TableCopy {
    /// Answers a host that knows all changes up to `after`, or nothing. `age_max` is the longest
    /// time since the store confirmed the copy.
    ///
    /// # Errors
    ///
    /// When the copy is not read from the store, or does not reach back to `after`.
    pub fn read(
        &self,
        after: Option<u64>,
        now: Duration,
        age_max: Duration,
    ) -> Result<CopyResponse, CopyError> {
        let confirmed = self.confirmed_at.map(|at| at + age_max).filter(|until| now < *until);
        let until = confirmed.ok_or(CopyError::NotConfirmed)?;
        let Some(after) = after else { return Ok(CopyResponse::Rows(self.all())) };
        if after < self.base {
            return Err(CopyError::HistoryGone);
        }
        let changes = self.changes_since(after);
        Ok(match changes.rows.is_empty() {
            true => CopyResponse::Unchanged { until },
            false => CopyResponse::Rows(changes),
        })
    }

    fn all(&self) -> Changes {
        let rows = self.rows.values().map(|held| &held.row);
        let present = rows.filter(|row| row.value.is_some()).cloned().collect();
        Changes { rows: present, version: self.version, store_reachable_for: None }
    }

    /// Returns the rows that a host which knows `after` has not got; none is an answer, too.
    pub fn changes_since(&self, after: u64) -> Changes {
        let newer = self.rows.values().filter(|held| held.unseen_below > after);
        let mut rows: Vec<Row> = newer.map(|held| held.row.clone()).collect();
        rows.sort_by_key(|row| row.version);
        Changes { rows, version: self.version.max(after), store_reachable_for: None }
    }
}
