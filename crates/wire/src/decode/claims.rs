//! Decoding of messages about claims of idempotency keys.

use ebonytack_core::{ClaimKey, ClaimRecord, ClaimVerdict, Message, StoredResponse};

use super::decode_key_hash;
use crate::Result;
use crate::generated::peer_capnp as schema;

pub(super) fn decode_claim(from: schema::claim::Reader<'_>) -> Result<Message> {
    let (key, record) = decode_entry(from)?;
    Ok(Message::Claim { key, record })
}

pub(super) fn decode_vote(from: schema::claim_vote::Reader<'_>) -> Result<Message> {
    use schema::claim_vote::verdict::Which;
    let verdict = match from.get_verdict().which()? {
        Which::Recorded(guarded) => ClaimVerdict::Recorded { guarded },
        Which::Exists(record) => ClaimVerdict::Exists(decode_record(record?)?),
        Which::Incomplete(()) => ClaimVerdict::Incomplete,
    };
    let key = decode_key(from.get_key()?)?;
    Ok(Message::ClaimVote { key, request: from.get_request(), verdict })
}

pub(super) fn decode_release(from: schema::claim_ref::Reader<'_>) -> Result<Message> {
    let key = decode_key(from.get_key()?)?;
    Ok(Message::ClaimRelease { key, request: from.get_request() })
}

pub(super) fn decode_answer(from: schema::claim_answer::Reader<'_>) -> Result<Message> {
    Ok(Message::ClaimAnswer {
        key: decode_key(from.get_key()?)?,
        request: from.get_request(),
        answer: decode_stored_response(from.get_answer()?)?,
    })
}

pub(super) fn decode_sync_reply(from: schema::claim_sync_reply::Reader<'_>) -> Result<Message> {
    Ok(Message::ClaimSyncReply {
        shard: from.get_shard(),
        complete: from.get_complete(),
        claims: from.get_claims()?.iter().map(decode_entry).collect::<Result<_>>()?,
    })
}

fn decode_entry(from: schema::claim::Reader<'_>) -> Result<(ClaimKey, ClaimRecord)> {
    Ok((decode_key(from.get_key()?)?, decode_record(from.get_record()?)?))
}

fn decode_key(from: schema::claim_key::Reader<'_>) -> Result<ClaimKey> {
    let customer = from.get_customer()?.to_string()?;
    Ok(ClaimKey { customer, key: decode_key_hash(from.get_key()?)? })
}

fn decode_record(from: schema::claim_record::Reader<'_>) -> Result<ClaimRecord> {
    let answer = match from.get_answered() {
        true => Some(decode_stored_response(from.get_answer()?)?),
        false => None,
    };
    Ok(ClaimRecord {
        owner: from.get_owner(),
        incarnation: from.get_incarnation(),
        request: from.get_request(),
        digest: decode_key_hash(from.get_digest()?)?,
        answer,
    })
}

fn decode_stored_response(from: schema::answer::Reader<'_>) -> Result<StoredResponse> {
    let content_type = match from.get_has_content_type() {
        true => Some(from.get_content_type()?.to_string()?),
        false => None,
    };
    let body = match from.get_has_body() {
        true => Some(from.get_body()?.to_vec()),
        false => None,
    };
    Ok(StoredResponse { status: from.get_status(), content_type, body })
}
