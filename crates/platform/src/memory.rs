//! A platform inside one process, for first use and as the heart of stand-ins.

use std::cell::RefCell;
use std::collections::BTreeMap;

use ebonytack_core::{HostId, TableAnswer, TableRequest, TableRow};

use crate::{HostEntry, Platform};

/// A transactional table with conditional writes.
#[derive(Debug, Default)]
pub struct MemoryTable {
    rows: BTreeMap<String, (u64, String)>,
    writes: u64,
}

impl MemoryTable {
    /// Carries out one question.
    pub fn execute(&mut self, request: TableRequest) -> TableAnswer {
        match request {
            TableRequest::Scan { prefix, start, limit } => {
                let rows = self.rows.range(start..);
                let rows = rows.take_while(|(name, _)| name.starts_with(&prefix));
                let copy = |(name, (version, value)): (&String, &(u64, String))| TableRow {
                    name: name.clone(),
                    version: *version,
                    value: value.clone(),
                };
                TableAnswer::Rows(rows.take(limit as usize).map(copy).collect())
            }
            TableRequest::Commit { conditions, writes } => {
                let holds = |(name, version): &(String, u64)| self.version(name) == *version;
                if !conditions.iter().all(holds) {
                    return TableAnswer::Conflict;
                }
                for (name, value) in writes {
                    self.write(name, value);
                }
                TableAnswer::Committed
            }
        }
    }

    /// Returns the number of rows written so far.
    pub fn write_count(&self) -> u64 {
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
    async fn execute(&self, request: TableRequest) -> TableAnswer {
        self.table.borrow_mut().execute(request)
    }

    async fn list_hosts(&self) -> Option<Vec<HostEntry>> {
        Some(self.hosts.borrow().values().cloned().collect())
    }

    async fn register_host(&self, entry: HostEntry) -> bool {
        self.hosts.borrow_mut().insert(entry.host, entry);
        true
    }
}
