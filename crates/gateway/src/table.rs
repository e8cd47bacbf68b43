//! A host's copy of a table of the store, which it serves to other hosts.
//!
//! Load pattern: all hosts of a data centre need each change, and wait for it on one host. That
//! host serves its copy only while the store has recently confirmed it, so that no host follows a
//! copy that is no longer updated.

use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of removed rows kept for hosts that have not read their removal yet.
const REMOVED_ROWS_MAX: usize = 1_000;

/// A row of the store at one version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Key of the row, unique in its table.
    pub key: String,
    /// Stored bytes; `None` when the row was removed or its value cannot be read.
    pub value: Option<Vec<u8>>,
    /// Version of the row's last write; increases with each write to the store.
    pub version: u64,
}

/// Rows of a table, either all of them or those changed after a version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// All rows or only the changed ones; a changed row without a value was removed.
    pub rows: Vec<Row>,
    /// Version of the table up to which the rows are current.
    pub version: u64,
    /// Time since the sending host reached the store again; `None` if that host never lost it or
    /// the store itself sent the rows.
    pub store_reachable_for: Option<Duration>,
}

/// The result of reading a copy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CopyResponse {
    /// The changed rows, or all rows.
    Rows(Changes),
    /// There are no changes after the requested version.
    Unchanged {
        /// Time at which the store's confirmation of the copy expires.
        until: Duration,
    },
}

/// The reason why a copy cannot be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyError {
    /// The changes after the requested version are no longer known; all rows must be read.
    HistoryGone,
    /// The store has not confirmed the copy recently.
    NotConfirmed,
}

/// A row of a copy, and which readers still need it.
#[derive(Clone, Debug)]
struct StoredRow {
    row: Row,
    /// Readers whose version is lower do not have the row yet. Invariant: never below the row's
    /// version.
    unknown_below: u64,
}

/// A copy of a table that serves changes from its recent history.
#[derive(Clone, Debug, Default)]
pub struct TableCopy {
    rows: BTreeMap<String, StoredRow>,
    /// Readers below this version must read all rows.
    history_start: u64,
    /// Version up to which the rows are current. Invariant: never decreases.
    version: u64,
    /// When the store last confirmed the copy by responding to this host.
    confirmed_at: Option<Duration>,
}

/// Updates from the store, and lookups on this host.
impl TableCopy {
    /// Applies changed rows, or replaces all rows if `complete`.
    pub fn apply(&mut self, changes: &Changes, complete: bool) {
        if complete {
            self.apply_complete(changes);
        } else {
            for row in &changes.rows {
                let stored = StoredRow { unknown_below: row.version, row: row.clone() };
                self.rows.insert(row.key.clone(), stored);
            }
        }
        if self.rows.values().filter(|stored| stored.row.value.is_none()).count() > REMOVED_ROWS_MAX
        {
            self.rows.retain(|_, stored| stored.row.value.is_some());
            self.history_start = changes.version;
        }
        self.version = self.version.max(changes.version);
    }

    /// Replaces all rows. A store that lost its history may have responded to a long poll with a
    /// newer version but without the changes, and readers may already have that version. Rows that
    /// were missed this way get a higher `unknown_below`, so that these readers receive them too.
    fn apply_complete(&mut self, changes: &Changes) {
        let previous = std::mem::take(&mut self.rows);
        let missed = |row: &Row| {
            let same =
                previous.get(&row.key).is_some_and(|stored| stored.row.version == row.version);
            !same && row.version <= self.version
        };
        for row in &changes.rows {
            let unknown_below = if missed(row) { changes.version + 1 } else { row.version };
            self.rows.insert(row.key.clone(), StoredRow { row: row.clone(), unknown_below });
        }
        for (key, stored) in previous {
            if stored.row.value.is_some() && !self.rows.contains_key(&key) {
                let row = Row { key: key.clone(), value: None, version: changes.version };
                self.rows.insert(key, StoredRow { row, unknown_below: changes.version + 1 });
            }
        }
        self.history_start = changes.version;
    }

    /// Records that the store itself responded at `now`, so that the copy may be served.
    pub fn confirm(&mut self, now: Duration) {
        self.confirmed_at = Some(now);
    }

    /// Stops serving the copy because this host no longer reads the store; returns whether it was
    /// confirmed before.
    pub fn invalidate(&mut self) -> bool {
        self.confirmed_at.take().is_some()
    }

    /// Returns the value of a row; `None` when the row is missing or removed.
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        self.rows.get(key).and_then(|stored| stored.row.value.as_deref())
    }
}

/// Reads by other hosts.
impl TableCopy {
    /// Returns the rows that changed after version `after`, or all rows if `after` is `None`.
    /// `age_max` is the time for which a response of the store confirms the copy.
    ///
    /// # Errors
    ///
    /// [`CopyError::NotConfirmed`] if the store has not confirmed the copy within `age_max`, and
    /// [`CopyError::HistoryGone`] if the history does not reach back to `after`.
    pub fn read(
        &self,
        after: Option<u64>,
        now: Duration,
        age_max: Duration,
    ) -> Result<CopyResponse, CopyError> {
        let confirmed = self.confirmed_at.map(|at| at + age_max).filter(|until| now < *until);
        let until = confirmed.ok_or(CopyError::NotConfirmed)?;
        let Some(after) = after else { return Ok(CopyResponse::Rows(self.all())) };
        if after < self.history_start {
            return Err(CopyError::HistoryGone);
        }
        let changes = self.changes_since(after);
        Ok(match changes.rows.is_empty() {
            true => CopyResponse::Unchanged { until },
            false => CopyResponse::Rows(changes),
        })
    }

    fn all(&self) -> Changes {
        let rows = self.rows.values().map(|stored| &stored.row);
        let present = rows.filter(|row| row.value.is_some()).cloned().collect();
        Changes { rows: present, version: self.version, store_reachable_for: None }
    }

    /// Returns the rows that a reader at version `after` does not have; possibly none. Unlike
    /// [`read`](Self::read), it checks neither whether the store has confirmed the copy nor whether
    /// the history reaches back to `after`.
    pub fn changes_since(&self, after: u64) -> Changes {
        let newer = self.rows.values().filter(|stored| stored.unknown_below > after);
        let mut rows: Vec<Row> = newer.map(|stored| stored.row.clone()).collect();
        rows.sort_by_key(|row| row.version);
        Changes { rows, version: self.version.max(after), store_reachable_for: None }
    }
}
