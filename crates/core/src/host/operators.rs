//! Changes by operators: the conditional write to the table, and the propagation to other hosts.

use std::time::Duration;

use super::Host;
use crate::configuration::ChangeSet;
use crate::lease::majority;
use crate::{
    CallId, Change, Effect, KeyHash, Message, Operation, OperatorReply, OperatorRequest, Revision,
    TableRequest, TableResponse, TableRow, Timer,
};

/// How long to wait for a majority of voters to confirm an accepted change.
const CONFIRM_WAIT: Duration = Duration::from_secs(3);
const CHANGE_ROW_PREFIX: &str = "change/";
const CHANGE_SCAN_ROWS: u32 = 100;

/// A pending table request, or an operator's request that waits for confirmation.
#[derive(Debug)]
pub(crate) enum PendingCall {
    /// Reads new changes.
    Poll {
        /// When the request was sent; the age of the list of withdrawn keys counts from then.
        sent_at: Duration,
    },
    /// Writes a change.
    Write {
        /// The operator's request; `None` when no reply depends on this write, as for a withdrawal.
        operator: Option<CallId>,
        /// The change to write.
        change: Change,
    },
    /// Reads the row of a change whose write got no response.
    ResolveWrite {
        /// The operator's request; `None` when no reply depends on this write.
        operator: Option<CallId>,
        /// The change whose write got no response.
        change: Change,
    },
    /// Reads changes for an operator.
    Audit {
        /// The operator's request.
        operator: CallId,
    },
    /// Waits until a majority of voters has a change or a withdrawal.
    Confirm {
        /// The revision to be confirmed; unused for a withdrawal.
        revision: Revision,
        /// The withdrawn key; `None` for other changes.
        withdrawn: Option<KeyHash>,
    },
}

/// Reading changes from the table.
impl Host {
    /// Requests the changes after the revision in force.
    pub(super) fn poll_table(&mut self) {
        let call = self.new_call_id();
        self.calls.insert(call, PendingCall::Poll { sent_at: self.now });
        self.scan_changes(call, self.configuration.revision, CHANGE_SCAN_ROWS);
    }

    fn scan_changes(&mut self, call: CallId, after: Revision, limit: u32) {
        let prefix = CHANGE_ROW_PREFIX.to_owned();
        let request = TableRequest::Scan { prefix, start: change_row(after + 1), limit };
        self.out.push(Effect::Table { call, request });
    }

    pub(super) fn on_table(&mut self, call: CallId, response: TableResponse) {
        if let Some(claim) = self.claims.table_calls.remove(&call) {
            self.on_claim_table_response(claim, &response);
            return;
        }
        match self.calls.remove(&call) {
            Some(PendingCall::Poll { sent_at }) => self.on_poll_response(sent_at, &response),
            Some(PendingCall::Write { operator, change }) => {
                self.on_write_result(operator, change, response);
            }
            Some(PendingCall::ResolveWrite { operator, change }) => {
                self.on_write_resolved(operator, change, &response);
            }
            Some(PendingCall::Audit { operator }) => self.on_audit_rows(operator, &response),
            Some(PendingCall::Confirm { .. }) | None => {}
        }
    }

    fn on_poll_response(&mut self, sent_at: Duration, response: &TableResponse) {
        let TableResponse::Rows(rows) = response else { return };
        let before = self.configuration.revision;
        let changes = self.parse_changes(rows);
        self.adopt_changes(&ChangeSet::Changes(changes));
        if rows.len() >= CHANGE_SCAN_ROWS as usize {
            self.poll_table();
        } else {
            self.configuration.freshness.record_table_read(sent_at);
        }
        if self.configuration.revision > before {
            self.gossip_changes(before);
        }
        self.write_withdrawals();
    }

    /// Writes withdrawals that were made while the table was unavailable.
    fn write_withdrawals(&mut self) {
        let writing = self.calls.values().any(|call| matches!(call, PendingCall::Write { .. }));
        let keys = self.configuration.unsaved_withdrawals();
        if writing || keys.is_empty() {
            return;
        }
        let remove = |id: KeyHash| Operation::Key { id, value: None };
        let change_id = format!("withdrawal-{}-{}", self.identity.host, self.next_call);
        let operations = keys.into_iter().map(remove).collect();
        self.write_change(None, change_id, "withdrawal".to_owned(), 0, operations);
    }
}

/// Handling operators' requests and writing changes.
impl Host {
    pub(super) fn on_operator(&mut self, call: CallId, request: OperatorRequest) {
        match request {
            OperatorRequest::Apply { change_id, author, made_at_unix_ms, based_on, operations } => {
                let current = self.configuration.revision;
                let based_on = based_on.unwrap_or(current);
                if let Some(revision) = self.configuration.revision_of(&change_id) {
                    self.reply(call, OperatorReply::Accepted { revision, confirmed: true });
                } else if based_on != current {
                    self.reply(call, OperatorReply::Conflict { based_on, current });
                } else {
                    self.write_change(Some(call), change_id, author, made_at_unix_ms, operations);
                }
            }
            OperatorRequest::WithdrawKey { change_id, author, made_at_unix_ms, key } => {
                self.withdraw_key(call, change_id, author, made_at_unix_ms, key);
            }
            OperatorRequest::Declaration => {
                let revision = self.configuration.revision;
                let declaration = Box::new(self.configuration.declaration.raw().clone());
                self.reply(call, OperatorReply::Declaration { revision, declaration });
            }
            OperatorRequest::Status => {
                let status = self.status();
                self.reply(call, OperatorReply::Status { status });
            }
            OperatorRequest::Audit { after, limit } => {
                let table_call = self.new_call_id();
                self.calls.insert(table_call, PendingCall::Audit { operator: call });
                self.scan_changes(table_call, after, limit);
            }
        }
    }

    fn write_change(
        &mut self,
        operator: Option<CallId>,
        change_id: String,
        author: String,
        made_at_unix_ms: u64,
        operations: Vec<Operation>,
    ) {
        let before = match self.configuration.declaration.dry_run(&operations) {
            Ok(before) => before,
            Err(error) => {
                let message = error.to_string();
                self.reply_if(operator, OperatorReply::Refused { message });
                return;
            }
        };
        let revision = self.configuration.revision + 1;
        let change = Change { revision, change_id, author, made_at_unix_ms, operations, before };
        let value = match serde_json::to_string(&change) {
            Ok(value) => Some(value),
            Err(error) => {
                // A write without a value would delete the row.
                let message = format!("the change cannot be encoded: {error}");
                self.out.notice(format!("audit: revision {revision}: {message}."));
                self.reply_if(operator, OperatorReply::Refused { message });
                return;
            }
        };
        let row = change_row(revision);
        let call = self.new_call_id();
        self.calls.insert(call, PendingCall::Write { operator, change });
        let conditions = vec![(row.clone(), 0)];
        let request = TableRequest::Commit { conditions, writes: vec![(row, value)] };
        self.out.push(Effect::Table { call, request });
    }

    fn on_write_result(
        &mut self,
        operator: Option<CallId>,
        change: Change,
        response: TableResponse,
    ) {
        match response {
            TableResponse::Committed => self.accept(operator, change),
            TableResponse::Conflict => {
                self.poll_table();
                let based_on = change.revision - 1;
                let current = self.configuration.revision.max(change.revision);
                self.reply_if(operator, OperatorReply::Conflict { based_on, current });
            }
            TableResponse::Unavailable => self.reply_if(operator, OperatorReply::Unavailable),
            TableResponse::Unknown | TableResponse::Rows(_) => {
                let call = self.new_call_id();
                let after = change.revision - 1;
                self.calls.insert(call, PendingCall::ResolveWrite { operator, change });
                self.scan_changes(call, after, 1);
            }
        }
    }

    /// Resolves a write without a response by the change that the table has now.
    fn on_write_resolved(
        &mut self,
        operator: Option<CallId>,
        change: Change,
        response: &TableResponse,
    ) {
        let found = match response {
            TableResponse::Rows(rows) => self.parse_changes(rows).into_iter().next(),
            _ => None,
        };
        match found {
            Some(found) if found.change_id == change.change_id => self.accept(operator, change),
            Some(_) => self.on_write_result(operator, change, TableResponse::Conflict),
            None => {
                let change_id = change.change_id;
                self.reply_if(operator, OperatorReply::Unknown { change_id });
            }
        }
    }

    fn accept(&mut self, operator: Option<CallId>, change: Change) {
        let revision = change.revision;
        let before = self.configuration.revision;
        self.out.notice(format!("audit: revision {revision} by {:?}.", change.author));
        self.adopt_changes(&ChangeSet::Changes(vec![change]));
        self.gossip_changes(before);
        self.push_to_voters(before);
        if let Some(call) = operator {
            self.await_confirmation(call, PendingCall::Confirm { revision, withdrawn: None });
        }
    }

    fn withdraw_key(
        &mut self,
        call: CallId,
        change_id: String,
        author: String,
        made_at_unix_ms: u64,
        key: KeyHash,
    ) {
        if self.configuration.declaration.key(&key).is_none() {
            let message = format!("keys.{key}: not declared at this revision");
            self.reply(call, OperatorReply::Refused { message });
            return;
        }
        let before = self.configuration.revision;
        self.configuration.record_withdrawals(&[key], before);
        self.out.notice(format!("audit: key {key} withdrawn by {author:?}."));
        self.gossip_changes(before);
        self.push_to_voters(before);
        let operations = vec![Operation::Key { id: key, value: None }];
        self.write_change(None, change_id, author, made_at_unix_ms, operations);
        let pending = PendingCall::Confirm { revision: 0, withdrawn: Some(key) };
        self.await_confirmation(call, pending);
    }

    fn on_audit_rows(&mut self, operator: CallId, response: &TableResponse) {
        let reply = match response {
            TableResponse::Rows(rows) => OperatorReply::Audit { changes: self.parse_changes(rows) },
            _ => OperatorReply::Unavailable,
        };
        self.reply(operator, reply);
    }
}

/// Confirming changes.
impl Host {
    fn push_to_voters(&mut self, revision: Revision) {
        let withdrawn = self.configuration.withdrawn_keys();
        let changes = self.configuration.changes_after(revision);
        let voters = self.configuration_voters();
        let me = self.identity.host;
        for voter in voters.iter().filter(|voter| **voter != me) {
            let (withdrawn, changes) = (withdrawn.clone(), changes.clone());
            self.out.send(*voter, Message::News { withdrawn, changes });
            self.send_sync(*voter);
        }
    }

    fn await_confirmation(&mut self, call: CallId, pending: PendingCall) {
        self.calls.insert(call, pending);
        self.timers.arm(self.now + CONFIRM_WAIT, Timer::OperatorWait(call));
        self.confirm_calls();
    }

    /// Replies to the operators whose change a majority of voters has.
    pub(super) fn confirm_calls(&mut self) {
        if !self.calls.values().any(|call| matches!(call, PendingCall::Confirm { .. })) {
            return;
        }
        let mut confirmed: Vec<CallId> = self.calls.keys().copied().collect();
        confirmed.retain(|call| self.is_confirmed(*call));
        for call in confirmed {
            let reply = match self.calls.remove(&call) {
                Some(PendingCall::Confirm { withdrawn: Some(_), .. }) => OperatorReply::Withdrawn,
                Some(PendingCall::Confirm { revision, .. }) => {
                    OperatorReply::Accepted { revision, confirmed: true }
                }
                _ => continue,
            };
            self.reply(call, reply);
        }
    }

    fn is_confirmed(&mut self, call: CallId) -> bool {
        let voters = self.configuration_voters();
        let Some(PendingCall::Confirm { revision, withdrawn }) = self.calls.get(&call) else {
            return false;
        };
        let has = |voter: &&crate::HostId| {
            if **voter == self.identity.host {
                return true;
            }
            self.peers.get(*voter).is_some_and(|peer| match withdrawn {
                Some(key) => {
                    let removed = self.configuration.declaration.key(key).is_none();
                    let current = peer.revision >= self.configuration.revision;
                    peer.withdrawn.contains(key) || (removed && current)
                }
                None => peer.revision >= *revision,
            })
        };
        voters.iter().filter(has).count() >= majority(voters.len())
    }

    pub(super) fn on_operator_wait(&mut self, call: CallId) {
        let reply = match self.calls.remove(&call) {
            Some(PendingCall::Confirm { withdrawn: Some(key), .. }) => {
                OperatorReply::Unknown { change_id: key.to_string() }
            }
            Some(PendingCall::Confirm { revision, .. }) => {
                OperatorReply::Accepted { revision, confirmed: false }
            }
            _ => return,
        };
        self.reply(call, reply);
    }

    fn reply(&mut self, call: CallId, reply: OperatorReply) {
        self.out.push(Effect::Reply { call, reply });
    }

    /// Parses changes from their rows. A row that cannot be parsed is skipped and logged.
    fn parse_changes(&mut self, rows: &[TableRow]) -> Vec<Change> {
        let mut changes = Vec::new();
        for row in rows {
            match serde_json::from_str(&row.value) {
                Ok(change) => changes.push(change),
                Err(error) => {
                    self.out.notice(format!("audit: row {} is not readable: {error}.", row.name));
                }
            }
        }
        changes
    }

    fn reply_if(&mut self, call: Option<CallId>, reply: OperatorReply) {
        if let Some(call) = call {
            self.reply(call, reply);
        }
    }
}

fn change_row(revision: Revision) -> String {
    format!("{CHANGE_ROW_PREFIX}{revision:012}")
}
