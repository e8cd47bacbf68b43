//! The data centres that the operator has evacuated.
//!
//! Rows and snapshots of the store may arrive late or through several hosts, so each state is kept
//! with the position in the store that it comes from. A store that was restored from a copy may lack
//! an evacuation until the operator has written it again.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonytack_core::DataCentreId;

use crate::Position;

/// Time for which an evacuation stays in force that a restored store lacks. The operator writes lost rows
/// again at once; an evacuation that has ended costs only capacity in the meantime.
const UNCONFIRMED_TIME: Duration = Duration::from_secs(5);

/// The newest known state of one data centre.
#[derive(Clone, Copy, Debug)]
struct EvacuationState {
    evacuated: bool,
    /// Position of the row or snapshot that gave this state. Invariant: never decreases.
    position: Position,
    /// When the last evacuation ended.
    ended_at: Option<Duration>,
    /// When an evacuation ends that the restored store lacks, unless it is written again.
    unconfirmed_until: Option<Duration>,
}

/// A data centre whose evacuation began or ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct EvacuationChange {
    pub(crate) data_centre: DataCentreId,
    pub(crate) evacuated: bool,
    /// Position of the row or snapshot that the change comes from.
    pub(crate) position: Position,
}

/// The evacuated data centres, and those that were evacuated before.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    /// Grows only with the names that the operator writes to the store.
    data_centres: BTreeMap<DataCentreId, EvacuationState>,
    /// Position of the last snapshot; older rows were already known to it. Invariant: never
    /// decreases.
    snapshot: Position,
    /// Newest position of a row or snapshot. Invariant: never decreases.
    newest: Position,
}

impl Evacuations {
    /// Applies a row and returns the change that it makes. A row that is older than the known state
    /// of its data centre or than the last snapshot is ignored.
    pub(crate) fn apply(
        &mut self,
        data_centre: DataCentreId,
        evacuated: bool,
        position: Position,
        now: Duration,
    ) -> Option<EvacuationChange> {
        let known = self.data_centres.get(&data_centre).copied();
        if position < known.map_or(self.snapshot, |state| state.position) {
            return None;
        }
        self.newest = self.newest.max(position);
        let was_evacuated = known.is_some_and(|state| state.evacuated);
        let has_ended = was_evacuated && !evacuated;
        let ended_at = if has_ended { Some(now) } else { known.and_then(|state| state.ended_at) };
        let state = EvacuationState { evacuated, position, ended_at, unconfirmed_until: None };
        self.data_centres.insert(data_centre.clone(), state);
        let has_changed = was_evacuated != evacuated;
        has_changed.then_some(EvacuationChange { data_centre, evacuated, position })
    }

    /// Applies the complete list of evacuated data centres and returns the changes that it makes. A
    /// list that is older than any row or list seen before is ignored. An evacuation that the first
    /// list of a later era lacks stays in force until [`next_end`](Self::next_end).
    pub(crate) fn apply_all(
        &mut self,
        evacuated: Vec<DataCentreId>,
        position: Position,
        now: Duration,
    ) -> Vec<EvacuationChange> {
        if position < self.newest {
            return Vec::new();
        }
        let is_restored = position.era > self.newest.era;
        (self.snapshot, self.newest) = (position, position);
        let mut unlisted = Vec::new();
        for (name, state) in &mut self.data_centres {
            if evacuated.contains(name) {
                continue;
            }
            if is_restored && state.evacuated {
                state.unconfirmed_until = Some(now + UNCONFIRMED_TIME);
            }
            if state.unconfirmed_until.is_some() {
                state.position = position;
            } else {
                unlisted.push(name.clone());
            }
        }
        let ended = unlisted.into_iter().map(|name| (name, false));
        let states: Vec<_> = evacuated.into_iter().map(|name| (name, true)).chain(ended).collect();
        let changes = states
            .into_iter()
            .filter_map(|(name, evacuated)| self.apply(name, evacuated, position, now));
        changes.collect()
    }

    /// Returns when the next evacuation ends that the restored store lacks.
    pub(crate) fn next_end(&self) -> Option<Duration> {
        self.data_centres.values().filter_map(|state| state.unconfirmed_until).min()
    }

    /// Ends the evacuations that the restored store has lacked long enough, and returns them.
    pub(crate) fn end_unconfirmed(&mut self, now: Duration) -> Vec<EvacuationChange> {
        let is_due = |until: Option<Duration>| until.is_some_and(|until| until <= now);
        let due = self.data_centres.iter().filter(|(_, state)| is_due(state.unconfirmed_until));
        let due: Vec<_> = due.map(|(name, state)| (name.clone(), state.position)).collect();
        due.into_iter()
            .filter_map(|(name, position)| self.apply(name, false, position, now))
            .collect()
    }

    /// Returns whether nothing more is to be sent to the data centre.
    pub(crate) fn is_evacuated(&self, data_centre: &str) -> bool {
        self.data_centres.get(data_centre).is_some_and(|state| state.evacuated)
    }

    /// Returns when the last evacuation of the data centre ended; `None` if there was none.
    pub(crate) fn ended_at(&self, data_centre: &str) -> Option<Duration> {
        self.data_centres.get(data_centre).and_then(|state| state.ended_at)
    }
}
