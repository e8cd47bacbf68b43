//! Decoding of messages about instance health: evidence and verdicts.

use ebonytack_core::{Evidence, InstanceEvidence, Message, Scope, Verdict, VerdictPhase};

use crate::Result;
use crate::generated::peer_capnp as schema;

/// The limit of each counter of an instance in one evidence message; larger values are clamped.
const COUNT_MAX: u32 = 100_000;

pub(super) fn decode_evidence(from: schema::evidence_report::Reader<'_>) -> Result<Message> {
    Ok(Message::Evidence {
        service: from.get_service()?.to_string()?,
        sent_at_us: from.get_sent_at_us(),
        instances: from
            .get_instances()?
            .iter()
            .map(decode_instance_evidence)
            .collect::<Result<_>>()?,
        applied: from.get_applied()?.iter().map(decode_verdict).collect::<Result<_>>()?,
    })
}

pub(super) fn decode_verdicts(from: schema::verdicts::Reader<'_>) -> Result<Message> {
    Ok(Message::Verdicts {
        service: from.get_service()?.to_string()?,
        sent_at_us: from.get_sent_at_us(),
        verdicts: from.get_verdicts()?.iter().map(decode_verdict).collect::<Result<_>>()?,
    })
}

fn decode_instance_evidence(
    from: schema::instance_evidence::Reader<'_>,
) -> Result<InstanceEvidence> {
    Ok(InstanceEvidence {
        instance: from.get_instance()?.to_string()?,
        attempts: Evidence {
            good: from.get_good().min(COUNT_MAX),
            failed: from.get_failed().min(COUNT_MAX),
            fast: from.get_fast().min(COUNT_MAX),
            slow: from.get_slow().min(COUNT_MAX),
        },
        probes_good: from.get_probes_good().min(COUNT_MAX),
        probes_failed: from.get_probes_failed().min(COUNT_MAX),
    })
}

fn decode_verdict(from: schema::verdict::Reader<'_>) -> Result<Verdict> {
    let data_centre = from.get_data_centre()?.to_string()?;
    Ok(Verdict {
        instance: from.get_instance()?.to_string()?,
        scope: if data_centre.is_empty() { Scope::Fleet } else { Scope::DataCentre(data_centre) },
        phase: match from.get_returning() {
            true => VerdictPhase::Returning(from.get_percent().min(100)),
            false => VerdictPhase::Ejected,
        },
        probe: from.get_probe(),
    })
}
