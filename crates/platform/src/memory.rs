//! A platform inside one process, for first use and as the heart of stand-ins.

use std::cell::RefCell;
use std::collections::BTreeMap;

use ebonytack_core::{HostId, TableRequest, TableResponse, TableRow};

use crate::{HostEntry, Platform};

/// A transactional table with conditional writes.
#[derive(Debug, Default)]
pub struct MemoryTable {
    rows: BTreeMap<String, (u64, String)>,
    writes: u64,
}

impl MemoryTable {
    /// Carries out one question.
    pub fn execute(&mut self, request: TableRequest) -> TableResponse {
        match request {
            TableRequest::Scan { prefix, start, limit } => {
                let rows = self.rows.range(start..);
                let rows = rows.take_while(|(name, _)| name.starts_with(&prefix));
                let copy = |(name, (version, value)): (&String, &(u64, String))| TableRow {
                    name: name.clone(),
                    version: *version,
                    value: value.clone(),
                };
                TableResponse::Rows(rows.take(limit as usize).map(copy).collect())
            }
            TableRequest::Commit { conditions, writes } => {
                let holds = |(name, version): &(String, u64)| self.version(name) == *version;
                if !conditions.iter().all(holds) {
                    return TableResponse::Conflict;
                }
                for (name, value) in writes {
                    self.write(name, value);
                }
                TableResponse::Committed
            }
        }
    }

    /// Returns the number of rows written so far.
    pub fn writes(&self) -> u64 {
        self.writes
    }

    fn version(&self, name: &str) -> u64 {
        self.rows.get(name).map_or(0, |(version, _)| *version)
    }

    fn write(&mut self, name: String, value: Option<String>) {
        self.writes += 1;
        let version = self.version(&name) + 1;
        match value {
            Some(value) => self.rows.insert(name, (version, value)),
            None => self.rows.remove(&name),
        };
    }
}

/// A platform inside one process.
#[derive(Debug, Default)]
pub struct MemoryPlatform {
    table: RefCell<MemoryTable>,
    hosts: RefCell<BTreeMap<HostId, HostEntry>>,
}

impl Platform for MemoryPlatform {
    async fn table(&self, request: TableRequest) -> TableResponse {
        self.table.borrow_mut().execute(request)
    }

    async fn hosts(&self) -> Option<Vec<HostEntry>> {
        Some(self.hosts.borrow().values().cloned().collect())
    }

    async fn register(&self, entry: HostEntry) -> bool {
        self.hosts.borrow_mut().insert(entry.host, entry);
        true
    }
}
