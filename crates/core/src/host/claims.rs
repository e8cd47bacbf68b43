//! Claims of idempotency keys, for this host's own requests and as voter.

use std::time::Duration;

use super::Host;
use crate::attempt::Stage;
use crate::claim::{ClaimDecision, ClaimKey, ClaimRecord};
use crate::lease::majority;
use crate::{
    Effect, KeyHash, Message, Refusal, RefusalReason, RequestId, ShardId, TableRequest,
    TableResponse, Timer,
};

/// How long a claim waits for votes and for the table write before the votes are requested again or
/// the claim is decided without the missing ones.
const CLAIM_WAIT: Duration = Duration::from_millis(250);
/// How often a voter with missing claims requests them from the other voters.
const CLAIM_SYNC_INTERVAL: Duration = Duration::from_millis(300);
const CLAIM_ROW_PREFIX: &str = "claim/";
const CLAIM_SCAN_ROWS: u32 = 1_000;
/// Takes the place of a request id in table calls that read all claims back.
const SCAN_REQUEST_ID: RequestId = RequestId::MAX;

/// Claims for this host's own requests.
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
            let decision = self.claims.request_missing_votes(&context, request, &mut self.out);
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
                // A write without a value would delete the row; the voters still hold the claim.
                self.out.notice(format!("claim: {row} cannot be encoded: {error}."));
                return;
            }
        };
        let call = self.new_call_id();
        self.claims.table_calls.insert(call, (request, row.clone()));
        let conditions = vec![(row.clone(), 0)];
        let request = TableRequest::Commit { conditions, writes: vec![(row, value)] };
        self.out.push(Effect::Table { call, request });
    }

    /// Handles the table's response about a claim's row, or to a scan of all claims.
    pub(super) fn on_claim_table_response(
        &mut self,
        (request, row): (RequestId, String),
        response: &TableResponse,
    ) {
        if request == SCAN_REQUEST_ID {
            self.on_claim_rows(response);
            return;
        }
        if self.claims.row(request).is_none() {
            if *response == TableResponse::Committed {
                self.delete_claim_row(row);
            }
            return;
        }
        if *response == TableResponse::Unknown {
            self.read_claim_row(request, row);
            return;
        }
        let decision = self.claims.on_table_response(request, response);
        self.on_claim_decision(request, decision);
    }

    /// Releases the claim of a request that has not run, and deletes its row from the table.
    pub(super) fn release_claim(&mut self, request: RequestId) {
        let context = self.claim_context(0);
        let row = self.claims.release(&context, request, &mut self.out);
        if let Some(row) = row {
            self.delete_claim_row(row);
        }
    }

    fn read_claim_row(&mut self, request: RequestId, row: String) {
        let call = self.new_call_id();
        self.claims.table_calls.insert(call, (request, row.clone()));
        let request = TableRequest::Scan { prefix: row.clone(), start: row, limit: 1 };
        self.out.push(Effect::Table { call, request });
    }

    fn delete_claim_row(&mut self, row: String) {
        let call = self.new_call_id();
        let conditions = vec![(row.clone(), 1)];
        let request = TableRequest::Commit { conditions, writes: vec![(row, None)] };
        self.out.push(Effect::Table { call, request });
    }
}

/// Claims that this host keeps as voter.
impl Host {
    /// Updates the shards on which this host votes, after the declared hosts changed.
    pub(super) fn refresh_claim_shards(&mut self) {
        let hosts = self.configuration.declaration.hosts();
        let me = self.identity.host;
        let voter_map = &mut self.leases.voter_map;
        let all = crate::lease::all_shards();
        let own_shards: Vec<ShardId> =
            all.filter(|s| voter_map.voters(hosts, *s).contains(&me)).collect();
        self.claims.voter_claims.set_shards(&own_shards, self.now);
    }

    /// Requests missing claims from the other voters, and reads back from the table those that a
    /// majority lost.
    pub(super) fn sync_claims(&mut self) {
        if self.now < self.claims_synced_at + CLAIM_SYNC_INTERVAL {
            return;
        }
        self.claims_synced_at = self.now;
        for shard in self.claims.voter_claims.incomplete_shards() {
            let voters = self.voters(shard);
            let me = self.identity.host;
            for voter in voters.iter().filter(|voter| **voter != me) {
                self.out.send(*voter, Message::ClaimSync { shard });
            }
            self.claims.voter_claims.try_complete(shard, majority(voters.len()), self.now);
        }
        let scanning =
            self.claims.table_calls.values().any(|(request, _)| *request == SCAN_REQUEST_ID);
        if self.claims.voter_claims.any_guarded() && !scanning {
            self.scan_claims(CLAIM_ROW_PREFIX.to_owned());
        }
    }

    fn scan_claims(&mut self, start: String) {
        let call = self.new_call_id();
        self.claims.table_calls.insert(call, (SCAN_REQUEST_ID, start.clone()));
        let prefix = CLAIM_ROW_PREFIX.to_owned();
        let request = TableRequest::Scan { prefix, start, limit: CLAIM_SCAN_ROWS };
        self.out.push(Effect::Table { call, request });
    }

    fn on_claim_rows(&mut self, response: &TableResponse) {
        let TableResponse::Rows(rows) = response else { return };
        for row in rows {
            let record = serde_json::from_str::<ClaimRecord>(&row.value);
            let key = ClaimKey::from_row_name(&row.name);
            if let (Ok(record), Some(key)) = (record, key) {
                self.claims.voter_claims.restore(&key, &record, self.now);
            }
        }
        match rows.last() {
            Some(last) if rows.len() >= CLAIM_SCAN_ROWS as usize => {
                self.scan_claims(format!("{}\u{0}", last.name));
            }
            _ => self.claims.voter_claims.clear_guarded(),
        }
    }
}
