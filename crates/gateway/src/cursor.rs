//! Decides which reads of a table a host applies, and from where it reads on.
//!
//! A host reads from the store or from another host, which may be behind. A store that was restored
//! from a copy gives out versions again, and what was written after the copy is gone. What a host
//! read in an earlier era therefore tells it nothing about the changes since: it reads all rows.

use crate::{Changes, Era, Position};

/// How far a host has read one table.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableCursor {
    /// Position up to which changes were read; `None` when all rows have to be read.
    position: Option<Position>,
    /// The newest position that was read, or of which the host knows that it exists. Invariant:
    /// never decreases.
    newest: Position,
    /// Era of the rows that the host holds; `None` before it has read any.
    rows_era: Option<Era>,
}

/// What to do with the response to a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadResult {
    /// The rows are all of the table and replace those read before.
    Snapshot {
        /// Whether rows of an earlier era were read before.
        restored: bool,
    },
    /// The rows were changed after the position from which the read continued.
    Changes,
    /// The store was restored since the last read. The rows are dropped, since others may have been
    /// changed or lost as well; all rows have to be read.
    Restored,
    /// The source is behind what the host has read. The rows are dropped.
    Behind,
}

impl TableCursor {
    /// Returns the position after which changes are to be read; `None` when all rows are.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Records that the store has reached this era, which another call has shown. Returns whether all
    /// rows have to be read because of it.
    pub fn on_era(&mut self, era: Era) -> bool {
        if era <= self.newest.era {
            return false;
        }
        self.newest = Position { era, version: 0 };
        self.position.take().is_some()
    }

    /// Records that the source no longer has the changes after the position.
    pub fn on_history_gone(&mut self) {
        self.position = None;
    }

    /// Decides on the response to a read of the changes after `after`, or of all rows if it is `None`:
    /// what [`position`](Self::position) returned when the read began. Another call may have shown a
    /// later era since.
    pub fn on_response(&mut self, after: Option<Position>, changes: &Changes) -> ReadResult {
        let read = changes.position;
        let Some(after) = after else { return self.on_snapshot(read) };
        if read.era < self.newest.era {
            return ReadResult::Behind;
        }
        self.on_era(read.era);
        if self.position != Some(after) {
            return ReadResult::Restored;
        }
        // A peer that is behind returns no changes, and an older version.
        self.newest = self.newest.max(read);
        self.position = Some(self.newest);
        ReadResult::Changes
    }

    fn on_snapshot(&mut self, read: Position) -> ReadResult {
        if read < self.newest {
            return ReadResult::Behind;
        }
        let restored = self.rows_era.replace(read.era).is_some_and(|era| era < read.era);
        self.newest = read;
        self.position = Some(read);
        ReadResult::Snapshot { restored }
    }
}
