//! In-memory platform for a single process, for trial runs and test doubles.

use std::cell::RefCell;
use std::collections::BTreeMap;

use ebonytack_core::{HostId, TableRequest, TableResponse, TableRow};

use crate::{HostEntry, Platform};

/// In-memory transactional table with conditional writes.
///
/// Contents are lost when the value is dropped.
#[derive(Debug, Default)]
pub struct MemoryTable {
    rows: BTreeMap<String, (u64, String)>,
    write_count: u64,
}

impl MemoryTable {
    /// Executes one request atomically.
    pub fn execute(&mut self, request: TableRequest) -> TableResponse {
        match request {
            TableRequest::Scan { prefix, start, limit } => {
                let rows = self.rows.range(start..);
                let rows = rows.take_while(|(name, _)| name.starts_with(&prefix));
                let to_row = |(name, (version, value)): (&String, &(u64, String))| TableRow {
                    name: name.clone(),
                    version: *version,
                    value: value.clone(),
                };
                TableResponse::Rows(rows.take(limit as usize).map(to_row).collect())
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

    /// Returns the number of row writes so far, including deletions.
    pub fn write_count(&self) -> u64 {
        self.write_count
    }

    /// Returns the version of a row; 0 if it is absent.
    fn version(&self, name: &str) -> u64 {
        self.rows.get(name).map_or(0, |(version, _)| *version)
    }

    fn write(&mut self, name: String, value: Option<String>) {
        self.write_count += 1;
        let version = self.version(&name) + 1;
        match value {
            Some(value) => self.rows.insert(name, (version, value)),
            None => self.rows.remove(&name),
        };
    }
}

/// In-memory [`Platform`] for a single process.
#[derive(Debug, Default)]
pub struct MemoryPlatform {
    table: RefCell<MemoryTable>,
    hosts: RefCell<BTreeMap<HostId, HostEntry>>,
}

impl Platform for MemoryPlatform {
    async fn execute(&self, request: TableRequest) -> TableResponse {
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
