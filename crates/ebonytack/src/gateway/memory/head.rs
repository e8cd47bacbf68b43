//! Estimates the memory of a request's head.

use actix_http::header::HeaderMap;

/// How often the text of a head is held: in the buffer that it was received in, which is up to twice as
/// large, and in the head that is sent to an instance, with the buffer's growth.
const TEXT_COPIES: usize = 4;
/// How many maps of the headers are held: that of the request and that of an attempt.
const MAPS: usize = 2;
/// A slot of a map: the name, four values in place, and the map's own byte.
const SLOT_BYTES: usize = 209;
/// What a request holds besides, such as its task and its timers.
const REQUEST_BYTES: usize = 2 * 1024;

/// Returns how many bytes a request holds for its head until its last attempt has ended.
pub fn head_memory_bytes(target_bytes: usize, headers: &HeaderMap) -> usize {
    let texts = headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    let text_bytes = target_bytes + texts.sum::<usize>();
    // A map is at most seven eighths full.
    let slots = (headers.len_keys() * 8 / 7 + 1).next_power_of_two();
    TEXT_COPIES * text_bytes + MAPS * SLOT_BYTES * slots + REQUEST_BYTES
}
