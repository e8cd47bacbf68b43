//! What a host remembers of an instance's process, also after its entry was removed.

use std::time::Duration;

use crate::{Instance, InstanceNotice};

/// Time for which a process is remembered after its entry was removed. Far longer than the store may
/// take to perform a write that it has not acknowledged.
const REMEMBERED_TIME: Duration = Duration::from_secs(300);
/// Time after which an entry with an earlier start is used if no newer entry has followed. A process
/// that is alive writes its entry again much sooner, so the entry is not that of an ended process.
const EARLIER_START_WAIT: Duration = Duration::from_secs(30);

/// The newest process of one instance id that the host knows of. A host keeps it while the instance
/// is in use, and longer.
#[derive(Debug)]
pub(super) struct KnownProcess {
    started_at_unix_ms: u64,
    /// The highest number of its entries.
    sequence: u64,
    /// The entry that the store holds although its process started earlier, and since when.
    earlier_start: Option<(Instance, Duration)>,
    /// The entry that a restored store holds although the host has seen its removal.
    withheld: Option<Instance>,
    /// When the entry was removed; `None` while there is one.
    removed_at: Option<Duration>,
    availability: Availability,
}

/// What a process has said of its availability to this host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Availability {
    /// Whether it prepares to exit. Invariant: never false again.
    pub(super) leaving: bool,
    /// Time until which it wants no requests. Invariant: never decreases.
    pub(super) paused_until: Duration,
}

impl KnownProcess {
    /// Creates the knowledge that follows from the first entry of an id.
    pub(super) fn new(entry: &Instance) -> Self {
        Self {
            started_at_unix_ms: entry.started_at_unix_ms,
            sequence: entry.sequence,
            earlier_start: None,
            withheld: None,
            removed_at: None,
            availability: Availability::default(),
        }
    }

    /// Returns what the process has said of its availability.
    pub(super) fn availability(&self) -> Availability {
        self.availability
    }

    /// Adds what a response said; `started_at_unix_ms` is the start of the process to which its
    /// request was sent. An earlier process says nothing of its successor.
    pub(super) fn notice(
        &mut self,
        notice: InstanceNotice,
        started_at_unix_ms: u64,
        now: Duration,
    ) {
        if started_at_unix_ms != self.started_at_unix_ms {
            return;
        }
        let availability = &mut self.availability;
        availability.leaving |= notice.leaving;
        let paused_until = now.saturating_add(notice.retry_after.unwrap_or_default());
        availability.paused_until = availability.paused_until.max(paused_until);
    }

    /// Takes an entry into account and returns whether it is the newest one. The store may perform
    /// a write late, so an entry that arrives later may have been written earlier.
    pub(super) fn accept(&mut self, entry: &Instance, now: Duration) -> bool {
        if entry.written_order() >= (self.started_at_unix_ms, self.sequence) {
            let is_same_process = entry.started_at_unix_ms == self.started_at_unix_ms;
            let availability = self.availability;
            *self = Self::new(entry);
            if is_same_process {
                self.availability = availability;
            }
            return true;
        }
        self.earlier_start = (entry.started_at_unix_ms < self.started_at_unix_ms)
            .then(|| (entry.clone(), self.earlier_start.as_ref().map_or(now, |(_, since)| *since)));
        false
    }

    /// Withholds an entry that is not newer than the removed one, and returns whether it did: the store
    /// was restored from a copy that still holds it.
    pub(super) fn withhold(&mut self, entry: &Instance) -> bool {
        let is_same_process = entry.started_at_unix_ms == self.started_at_unix_ms;
        let is_known = is_same_process && entry.sequence <= self.sequence;
        let is_withheld = self.removed_at.is_some() && is_known;
        if is_withheld {
            self.withheld = Some(entry.clone());
        }
        is_withheld
    }

    /// Returns the withheld entry, which is now to be used since its removal was not repeated.
    pub(super) fn take_withheld(&mut self) -> Option<Instance> {
        let entry = self.withheld.take()?;
        let availability = self.availability;
        *self = Self { availability, ..Self::new(&entry) };
        Some(entry)
    }

    /// Records that the entry was removed.
    pub(super) fn remove(&mut self, now: Duration) {
        self.withheld = None;
        self.earlier_start = None;
        self.removed_at.get_or_insert(now);
    }

    /// Returns the entry of an earlier start that is now to be used, since no newer one followed.
    /// Happens when the clock of the instance's machine went back before the instance was started.
    pub(super) fn take_earlier_start(&mut self, now: Duration) -> Option<Instance> {
        let is_due = |(_, since): &mut (Instance, Duration)| now >= *since + EARLIER_START_WAIT;
        let (entry, _) = self.earlier_start.take_if(is_due)?;
        *self = Self::new(&entry);
        Some(entry)
    }

    /// Returns whether the process can be forgotten, unless the instance is still in use.
    pub(super) fn is_expired(&self, now: Duration) -> bool {
        self.removed_at.is_some_and(|at| now >= at + REMEMBERED_TIME)
    }
}
