//! How the end of a response's body is found.

use actix_http::StatusCode;
use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};

/// Returns whether the end of the connection ends the body of a response to another request than
/// `HEAD` (RFC 9112, section 6.3, rules 4 and 8).
pub fn is_close_delimited(status: StatusCode, headers: &HeaderMap) -> bool {
    let bodiless = status.is_informational()
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let framed = match headers.get_all(TRANSFER_ENCODING).last() {
        // The parser fails where other encodings precede the chunks.
        Some(encoding) => encoding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked"),
        None => headers.contains_key(CONTENT_LENGTH),
    };
    !bodiless && !framed
}
