//! Decoding of Cap'n Proto messages into the types of the core. Invalid input is rejected.

mod claims;
mod health;

use std::net::SocketAddr;

use capnp::message::ReaderOptions;
use capnp::serialize;
use ebonytack_core::{Batch, ChangeSet, Draw, Grant, KeyHash, Message, PeerAddress};

use crate::generated::peer_capnp as schema;
use crate::{BATCH_MAX_BYTES, Error, ErrorKind, PROTOCOL_VERSION, Result};

const HASH_BYTES: usize = 32;
const NESTING_LIMIT: i32 = 16;

/// Decodes a batch. Does not check its signature; call
/// [`FleetSecret::verify`](crate::FleetSecret::verify) first.
///
/// # Errors
///
/// [`ErrorKind::TooLarge`] above [`BATCH_MAX_BYTES`], [`ErrorKind::Version`] for another protocol
/// version, and [`ErrorKind::Malformed`] for bytes that are not a valid batch.
pub fn decode_batch(mut bytes: &[u8]) -> Result<Batch> {
    if bytes.len() > BATCH_MAX_BYTES {
        return Err(Error::new(ErrorKind::TooLarge, format!("{} bytes", bytes.len())));
    }
    let traversal_limit_words = bytes.len() * 2;
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(traversal_limit_words)).nesting_limit(NESTING_LIMIT);
    let message = serialize::read_message_from_flat_slice(&mut bytes, options)?;
    let root = message.get_root::<schema::batch::Reader<'_>>()?;
    if root.get_version() != PROTOCOL_VERSION {
        let detail = format!("version {}, this build reads {PROTOCOL_VERSION}", root.get_version());
        return Err(Error::new(ErrorKind::Version, detail));
    }
    Ok(Batch {
        from: root.get_from(),
        incarnation: root.get_incarnation(),
        to: root.get_to(),
        sequence: root.get_sequence(),
        revision: root.get_revision(),
        reply_to: decode_address(root.get_reply_to()?)?,
        messages: root.get_messages()?.iter().map(decode_message).collect::<Result<_>>()?,
    })
}

fn decode_message(from: schema::message::Reader<'_>) -> Result<Message> {
    use schema::message::Which;
    Ok(match from.which()? {
        Which::Sync(from) => {
            let from = from?;
            Message::Sync { sent_at_us: from.get_sent_at_us(), revision: from.get_revision() }
        }
        Which::SyncReply(from) => {
            let from = from?;
            Message::SyncReply {
                sent_at_us: from.get_sent_at_us(),
                revision: from.get_revision(),
                age_ms: Some(from.get_age_ms()).filter(|age| *age != u32::MAX),
                settled: from.get_settled(),
                withdrawn: decode_key_hashes(from.get_withdrawn()?)?,
                changes: decode_changes(from.get_changes_json()?)?,
                addresses: from.get_addresses()?.iter().map(decode_peer).collect::<Result<_>>()?,
            }
        }
        Which::News(from) => {
            let from = from?;
            Message::News {
                withdrawn: decode_key_hashes(from.get_withdrawn()?)?,
                changes: decode_changes(from.get_changes_json()?)?,
            }
        }
        Which::LeaseRequest(from) => {
            let from = from?;
            Message::LeaseRequest {
                shard: from.get_shard(),
                lease: from.get_lease(),
                sent_at_us: from.get_sent_at_us(),
            }
        }
        Which::LeaseVote(from) => {
            let from = from?;
            Message::LeaseVote {
                shard: from.get_shard(),
                lease: from.get_lease(),
                sent_at_us: from.get_sent_at_us(),
                granted: from.get_granted(),
            }
        }
        Which::LeaseRelease(from) => {
            let from = from?;
            Message::LeaseRelease { shard: from.get_shard(), lease: from.get_lease() }
        }
        Which::NotHolder(from) => {
            let from = from?;
            let holder = from.get_holder_known().then_some(from.get_holder());
            Message::NotHolder { shard: from.get_shard(), holder }
        }
        Which::Draw(from) => Message::Draw(decode_draw(from?)?),
        Which::Grant(from) => Message::Grant(decode_grant(from?)?),
        Which::Evidence(from) => health::decode_evidence(from?)?,
        Which::Verdicts(from) => health::decode_verdicts(from?)?,
        Which::Claim(from) => claims::decode_claim(from?)?,
        Which::ClaimVote(from) => claims::decode_vote(from?)?,
        Which::ClaimRelease(from) => claims::decode_release(from?)?,
        Which::ClaimAnswer(from) => claims::decode_answer(from?)?,
        Which::ClaimSync(shard) => Message::ClaimSync { shard },
        Which::ClaimSyncReply(from) => claims::decode_sync_reply(from?)?,
    })
}

fn decode_peer(from: schema::peer_address::Reader<'_>) -> Result<PeerAddress> {
    Ok(PeerAddress {
        host: from.get_host(),
        incarnation: from.get_incarnation(),
        address: decode_address(from.get_address()?)?,
    })
}

fn decode_address(text: capnp::text::Reader<'_>) -> Result<SocketAddr> {
    let text = text.to_str()?;
    let malformed = |_| Error::new(ErrorKind::Malformed, format!("address {text:?}"));
    text.parse().map_err(malformed)
}

fn decode_draw(from: schema::draw::Reader<'_>) -> Result<Draw> {
    Ok(Draw {
        customer: from.get_customer()?.to_string()?,
        sequence: from.get_sequence(),
        last_grant: from.get_last_grant(),
        held: from.get_held(),
        returned: from.get_returned(),
        needed: from.get_needed(),
        ahead: from.get_ahead(),
        sent_at_us: from.get_sent_at_us(),
    })
}

fn decode_grant(from: schema::grant::Reader<'_>) -> Result<Grant> {
    Ok(Grant {
        customer: from.get_customer()?.to_string()?,
        sequence: from.get_sequence(),
        sent_at_us: from.get_sent_at_us(),
        tokens: from.get_tokens(),
        retry_after_ms: from.get_retry_after_ms(),
        confirm: from.get_confirm(),
    })
}

fn decode_changes(json: &[u8]) -> Result<Option<ChangeSet>> {
    if json.is_empty() {
        return Ok(None);
    }
    Ok(Some(serde_json::from_slice(json)?))
}

fn decode_key_hashes(from: capnp::data_list::Reader<'_>) -> Result<Vec<KeyHash>> {
    from.iter().map(|key| decode_key_hash(key?)).collect()
}

fn decode_key_hash(bytes: &[u8]) -> Result<KeyHash> {
    let bytes: [u8; HASH_BYTES] = bytes.try_into().map_err(|_| {
        Error::new(
            ErrorKind::Malformed,
            format!("hash of {} bytes, expected {HASH_BYTES}", bytes.len()),
        )
    })?;
    Ok(KeyHash::from(bytes))
}
