//! Random histories of a store that is restored from copies, read by hosts from it and from each other.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonytack_core::Random;
use ebonytack_gateway::{Changes, Position, ReadResult, Row, TableCopy, TableCursor, Version};

const SEEDS: u64 = 400;
const EVENTS: usize = 300;
const EVENT_TIME: Duration = Duration::from_millis(100);
const AGE_MAX: Duration = Duration::from_secs(2);
const KEYS: usize = 5;
/// Reads that a host may need to catch up: one that shows the era, one of all rows, one of changes.
const READS_MAX: usize = 3;

type Rows = BTreeMap<String, Vec<u8>>;

/// A table of the store, with what it has been.
#[derive(Default)]
struct Store {
    position: Position,
    rows: BTreeMap<String, Row>,
    copy: (BTreeMap<String, Row>, Version),
    /// Rows that a restore has lost and that were not written again yet.
    lost: Vec<Row>,
    /// Reads from an earlier version get 410.
    history_start: Version,
    history: BTreeMap<Position, Rows>,
}

impl Store {
    fn write(&mut self, key: String, value: Option<Vec<u8>>) {
        self.position.version += 1;
        let row = Row { key: key.clone(), value, version: self.position.version };
        self.rows.insert(key, row);
        self.history.insert(self.position, present(self.rows.values()));
    }

    /// Comes back from the copy; what was lost is written again by later events.
    fn restore(&mut self) {
        let (rows, version) = self.copy.clone();
        let current = std::mem::replace(&mut self.rows, rows);
        let lost = current.into_values().filter(|row| row.version > version);
        self.lost.extend(lost);
        self.position = Position { era: self.position.era + 1, version };
        self.history_start = self.history_start.min(version);
        self.history.insert(self.position, present(self.rows.values()));
    }

    fn write_again(&mut self) {
        if !self.lost.is_empty() {
            let row = self.lost.remove(0);
            self.write(row.key, row.value);
        }
    }

    /// Responds to a read; `None` is a 410, which shows the era as well.
    fn read(&self, after: Option<Position>) -> Option<Changes> {
        let after = after.map(|after| after.version);
        if after.is_some_and(|after| after > self.position.version || after < self.history_start) {
            return None;
        }
        let is_read = |row: &&Row| match after {
            Some(after) => row.version > after,
            None => row.value.is_some(),
        };
        let mut rows: Vec<Row> = self.rows.values().filter(is_read).cloned().collect();
        rows.sort_by_key(|row| row.version);
        Some(Changes { rows, position: self.position, store_reachable_for: None })
    }
}

fn present<'a>(rows: impl Iterator<Item = &'a Row>) -> Rows {
    rows.filter_map(|row| Some((row.key.clone(), row.value.clone()?))).collect()
}

/// A read that has begun, and the response unless the source is still to be asked.
struct Read {
    after: Option<Position>,
    source: Option<usize>,
    response: Option<Response>,
}

#[derive(Clone)]
enum Response {
    Changes(Changes),
    HistoryGone,
    Refused,
}

#[derive(Default)]
struct Host {
    cursor: TableCursor,
    copy: TableCopy,
    /// What the reducer was told.
    table: Rows,
    newest: Position,
    read: Option<Read>,
}

#[derive(Default)]
struct World {
    store: Store,
    hosts: Vec<Host>,
    now: Duration,
}

impl World {
    /// Asks a host, or the store if it is `None`.
    fn ask(&self, source: Option<usize>, after: Option<Position>) -> Response {
        use ebonytack_gateway::{CopyError, CopyResponse};
        let Some(host) = source else {
            return self.store.read(after).map_or(Response::HistoryGone, Response::Changes);
        };
        let copy = &self.hosts[host].copy;
        match copy.read(after, self.now, AGE_MAX) {
            Ok(CopyResponse::Rows(changes)) => Response::Changes(changes),
            Ok(CopyResponse::Unchanged { .. }) => {
                Response::Changes(copy.changes_since(after.expect("a read of changes")))
            }
            Err(CopyError::HistoryGone) => Response::HistoryGone,
            Err(CopyError::NotConfirmed | CopyError::Behind) => Response::Refused,
        }
    }

    fn begin(&mut self, host: usize, source: Option<usize>, responds_now: bool) {
        let after = self.hosts[host].cursor.position();
        let response = responds_now.then(|| self.ask(source, after));
        if source.is_some() {
            self.hosts[host].copy.invalidate();
        }
        self.hosts[host].read = Some(Read { after, source, response });
    }

    fn end(&mut self, host: usize) {
        let Some(Read { after, source, response }) = self.hosts[host].read.take() else { return };
        let response = response.unwrap_or_else(|| self.ask(source, after));
        let (era, now) = (self.store.position.era, self.now);
        let Host { cursor, copy, table, newest, .. } = &mut self.hosts[host];
        let changes = match response {
            Response::Changes(changes) => changes,
            Response::HistoryGone => {
                if source.is_none() {
                    cursor.on_era(era);
                }
                return cursor.on_history_gone();
            }
            Response::Refused => return,
        };
        let is_snapshot = match cursor.on_response(after, &changes) {
            ReadResult::Snapshot { .. } => true,
            ReadResult::Changes => false,
            ReadResult::Restored | ReadResult::Behind => return,
        };
        copy.apply(&changes, is_snapshot);
        if source.is_none() {
            copy.confirm(now);
        }
        if is_snapshot {
            table.clear();
        }
        for row in changes.rows {
            match row.value {
                Some(value) => table.insert(row.key, value),
                None => table.remove(&row.key),
            };
        }
        let position = cursor.position().expect("rows were applied");
        assert!(position >= *newest, "host {host} goes back from {newest} to {position}");
        *newest = position;
        let expected = self.store.history.get(&position).cloned().unwrap_or_default();
        assert_eq!(*table, expected, "host {host} at {position}");
    }

    fn random_event(&mut self, random: &mut Random) {
        self.now += EVENT_TIME;
        let host = random.below(self.hosts.len());
        match random.below(24) {
            0..=3 => {
                let key = format!("row-{}", random.below(KEYS));
                let value = (random.below(4) > 0).then(|| random.below(1_000_000).to_le_bytes());
                self.store.write(key, value.map(Vec::from));
            }
            4 => self.store.copy = (self.store.rows.clone(), self.store.position.version),
            5 if self.store.copy.1 > 0 => self.store.restore(),
            6..=7 => self.store.write_again(),
            8 => self.store.history_start = self.store.position.version,
            9 => self.hosts[host] = Host::default(),
            // Another call has shown the era, or the read was given up.
            10 => _ = self.hosts[host].cursor.on_era(self.store.position.era),
            11 => self.hosts[host].read = None,
            12..=16 if self.hosts[host].read.is_none() => {
                let source = random.below(self.hosts.len());
                let source = Some(source).filter(|source| *source != host);
                let responds_now = random.below(2) == 0;
                self.begin(host, source, responds_now);
            }
            _ => self.end(host),
        }
    }

    /// Lets a host read from a source until it has caught up.
    fn catch_up(&mut self, host: usize, source: Option<usize>) {
        self.hosts[host].read = None;
        for _ in 0..READS_MAX {
            self.begin(host, source, true);
            self.end(host);
        }
        let expected = present(self.store.rows.values());
        assert_eq!(self.hosts[host].table, expected, "host {host} from {source:?}");
    }
}

/// Guards against any order of restores, reads, late responses and hand-overs after which a host is stuck,
/// or mixes rows of two eras, or goes back: at each position a host knows exactly what the store held.
#[test]
fn hosts_follow_any_history_of_restores() {
    for seed in 1..=SEEDS {
        let mut random = Random::new(seed);
        let mut world = World::default();
        world.store.position.era = 1;
        world.store.history.insert(world.store.position, Rows::new());
        world.hosts.resize_with(3 + random.below(3), Host::default);
        for _ in 0..EVENTS {
            world.random_event(&mut random);
        }
        while !world.store.lost.is_empty() {
            world.store.write_again();
        }
        // One host reads the store, and the others read from it.
        let reader = random.below(world.hosts.len());
        world.catch_up(reader, None);
        for host in (0..world.hosts.len()).filter(|host| *host != reader) {
            world.catch_up(host, Some(reader));
        }
        // And after another restore, without an event in between, each by itself.
        world.store.copy = (world.store.rows.clone(), world.store.position.version);
        for host in 0..world.hosts.len() {
            world.store.write(format!("row-{host}"), None);
            world.store.restore();
            while !world.store.lost.is_empty() {
                world.store.write_again();
            }
            world.catch_up(host, None);
        }
    }
}
