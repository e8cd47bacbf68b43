//! Parses the head of a request into the fields that routing and admission use.

use std::time::Duration;

use actix_http::header::{AUTHORIZATION, HOST, HeaderMap, HeaderName};
use actix_http::{Method, RequestHead as HttpHead};
use ebonytack_core::{KeyHash, RequestHead};

/// The header that carries a caller's API key.
pub(super) const KEY_HEADER: HeaderName = HeaderName::from_static("x-api-key");
/// The query parameter that carries a caller's API key.
pub(super) const KEY_PARAMETER: &str = "api_key";
const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("x-request-timeout-ms");
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 255;

/// The part of a request's head that is fed to the reducer, and what is needed to forward it.
#[derive(Debug)]
pub(super) struct ParsedHead {
    pub(super) head: RequestHead,
    /// The caller's API key in plain text. Invariant: never logged, never sent to an upstream.
    pub(super) key: Option<String>,
    /// Path and query without the API key.
    pub(super) path_and_query: String,
}

/// Why the head of a request is refused, by the offending part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum HeadError {
    Method,
    Path,
    Host,
    Key,
    IdempotencyKey,
    Timeout,
}

impl HeadError {
    /// Returns the sentence that the caller gets as the problem's detail.
    pub(super) fn detail(self) -> &'static str {
        match self {
            Self::Method => "The method is not supported.",
            Self::Path => "The path has empty, dot or encoded separator segments.",
            Self::Host => "The Host header is missing, repeated or differs from the target.",
            Self::Key => "More than one key came with the request, or the key stands in the path.",
            Self::IdempotencyKey => "The Idempotency-Key is repeated, empty or too long.",
            Self::Timeout => "The x-request-timeout-ms header is not a number of milliseconds.",
        }
    }
}

/// Parses the head of a request, or returns its first invalid part.
pub(super) fn parse_head(http: &HttpHead) -> Result<ParsedHead, HeadError> {
    if matches!(http.method, Method::CONNECT | Method::TRACE) {
        return Err(HeadError::Method);
    }
    let path = http.uri.path();
    check_path(path)?;
    let (query, query_key) = split_query(http.uri.query());
    let key = find_key(&http.headers, query_key)?;
    if key.as_ref().is_some_and(|key| path.contains(key.as_str()) || query.contains(key.as_str())) {
        return Err(HeadError::Key);
    }
    let path_and_query = if query.is_empty() { path.to_owned() } else { format!("{path}?{query}") };
    let head = RequestHead {
        method: http.method.as_str().to_owned(),
        host: find_host(http)?,
        path: path.to_owned(),
        key: key.as_ref().map(|key| KeyHash::of(key.as_bytes())),
        idempotency_key: find_idempotency_key(&http.headers)?,
        digest: None,
        timeout: find_timeout(&http.headers)?,
    };
    Ok(ParsedHead { head, key, path_and_query })
}

/// Refuses paths that an upstream might normalize differently from the route matcher.
fn check_path(path: &str) -> Result<(), HeadError> {
    let lower = path.to_ascii_lowercase();
    let has_encoded = ["%2e", "%2f", "%5c", "%00", "\\"].iter().any(|form| lower.contains(form));
    let segments = path.strip_prefix('/').ok_or(HeadError::Path)?;
    let last = segments.split('/').count() - 1;
    let is_invalid = |(index, segment): (usize, &str)| {
        matches!(segment, "." | "..") || (segment.is_empty() && index != last)
    };
    if has_encoded || segments.split('/').enumerate().any(is_invalid) {
        return Err(HeadError::Path);
    }
    Ok(())
}

/// Separates API keys from the other query parameters. Without a query both are empty.
fn split_query(query: Option<&str>) -> (String, Vec<String>) {
    let mut kept = Vec::new();
    let mut keys = Vec::new();
    for parameter in query.unwrap_or_default().split('&').filter(|text| !text.is_empty()) {
        let (name, value) = parameter.split_once('=').unwrap_or((parameter, ""));
        if percent_decode(name).eq_ignore_ascii_case(KEY_PARAMETER) {
            keys.push(percent_decode(value));
        } else {
            kept.push(parameter);
        }
    }
    (kept.join("&"), keys)
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        // A percent sign without two hexadecimal digits is kept as it is.
        let digits = tail.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (first, byte) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn find_key(headers: &HeaderMap, query: Vec<String>) -> Result<Option<String>, HeadError> {
    let mut keys = query;
    for value in headers.get_all(KEY_HEADER) {
        keys.push(value.to_str().map_err(|_| HeadError::Key)?.trim().to_owned());
    }
    for value in headers.get_all(AUTHORIZATION) {
        let text = value.to_str().map_err(|_| HeadError::Key)?.trim();
        if let Some((scheme, key)) = text.split_once(' ')
            && scheme.eq_ignore_ascii_case("bearer")
        {
            keys.push(key.trim().to_owned());
        }
    }
    keys.dedup();
    keys.retain(|key| !key.is_empty());
    match keys.len() {
        0 | 1 => Ok(keys.pop()),
        _ => Err(HeadError::Key),
    }
}

fn find_host(http: &HttpHead) -> Result<String, HeadError> {
    let mut values = http.headers.get_all(HOST);
    let header = values.next().and_then(|value| value.to_str().ok());
    if values.next().is_some() {
        return Err(HeadError::Host);
    }
    let header = header.map(strip_port);
    match (http.uri.host(), header) {
        (None, Some(host)) => Ok(host.to_owned()),
        (Some(target), None) => Ok(target.to_owned()),
        (Some(target), Some(host)) if target.eq_ignore_ascii_case(host) => Ok(host.to_owned()),
        _ => Err(HeadError::Host),
    }
}

fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

fn find_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, HeadError> {
    let mut values = headers.get_all(IDEMPOTENCY_HEADER);
    let Some(value) = values.next() else { return Ok(None) };
    let text = value.to_str().map_err(|_| HeadError::IdempotencyKey)?.trim();
    let repeated = values.next().is_some();
    if repeated || text.is_empty() || text.len() > IDEMPOTENCY_KEY_MAX_BYTES {
        return Err(HeadError::IdempotencyKey);
    }
    Ok(Some(text.to_owned()))
}

fn find_timeout(headers: &HeaderMap) -> Result<Option<Duration>, HeadError> {
    let Some(value) = headers.get(TIMEOUT_HEADER) else { return Ok(None) };
    let text = value.to_str().map_err(|_| HeadError::Timeout)?;
    let millis: u32 = text.trim().parse().map_err(|_| HeadError::Timeout)?;
    Ok(Some(Duration::from_millis(u64::from(millis))))
}
