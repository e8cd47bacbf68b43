//! Encoding of messages about claims of idempotency keys.

use ebonytack_core::{ClaimKey, ClaimRecord, ClaimVerdict, Message, StoredResponse};

use crate::generated::peer_capnp as schema;

pub(super) fn encode(to: schema::message::Builder<'_>, message: &Message) {
    match message {
        Message::Claim { key, record } => encode_claim(to.init_claim(), key, record),
        Message::ClaimVote { key, request, verdict } => {
            let mut to = to.init_claim_vote();
            encode_key(to.reborrow().init_key(), key);
            to.set_request(*request);
            let mut to = to.init_verdict();
            match verdict {
                ClaimVerdict::Recorded { guarded } => to.set_recorded(*guarded),
                ClaimVerdict::Exists(record) => encode_record(to.init_exists(), record),
                ClaimVerdict::Incomplete => to.set_incomplete(()),
            }
        }
        Message::ClaimRelease { key, request } => {
            let mut to = to.init_claim_release();
            to.set_request(*request);
            encode_key(to.init_key(), key);
        }
        Message::ClaimAnswer { key, request, answer } => {
            let mut to = to.init_claim_answer();
            to.set_request(*request);
            encode_key(to.reborrow().init_key(), key);
            encode_stored_response(to.init_answer(), answer);
        }
        Message::ClaimSyncReply { shard, complete, claims } => {
            let mut to = to.init_claim_sync_reply();
            to.set_shard(*shard);
            to.set_complete(*complete);
            let mut list = to.init_claims(claims.len() as u32);
            for (index, (key, record)) in claims.iter().enumerate() {
                encode_claim(list.reborrow().get(index as u32), key, record);
            }
        }
        // The parent module encodes all other messages.
        _ => {}
    }
}

fn encode_claim(mut to: schema::claim::Builder<'_>, key: &ClaimKey, record: &ClaimRecord) {
    encode_key(to.reborrow().init_key(), key);
    encode_record(to.init_record(), record);
}

fn encode_key(mut to: schema::claim_key::Builder<'_>, key: &ClaimKey) {
    to.set_customer(&key.customer);
    to.set_key(key.key.as_bytes());
}

fn encode_record(mut to: schema::claim_record::Builder<'_>, record: &ClaimRecord) {
    to.set_owner(record.owner);
    to.set_incarnation(record.incarnation);
    to.set_request(record.request);
    to.set_digest(record.digest.as_bytes());
    if let Some(answer) = &record.answer {
        to.set_answered(true);
        encode_stored_response(to.init_answer(), answer);
    }
}

fn encode_stored_response(mut to: schema::answer::Builder<'_>, response: &StoredResponse) {
    to.set_status(response.status);
    if let Some(content_type) = &response.content_type {
        to.set_has_content_type(true);
        to.set_content_type(content_type);
    }
    if let Some(body) = &response.body {
        to.set_has_body(true);
        to.set_body(body);
    }
}
