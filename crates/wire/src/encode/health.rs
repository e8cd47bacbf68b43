//! Encoding of messages about instance health: evidence and verdicts.

use ebonytack_core::{InstanceEvidence, Message, Scope, Verdict, VerdictPhase};

use crate::generated::peer_capnp as schema;

pub(super) fn encode(to: schema::message::Builder<'_>, message: &Message) {
    match message {
        Message::Evidence { service, sent_at_us, instances, applied } => {
            let mut to = to.init_evidence();
            to.set_service(service);
            to.set_sent_at_us(*sent_at_us);
            let mut list = to.reborrow().init_instances(instances.len() as u32);
            for (index, entry) in instances.iter().enumerate() {
                encode_instance_evidence(list.reborrow().get(index as u32), entry);
            }
            encode_verdicts(to.init_applied(applied.len() as u32), applied);
        }
        Message::Verdicts { service, sent_at_us, verdicts } => {
            let mut to = to.init_verdicts();
            to.set_service(service);
            to.set_sent_at_us(*sent_at_us);
            encode_verdicts(to.init_verdicts(verdicts.len() as u32), verdicts);
        }
        // The parent module encodes all other messages.
        _ => {}
    }
}

fn encode_instance_evidence(
    mut to: schema::instance_evidence::Builder<'_>,
    entry: &InstanceEvidence,
) {
    to.set_instance(&entry.instance);
    to.set_good(entry.attempts.good);
    to.set_failed(entry.attempts.failed);
    to.set_fast(entry.attempts.fast);
    to.set_slow(entry.attempts.slow);
    to.set_probes_good(entry.probes_good);
    to.set_probes_failed(entry.probes_failed);
}

fn encode_verdicts(
    mut to: capnp::struct_list::Builder<'_, schema::verdict::Owned>,
    verdicts: &[Verdict],
) {
    for (index, verdict) in verdicts.iter().enumerate() {
        let mut to = to.reborrow().get(index as u32);
        to.set_instance(&verdict.instance);
        if let Scope::DataCentre(id) = &verdict.scope {
            to.set_data_centre(id);
        }
        if let VerdictPhase::Returning(percent) = verdict.phase {
            to.set_returning(true);
            to.set_percent(percent);
        }
        to.set_probe(verdict.probe);
    }
}
