//! A host's copy of a table of the store, which it serves to other hosts.
//!
//! Load pattern: all hosts of a data centre need each change, and wait for it on one host. That
//! host serves its copy only while the store has recently confirmed it, so that no host follows a
//! copy that is no longer updated.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::{Era, Position, Version};

/// Maximum number of removed rows kept for hosts that have not read their removal yet.
const REMOVED_ROWS_MAX: usize = 1_000;

/// A row of the store at one version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Key of the row, unique in its table.
    pub key: String,
    /// Stored bytes; `None` when the row was removed or its value cannot be read.
    pub value: Option<Vec<u8>>,
    /// Version of the row's last write.
    pub version: Version,
}

/// Rows of a table, either all of them or those changed after a position.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// All rows or only the changed ones; a changed row without a value was removed.
    pub rows: Vec<Row>,
    /// Position up to which the rows are current; the versions of the rows belong to its era.
    pub position: Position,
    /// Time since the sending host reached the store again; `None` if that host never lost it or
    /// the store itself sent the rows.
    pub store_reachable_for: Option<Duration>,
}

/// The result of reading a copy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CopyResponse {
    /// The changed rows, or all rows.
    Rows(Changes),
    /// There are no changes after the requested position.
    Unchanged {
        /// Time at which the store's confirmation of the copy expires.
        until: Duration,
    },
}

/// The reason why a copy cannot be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyError {
    /// The changes after the requested position are no longer known; all rows must be read.
    HistoryGone,
    /// The store has not confirmed the copy recently.
    NotConfirmed,
    /// The store was restored since, and the copy has not been read again.
    Behind,
}

/// A row of a copy, and which readers still need it.
#[derive(Clone, Debug)]
struct StoredRow {
    row: Row,
    /// Readers whose version is lower do not have the row yet. Invariant: never below the row's
    /// version.
    unknown_below: Version,
}

/// A copy of a table that serves changes from its recent history.
#[derive(Clone, Debug, Default)]
pub struct TableCopy {
    /// The rows, removed ones included. Invariant: their versions belong to the era of `position`.
    rows: BTreeMap<String, StoredRow>,
    /// Readers of the same era below this version must read all rows.
    history_start: Version,
    /// Position up to which the rows are current. Invariant: never decreases.
    position: Position,
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
            self.history_start = changes.position.version;
        }
        self.position = self.position.max(changes.position);
    }

    /// Replaces all rows. A store that lost its history may have responded to a long poll with a
    /// newer version but without the changes, and readers may already have that version. Rows that
    /// were missed this way get a higher `unknown_below`, so that these readers receive them too.
    /// Rows of an earlier era say nothing about those of a later one, and its readers read all rows.
    fn apply_complete(&mut self, changes: &Changes) {
        let version = changes.position.version;
        let mut previous = std::mem::take(&mut self.rows);
        if changes.position.era != self.position.era {
            previous.clear();
            self.position = Position { era: changes.position.era, version: 0 };
        }
        let missed = |row: &Row| {
            let same =
                previous.get(&row.key).is_some_and(|stored| stored.row.version == row.version);
            !same && row.version <= self.position.version
        };
        for row in &changes.rows {
            let unknown_below = if missed(row) { version + 1 } else { row.version };
            self.rows.insert(row.key.clone(), StoredRow { row: row.clone(), unknown_below });
        }
        for (key, stored) in previous {
            if stored.row.value.is_some() && !self.rows.contains_key(&key) {
                let row = Row { key: key.clone(), value: None, version };
                self.rows.insert(key, StoredRow { row, unknown_below: version + 1 });
            }
        }
        self.history_start = version;
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

    /// Returns the era of the rows; 0 before the first rows.
    pub fn era(&self) -> Era {
        self.position.era
    }

    /// Returns the value of a row; `None` when the row is missing or removed.
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        self.rows.get(key).and_then(|stored| stored.row.value.as_deref())
    }
}

/// Reads by other hosts.
impl TableCopy {
    /// Returns the rows that changed after `after`, or all rows if it is `None`. `age_max` is the
    /// time for which a response of the store confirms the copy.
    ///
    /// # Errors
    ///
    /// [`CopyError::NotConfirmed`] if the store has not confirmed the copy within `age_max`,
    /// [`CopyError::Behind`] if `after` belongs to a later era, and [`CopyError::HistoryGone`] if it
    /// belongs to an earlier one or the history does not reach back to it.
    pub fn read(
        &self,
        after: Option<Position>,
        now: Duration,
        age_max: Duration,
    ) -> Result<CopyResponse, CopyError> {
        let confirmed = self.confirmed_at.map(|at| at + age_max).filter(|until| now < *until);
        let until = confirmed.ok_or(CopyError::NotConfirmed)?;
        let Some(after) = after else { return Ok(CopyResponse::Rows(self.all())) };
        match after.era.cmp(&self.position.era) {
            Ordering::Greater => return Err(CopyError::Behind),
            Ordering::Equal if after.version >= self.history_start => {}
            Ordering::Equal | Ordering::Less => return Err(CopyError::HistoryGone),
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
        Changes { rows: present, position: self.position, store_reachable_for: None }
    }

    /// Returns the rows that a reader at `after`, a position of the copy's era, does not have;
    /// possibly none. Unlike [`read`](Self::read), it checks neither whether the store has confirmed
    /// the copy nor whether the history reaches back to `after`.
    pub fn changes_since(&self, after: Position) -> Changes {
        let newer = self.rows.values().filter(|stored| stored.unknown_below > after.version);
        let mut rows: Vec<Row> = newer.map(|stored| stored.row.clone()).collect();
        rows.sort_by_key(|row| row.version);
        Changes { rows, position: self.position.max(after), store_reachable_for: None }
    }
}
