//! Encoding of the core's messages as Cap'n Proto.

mod claims;
mod health;

use capnp::message::{Builder, HeapAllocator};
use capnp::serialize;
use ebonytack_core::{Batch, ChangeSet, KeyHash, Message};

use crate::PROTOCOL_VERSION;
use crate::generated::peer_capnp as schema;

/// Encodes a batch. Does not sign it; see [`FleetSecret::sign`](crate::FleetSecret::sign).
pub fn encode_batch(batch: &Batch) -> Vec<u8> {
    let mut message = Builder::new(HeapAllocator::new());
    let mut root = message.init_root::<schema::batch::Builder<'_>>();
    root.set_version(PROTOCOL_VERSION);
    root.set_from(batch.from);
    root.set_incarnation(batch.incarnation);
    root.set_to(batch.to);
    root.set_sequence(batch.sequence);
    root.set_revision(batch.revision);
    root.set_reply_to(batch.reply_to.to_string());
    let mut list = root.init_messages(batch.messages.len() as u32);
    for (index, message) in batch.messages.iter().enumerate() {
        encode_message(list.reborrow().get(index as u32), message);
    }
    serialize::write_message_to_words(&message)
}

fn encode_message(mut to: schema::message::Builder<'_>, message: &Message) {
    match message {
        Message::Sync { sent_at_us, revision } => {
            let mut to = to.init_sync();
            to.set_sent_at_us(*sent_at_us);
            to.set_revision(*revision);
        }
        Message::SyncReply {
            sent_at_us,
            revision,
            age_ms,
            settled,
            withdrawn,
            changes,
            addresses,
        } => {
            let mut to = to.init_sync_reply();
            let mut list = to.reborrow().init_addresses(addresses.len() as u32);
            for (index, peer) in addresses.iter().enumerate() {
                let mut to = list.reborrow().get(index as u32);
                to.set_host(peer.host);
                to.set_incarnation(peer.incarnation);
                to.set_address(peer.address.to_string());
            }
            to.set_sent_at_us(*sent_at_us);
            to.set_revision(*revision);
            // `u32::MAX` encodes `None`.
            to.set_age_ms(age_ms.unwrap_or(u32::MAX));
            to.set_settled(*settled);
            to.set_changes_json(&changes_json(changes.as_ref()));
            encode_key_hashes(to.init_withdrawn(withdrawn.len() as u32), withdrawn);
        }
        Message::News { withdrawn, changes } => {
            let mut to = to.init_news();
            to.set_changes_json(&changes_json(changes.as_ref()));
            encode_key_hashes(to.init_withdrawn(withdrawn.len() as u32), withdrawn);
        }
        Message::LeaseRequest { shard, lease, sent_at_us } => {
            let mut to = to.init_lease_request();
            to.set_shard(*shard);
            to.set_lease(*lease);
            to.set_sent_at_us(*sent_at_us);
        }
        Message::LeaseVote { shard, lease, sent_at_us, granted } => {
            let mut to = to.init_lease_vote();
            to.set_shard(*shard);
            to.set_lease(*lease);
            to.set_sent_at_us(*sent_at_us);
            to.set_granted(*granted);
        }
        Message::LeaseRelease { shard, lease } => {
            let mut to = to.init_lease_release();
            to.set_shard(*shard);
            to.set_lease(*lease);
        }
        Message::NotHolder { shard, holder } => {
            let mut to = to.init_not_holder();
            to.set_shard(*shard);
            // Receivers ignore `holder` unless `holder_known` is set.
            to.set_holder(holder.unwrap_or_default());
            to.set_holder_known(holder.is_some());
        }
        Message::Draw(draw) => {
            let mut to = to.init_draw();
            to.set_customer(&draw.customer);
            to.set_sequence(draw.sequence);
            to.set_last_grant(draw.last_grant);
            to.set_held(draw.held);
            to.set_returned(draw.returned);
            to.set_needed(draw.needed);
            to.set_ahead(draw.ahead);
            to.set_sent_at_us(draw.sent_at_us);
        }
        Message::Grant(grant) => {
            let mut to = to.init_grant();
            to.set_customer(&grant.customer);
            to.set_sequence(grant.sequence);
            to.set_sent_at_us(grant.sent_at_us);
            to.set_tokens(grant.tokens);
            to.set_retry_after_ms(grant.retry_after_ms);
            to.set_confirm(grant.confirm);
        }
        Message::Evidence { .. } | Message::Verdicts { .. } => health::encode(to, message),
        Message::Claim { .. }
        | Message::ClaimVote { .. }
        | Message::ClaimRelease { .. }
        | Message::ClaimAnswer { .. }
        | Message::ClaimSyncReply { .. } => claims::encode(to, message),
        Message::ClaimSync { shard } => to.set_claim_sync(*shard),
    }
}

fn changes_json(changes: Option<&ChangeSet>) -> Vec<u8> {
    let Some(changes) = changes else { return Vec::new() };
    serde_json::to_vec(changes).unwrap_or_else(|error| {
        // Receivers decode empty bytes as a message without changes and request the changes again.
        log::error!("peer: failed to encode changes: {error}.");
        Vec::new()
    })
}

fn encode_key_hashes(mut to: capnp::data_list::Builder<'_>, keys: &[KeyHash]) {
    for (index, key) in keys.iter().enumerate() {
        to.set(index as u32, key.as_bytes());
    }
}
