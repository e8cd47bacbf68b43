//! Claims of idempotency keys, for this host's own requests and as voter.

use std::time::Duration;

use super::Host;
use crate::attempt::Stage;
use crate::claim::{ClaimDecision, ClaimKey, ClaimRecord};
use crate::lease::majority;
use crate::{
    Effect, KeyHash, Message, Refusal, RefusalReason, RequestId, ShardId, TableAnswer,
    TableRequest, Timer,
};

/// How long a claim waits for votes, and for the table when the voters agree.
const CLAIM_WAIT: Duration = Duration::from_millis(250);
/// How often an incomplete voter asks its fellow voters again.
const CLAIM_SYNC_INTERVAL: Duration = Duration::from_millis(300);
const CLAIM_ROW_PREFIX: &str = "claim/";
const CLAIM_SCAN_ROWS: u32 = 1_000;
/// Marks the table calls that read claims back.
const SCAN_REQUEST: RequestId = RequestId::MAX;

/// For this host's own requests.
impl Host {
    pub(super) fn begin_claim(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(&request) else { return };
        active.stage = Stage::Claim;
        active.claimed = true;
        active.claim_deadline_at =
            (self.now + active.profile.admission_wait()).min(active.deadline_at);
        let key = ClaimKey {
            customer: active.customer.clone().unwrap_or_default(),
            key: KeyHash::of(active.head.idempotency_key.clone().unwrap_or_default().as_bytes()),
        };
        let digest = active.head.digest.unwrap_or_else(|| KeyHash::of(b""));
        self.timers.arm(self.now + CLAIM_WAIT, Timer::ClaimWait(request));
        let context = self.claim_context(key.shard());
        let decision = self.claims.begin(&context, request, key, digest, &mut self.out);
        self.write_claim_row(request);
        self.on_claim_decision(request, decision);
    }

    pub(super) fn on_claim_wait(&mut self, request: RequestId) {
        if self.requests.get(&request).is_none_or(|active| active.stage != Stage::Claim) {
            return;
        }
        let wait_until = self.requests.get(&request).map(|active| active.claim_deadline_at);
        let lacking = self.claims.lacks_votes(request);
        if lacking && wait_until.is_some_and(|until| self.now < until) {
            self.timers.arm(self.now + CLAIM_WAIT, Timer::ClaimWait(request));
            let context = self.claim_context(0);
            let decision = self.claims.ask_again(&context, request, &mut self.out);
            self.on_claim_decision(request, decision);
            return;
        }
        let decision = self.claims.on_timeout(request);
        self.on_claim_decision(request, decision);
    }

    pub(super) fn on_claim_decision(&mut self, request: RequestId, decision: ClaimDecision) {
        match decision {
            ClaimDecision::Pending => {}
            ClaimDecision::Run => self.enqueue(request),
            ClaimDecision::Replay(answer) => {
                self.refund_rate(request);
                self.finish_request(request);
                self.out.push(Effect::Replay { request, answer });
            }
            ClaimDecision::Refuse(reason) => {
                self.refund_rate(request);
                let refusal = match reason {
                    RefusalReason::KeyInProgress => Refusal::unknown(reason),
                    _ => Refusal::not_run(reason),
                };
                self.refuse(request, refusal);
            }
        }
    }

    fn write_claim_row(&mut self, request: RequestId) {
        let Some((row, record)) = self.claims.row(request) else { return };
        let value = match serde_json::to_string(&record) {
            Ok(value) => Some(value),
            Err(error) => {
                // A write without a value would remove the row; the votes still hold the claim.
                self.out.notice(format!("claim: {row} cannot be encoded: {error}."));
                return;
            }
        };
        let call = self.new_call();
        self.claims.calls.insert(call, (request, row.clone()));
        let conditions = vec![(row.clone(), 0)];
        let request = TableRequest::Commit { conditions, writes: vec![(row, value)] };
        self.out.push(Effect::Table { call, request });
    }

    /// Takes the table's answer to a claim's row or to a scan of all of them.
    pub(super) fn on_claim_table(
        &mut self,
        (request, row): (RequestId, String),
        answer: &TableAnswer,
    ) {
        if request == SCAN_REQUEST {
            self.on_claim_rows(answer);
            return;
        }
        if self.claims.row(request).is_none() {
            if *answer == TableAnswer::Committed {
                self.delete_claim_row(row);
            }
            return;
        }
        if *answer == TableAnswer::Unknown {
            self.read_claim_row(request, row);
            return;
        }
        let decision = self.claims.on_table(request, answer);
        self.on_claim_decision(request, decision);
    }

    /// Frees the claim of a request that has not run, also in the table.
    pub(super) fn release_claim(&mut self, request: RequestId) {
        let context = self.claim_context(0);
        let row = self.claims.release(&context, request, &mut self.out);
        if let Some(row) = row {
            self.delete_claim_row(row);
        }
    }

    fn read_claim_row(&mut self, request: RequestId, row: String) {
        let call = self.new_call();
        self.claims.calls.insert(call, (request, row.clone()));
        let request = TableRequest::Scan { prefix: row.clone(), start: row, limit: 1 };
        self.out.push(Effect::Table { call, request });
    }

    fn delete_claim_row(&mut self, row: String) {
        let call = self.new_call();
        let conditions = vec![(row.clone(), 1)];
        let request = TableRequest::Commit { conditions, writes: vec![(row, None)] };
        self.out.push(Effect::Table { call, request });
    }
}

/// As voter.
impl Host {
    /// Works out on which shards this host keeps claims.
    pub(super) fn refresh_claim_shards(&mut self) {
        let hosts = self.configuration.declaration.hosts();
        let me = self.identity.host;
        let map = &mut self.leases.voter_map;
        let all = crate::lease::all_shards();
        let mine: Vec<ShardId> = all.filter(|s| map.voters(hosts, *s).contains(&me)).collect();
        self.claims.table.set_shards(&mine, self.now);
    }

    /// Asks fellow voters for claims that this host lacks, and the table for those lost by all.
    pub(super) fn sync_claims(&mut self) {
        if self.now < self.claims_synced_at + CLAIM_SYNC_INTERVAL {
            return;
        }
        self.claims_synced_at = self.now;
        for shard in self.claims.table.incomplete() {
            let voters = self.voters(shard);
            let me = self.identity.host;
            for voter in voters.iter().filter(|voter| **voter != me) {
                self.out.send(*voter, Message::ClaimSync { shard });
            }
            self.claims.table.settle(shard, majority(voters.len()), self.now);
        }
        let scanning = self.claims.calls.values().any(|(request, _)| *request == SCAN_REQUEST);
        if self.claims.table.is_any_guarded() && !scanning {
            self.scan_claims(CLAIM_ROW_PREFIX.to_owned());
        }
    }

    fn scan_claims(&mut self, start: String) {
        let call = self.new_call();
        self.claims.calls.insert(call, (SCAN_REQUEST, start.clone()));
        let prefix = CLAIM_ROW_PREFIX.to_owned();
        let request = TableRequest::Scan { prefix, start, limit: CLAIM_SCAN_ROWS };
        self.out.push(Effect::Table { call, request });
    }

    fn on_claim_rows(&mut self, answer: &TableAnswer) {
        let TableAnswer::Rows(rows) = answer else { return };
        for row in rows {
            let record = serde_json::from_str::<ClaimRecord>(&row.value);
            let key = ClaimKey::from_row_name(&row.name);
            if let (Ok(record), Some(key)) = (record, key) {
                self.claims.table.restore(&key, &record, self.now);
            }
        }
        match rows.last() {
            Some(last) if rows.len() >= CLAIM_SCAN_ROWS as usize => {
                self.scan_claims(format!("{}\u{0}", last.name));
            }
            _ => self.claims.table.end_guard(),
        }
    }
}
