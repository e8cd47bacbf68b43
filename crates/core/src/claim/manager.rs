//! The idempotency-key claims that a host has requested, and those that it keeps as voter.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use super::{ClaimKey, ClaimRecord, ClaimVerdict, StoredResponse, VoterClaims};
use crate::lease::majority;
use crate::{
    CallId, HostId, Incarnation, Message, Outbox, RefusalReason, RequestId, TableResponse,
};

/// The inputs of a claim decision besides the claim itself.
pub(crate) struct ClaimContext {
    pub(crate) now: Duration,
    pub(crate) me: HostId,
    pub(crate) incarnation: Incarnation,
    pub(crate) voters: Rc<[HostId]>,
}

/// The outcome of a claim so far.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ClaimDecision {
    /// More votes, or the result of the table write, are needed.
    Pending,
    /// The request may run.
    Run,
    /// An earlier request with the key has a response already.
    Replay(StoredResponse),
    /// The request must not run.
    Refuse(RefusalReason),
}

/// A claim that is not released or finished yet.
#[derive(Debug)]
struct PendingClaim {
    key: ClaimKey,
    record: ClaimRecord,
    voters: Rc<[HostId]>,
    recorded_by: BTreeSet<HostId>,
    /// Whether a voter that recorded the claim may have lost other claims.
    guarded: bool,
    conflicting: Option<ClaimRecord>,
    responded: BTreeSet<HostId>,
    /// Voters that did not know all claims of the shard when they replied.
    incomplete: BTreeSet<HostId>,
    table_write: TableWrite,
    decided: bool,
}

/// The state of the write of the claim's row to the platform's table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TableWrite {
    Pending,
    Committed,
    Conflict,
    Unavailable,
}

/// The claims that a host has requested, and those that it keeps as voter.
#[derive(Debug, Default)]
pub(crate) struct ClaimManager {
    pub(crate) voter_claims: VoterClaims,
    pending: BTreeMap<RequestId, PendingClaim>,
    pub(crate) table_calls: BTreeMap<CallId, (RequestId, String)>,
}

/// Requesting claims and deciding on them.
impl ClaimManager {
    /// Requests votes for a claim from the voters of the key's shard.
    pub(crate) fn begin(
        &mut self,
        context: &ClaimContext,
        request: RequestId,
        key: ClaimKey,
        digest: crate::KeyHash,
        out: &mut Outbox,
    ) -> ClaimDecision {
        let record = ClaimRecord {
            owner: context.me,
            incarnation: context.incarnation,
            request,
            digest,
            answer: None,
        };
        let pending = PendingClaim {
            key: key.clone(),
            record: record.clone(),
            voters: Rc::clone(&context.voters),
            recorded_by: BTreeSet::new(),
            guarded: false,
            conflicting: None,
            responded: BTreeSet::new(),
            incomplete: BTreeSet::new(),
            table_write: TableWrite::Pending,
            decided: false,
        };
        self.pending.insert(request, pending);
        let mut decision = ClaimDecision::Pending;
        for voter in context.voters.iter() {
            if *voter == context.me {
                let verdict = self.voter_claims.claim(&key, &record, context.now);
                decision = self.on_vote(context.me, &key, request, &verdict);
            } else {
                let (key, record) = (key.clone(), record.clone());
                out.send(*voter, Message::Claim { key, record });
            }
        }
        decision
    }

    pub(crate) fn on_vote(
        &mut self,
        from: HostId,
        key: &ClaimKey,
        request: RequestId,
        verdict: &ClaimVerdict,
    ) -> ClaimDecision {
        let Some(pending) = self.pending.get_mut(&request).filter(|p| p.key == *key) else {
            return ClaimDecision::Pending;
        };
        pending.responded.insert(from);
        pending.incomplete.remove(&from);
        match verdict {
            ClaimVerdict::Recorded { guarded } => {
                pending.recorded_by.insert(from);
                pending.guarded |= *guarded;
            }
            ClaimVerdict::Exists(record) => pending.record_conflict(record),
            ClaimVerdict::Incomplete => {
                pending.incomplete.insert(from);
            }
        }
        self.decide(request, false)
    }

    /// Handles the table's response to a write or read of the claim's row.
    pub(crate) fn on_table_response(
        &mut self,
        request: RequestId,
        response: &TableResponse,
    ) -> ClaimDecision {
        let Some(pending) = self.pending.get_mut(&request) else { return ClaimDecision::Pending };
        pending.table_write = match response {
            TableResponse::Committed => TableWrite::Committed,
            TableResponse::Conflict => TableWrite::Conflict,
            TableResponse::Rows(rows) => {
                let own = |value: &str| {
                    serde_json::from_str::<ClaimRecord>(value)
                        .is_ok_and(|record| record.same_claim(&pending.record))
                };
                if rows.iter().any(|row| own(&row.value)) {
                    TableWrite::Committed
                } else {
                    TableWrite::Unavailable
                }
            }
            TableResponse::Unavailable | TableResponse::Unknown => TableWrite::Unavailable,
        };
        self.decide(request, false)
    }

    /// Sends the claim again to voters that did not reply or did not know all claims.
    pub(crate) fn request_missing_votes(
        &mut self,
        context: &ClaimContext,
        request: RequestId,
        out: &mut Outbox,
    ) -> ClaimDecision {
        let Some(pending) = self.pending.get(&request) else { return ClaimDecision::Pending };
        let (key, record) = (pending.key.clone(), pending.record.clone());
        let missing = |voter: &&HostId| {
            pending.incomplete.contains(*voter) || !pending.responded.contains(*voter)
        };
        let voters: Vec<HostId> = pending.voters.iter().filter(missing).copied().collect();
        let mut decision = ClaimDecision::Pending;
        for voter in voters {
            if voter == context.me {
                let verdict = self.voter_claims.claim(&key, &record, context.now);
                decision = self.on_vote(context.me, &key, request, &verdict);
            } else {
                out.send(voter, Message::Claim { key: key.clone(), record: record.clone() });
            }
        }
        decision
    }

    /// Returns whether neither a majority nor a conflicting claim is known yet.
    pub(crate) fn lacks_votes(&self, request: RequestId) -> bool {
        self.pending.get(&request).is_some_and(|pending| {
            pending.conflicting.is_none()
                && pending.recorded_by.len() < majority(pending.voters.len())
        })
    }

    /// Decides with the votes received so far.
    pub(crate) fn on_timeout(&mut self, request: RequestId) -> ClaimDecision {
        self.decide(request, true)
    }

    /// Returns the name and the content of the claim's row in the table.
    pub(crate) fn row(&self, request: RequestId) -> Option<(String, ClaimRecord)> {
        self.pending.get(&request).map(|p| (p.key.row_name(), p.record.clone()))
    }

    fn decide(&mut self, request: RequestId, timed_out: bool) -> ClaimDecision {
        let Some(pending) = self.pending.get_mut(&request).filter(|p| !p.decided) else {
            return ClaimDecision::Pending;
        };
        let decision = pending.decision(timed_out);
        pending.decided = decision != ClaimDecision::Pending;
        decision
    }
}

/// Releasing and finishing claims.
impl ClaimManager {
    /// Releases the claim of a request that has not run. Returns the name of its row when the row
    /// was written and has to be deleted.
    pub(crate) fn release(
        &mut self,
        context: &ClaimContext,
        request: RequestId,
        out: &mut Outbox,
    ) -> Option<String> {
        let pending = self.pending.remove(&request)?;
        for voter in pending.voters.iter() {
            if *voter == context.me {
                let owner = (context.me, context.incarnation);
                self.voter_claims.release(&pending.key, owner, request);
            } else {
                let key = pending.key.clone();
                out.send(*voter, Message::ClaimRelease { key, request });
            }
        }
        (pending.table_write == TableWrite::Committed).then(|| pending.key.row_name())
    }

    /// Stores the response of a request that ran. Without a response the claim stays, so that no
    /// other request with the key runs.
    pub(crate) fn finish(
        &mut self,
        context: &ClaimContext,
        request: RequestId,
        answer: Option<StoredResponse>,
        out: &mut Outbox,
    ) {
        self.table_calls.retain(|_, (id, _)| *id != request);
        let Some(pending) = self.pending.remove(&request) else { return };
        let Some(answer) = answer else { return };
        for voter in pending.voters.iter() {
            if *voter == context.me {
                self.voter_claims.store_response(&pending.key, context.me, request, &answer);
            } else {
                let (key, answer) = (pending.key.clone(), answer.clone());
                out.send(*voter, Message::ClaimAnswer { key, request, answer });
            }
        }
    }
}

impl PendingClaim {
    /// Stores a conflicting claim, unless the known one already has a response.
    fn record_conflict(&mut self, record: &ClaimRecord) {
        if self.conflicting.as_ref().is_none_or(|conflicting| conflicting.answer.is_none()) {
            self.conflicting = Some(record.clone());
        }
    }

    fn decision(&self, timed_out: bool) -> ClaimDecision {
        if let Some(conflicting) = &self.conflicting
            && let Some(answer) = &conflicting.answer
        {
            if conflicting.digest != self.record.digest {
                return ClaimDecision::Refuse(RefusalReason::KeyReused);
            }
            return ClaimDecision::Replay(answer.clone());
        }
        if self.recorded_by.len() >= majority(self.voters.len()) {
            return self.majority_decision(timed_out);
        }
        let definite = self.responded.len() - self.incomplete.len();
        let complete = timed_out || definite == self.voters.len();
        match &self.conflicting {
            _ if !complete => ClaimDecision::Pending,
            Some(conflicting) if conflicting.digest != self.record.digest => {
                ClaimDecision::Refuse(RefusalReason::KeyReused)
            }
            Some(_) => ClaimDecision::Refuse(RefusalReason::KeyInProgress),
            None => ClaimDecision::Refuse(RefusalReason::ClaimUnavailable),
        }
    }

    /// Decides after a majority recorded the claim. A conflict in the table always rejects the
    /// claim; an unavailable table rejects it only when the voters may have lost claims.
    fn majority_decision(&self, timed_out: bool) -> ClaimDecision {
        match self.table_write {
            TableWrite::Committed => ClaimDecision::Run,
            TableWrite::Conflict => ClaimDecision::Refuse(RefusalReason::KeyInProgress),
            TableWrite::Pending if !timed_out => ClaimDecision::Pending,
            TableWrite::Pending | TableWrite::Unavailable if self.guarded => {
                ClaimDecision::Refuse(RefusalReason::ClaimUnavailable)
            }
            TableWrite::Pending | TableWrite::Unavailable => ClaimDecision::Run,
        }
    }
}
