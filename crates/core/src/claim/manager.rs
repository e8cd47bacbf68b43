//! The claims that a host has under way for its own requests.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use super::{ClaimKey, ClaimRecord, ClaimVerdict, StoredResponse, VoterClaims};
use crate::lease::majority;
use crate::{
    CallId, HostId, Incarnation, Message, Outbox, RefusalReason, RequestId, TableResponse,
};

/// What a claim decision needs to know.
pub(crate) struct ClaimContext {
    pub(crate) now: Duration,
    pub(crate) me: HostId,
    pub(crate) incarnation: Incarnation,
    pub(crate) voters: Rc<[HostId]>,
}

/// What becomes of a request that claimed its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ClaimDecision {
    /// Votes are missing.
    Pending,
    /// The request may run.
    Run,
    /// The key has an answer already.
    Replay(StoredResponse),
    /// The request must not run.
    Refuse(RefusalReason),
}

/// A claim under way.
#[derive(Debug)]
struct Pending {
    key: ClaimKey,
    record: ClaimRecord,
    voters: Rc<[HostId]>,
    recorded: BTreeSet<HostId>,
    guarded: bool,
    rival: Option<ClaimRecord>,
    answered: BTreeSet<HostId>,
    /// Voters that did not know all claims when they were asked.
    incomplete: BTreeSet<HostId>,
    table: TableConsent,
    decided: bool,
}

/// Whether the table has recorded a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TableConsent {
    Asked,
    Given,
    Denied,
    Unavailable,
}

/// The claims that a host has under way for its own requests, and those that it keeps as voter.
#[derive(Debug, Default)]
pub(crate) struct ClaimManager {
    pub(crate) table: VoterClaims,
    pending: BTreeMap<RequestId, Pending>,
    pub(crate) calls: BTreeMap<CallId, (RequestId, String)>,
}

/// Claiming.
impl ClaimManager {
    /// Asks the voters of the key's shard to record a claim.
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
        let pending = Pending {
            key: key.clone(),
            record: record.clone(),
            voters: Rc::clone(&context.voters),
            recorded: BTreeSet::new(),
            guarded: false,
            rival: None,
            answered: BTreeSet::new(),
            incomplete: BTreeSet::new(),
            table: TableConsent::Asked,
            decided: false,
        };
        self.pending.insert(request, pending);
        let mut decision = ClaimDecision::Pending;
        for voter in context.voters.iter() {
            if *voter == context.me {
                let verdict = self.table.claim(&key, &record, context.now);
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
        pending.answered.insert(from);
        pending.incomplete.remove(&from);
        match verdict {
            ClaimVerdict::Recorded { guarded } => {
                pending.recorded.insert(from);
                pending.guarded |= *guarded;
            }
            ClaimVerdict::Exists(record) => pending.note_rival(record),
            ClaimVerdict::Incomplete => {
                pending.incomplete.insert(from);
            }
        }
        self.decide(request, false)
    }

    /// Takes the table's answer to the claim's row.
    pub(crate) fn on_table(&mut self, request: RequestId, answer: &TableResponse) -> ClaimDecision {
        let Some(pending) = self.pending.get_mut(&request) else { return ClaimDecision::Pending };
        pending.table = match answer {
            TableResponse::Committed => TableConsent::Given,
            TableResponse::Conflict => TableConsent::Denied,
            TableResponse::Rows(rows) => {
                let own = |value: &str| {
                    serde_json::from_str::<ClaimRecord>(value)
                        .is_ok_and(|record| record.same_claim(&pending.record))
                };
                if rows.iter().any(|row| own(&row.value)) {
                    TableConsent::Given
                } else {
                    TableConsent::Unavailable
                }
            }
            TableResponse::Unavailable | TableResponse::Unknown => TableConsent::Unavailable,
        };
        self.decide(request, false)
    }

    /// Asks the voters again that did not know all claims or did not answer; returns whether there
    /// are any.
    pub(crate) fn ask_again(
        &mut self,
        context: &ClaimContext,
        request: RequestId,
        out: &mut Outbox,
    ) -> ClaimDecision {
        let Some(pending) = self.pending.get(&request) else { return ClaimDecision::Pending };
        let (key, record) = (pending.key.clone(), pending.record.clone());
        let due = |voter: &&HostId| {
            pending.incomplete.contains(*voter) || !pending.answered.contains(*voter)
        };
        let voters: Vec<HostId> = pending.voters.iter().filter(due).copied().collect();
        let mut decision = ClaimDecision::Pending;
        for voter in voters {
            if voter == context.me {
                let verdict = self.table.claim(&key, &record, context.now);
                decision = self.on_vote(context.me, &key, request, &verdict);
            } else {
                out.send(voter, Message::Claim { key: key.clone(), record: record.clone() });
            }
        }
        decision
    }

    /// Returns whether neither a majority nor a rival is known yet.
    pub(crate) fn lacks_votes(&self, request: RequestId) -> bool {
        self.pending.get(&request).is_some_and(|pending| {
            pending.rival.is_none() && pending.recorded.len() < majority(pending.voters.len())
        })
    }

    /// Ends the wait for votes.
    pub(crate) fn on_timeout(&mut self, request: RequestId) -> ClaimDecision {
        self.decide(request, true)
    }

    /// Returns the row and the record of a claim, for the table.
    pub(crate) fn row(&self, request: RequestId) -> Option<(String, ClaimRecord)> {
        self.pending.get(&request).map(|p| (p.key.row_name(), p.record.clone()))
    }

    fn decide(&mut self, request: RequestId, last: bool) -> ClaimDecision {
        let Some(pending) = self.pending.get_mut(&request).filter(|p| !p.decided) else {
            return ClaimDecision::Pending;
        };
        let decision = pending.decision(last);
        pending.decided = decision != ClaimDecision::Pending;
        decision
    }
}

/// Ending.
impl ClaimManager {
    /// Frees the claim of a request that has not run; returns its row when the table has it.
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
                self.table.release(&pending.key, owner, request);
            } else {
                let key = pending.key.clone();
                out.send(*voter, Message::ClaimRelease { key, request });
            }
        }
        (pending.table == TableConsent::Given).then(|| pending.key.row_name())
    }

    /// Records the answer of a request that ran; without an answer the claim stays as it is.
    pub(crate) fn finish(
        &mut self,
        context: &ClaimContext,
        request: RequestId,
        answer: Option<StoredResponse>,
        out: &mut Outbox,
    ) {
        self.calls.retain(|_, (id, _)| *id != request);
        let Some(pending) = self.pending.remove(&request) else { return };
        let Some(answer) = answer else { return };
        for voter in pending.voters.iter() {
            if *voter == context.me {
                self.table.answer(&pending.key, context.me, request, &answer);
            } else {
                let (key, answer) = (pending.key.clone(), answer.clone());
                out.send(*voter, Message::ClaimAnswer { key, request, answer });
            }
        }
    }
}

impl Pending {
    /// Remembers the rival claim, and rather one that has an answer.
    fn note_rival(&mut self, record: &ClaimRecord) {
        if self.rival.as_ref().is_none_or(|rival| rival.answer.is_none()) {
            self.rival = Some(record.clone());
        }
    }

    fn decision(&self, last: bool) -> ClaimDecision {
        if let Some(rival) = &self.rival
            && let Some(answer) = &rival.answer
        {
            if rival.digest != self.record.digest {
                return ClaimDecision::Refuse(RefusalReason::KeyReused);
            }
            return ClaimDecision::Replay(answer.clone());
        }
        if self.recorded.len() >= majority(self.voters.len()) {
            return self.backed_decision(last);
        }
        let definite = self.answered.len() - self.incomplete.len();
        let complete = last || definite == self.voters.len();
        match &self.rival {
            _ if !complete => ClaimDecision::Pending,
            Some(rival) if rival.digest != self.record.digest => {
                ClaimDecision::Refuse(RefusalReason::KeyReused)
            }
            Some(_) => ClaimDecision::Refuse(RefusalReason::KeyInProgress),
            None => ClaimDecision::Refuse(RefusalReason::ClaimUnavailable),
        }
    }

    /// Decides once the voters agree. The table backs them up: its refusal counts, its silence
    /// only where the voters may have lost claims.
    fn backed_decision(&self, last: bool) -> ClaimDecision {
        match self.table {
            TableConsent::Given => ClaimDecision::Run,
            TableConsent::Denied => ClaimDecision::Refuse(RefusalReason::KeyInProgress),
            TableConsent::Asked if !last => ClaimDecision::Pending,
            TableConsent::Asked | TableConsent::Unavailable if self.guarded => {
                ClaimDecision::Refuse(RefusalReason::ClaimUnavailable)
            }
            TableConsent::Asked | TableConsent::Unavailable => ClaimDecision::Run,
        }
    }
}
