//! Refusals as RFC 9457 problem details.

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, RETRY_AFTER};
use actix_http::{Response, StatusCode};
use ebonytack_core::{Refusal, RunState};
use serde::Serialize;

/// The JSON body of a refusal.
#[derive(Serialize)]
struct Problem<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'a str,
    status: u16,
    outcome: RunState,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a str>,
    request_id: &'a str,
}

/// Returns the response to a refused request. `status` replaces the status of the refusal's reason.
pub(super) fn problem_response(
    refusal: &Refusal,
    status: Option<u16>,
    detail: Option<&str>,
    request_id: &str,
) -> Response<BoxBody> {
    let status = status.unwrap_or(refusal.reason.status());
    let body = Problem {
        kind: format!("urn:ebonytack:problem:{}", refusal.reason.name()),
        title: refusal.reason.title(),
        status,
        outcome: refusal.run,
        detail,
        request_id,
    };
    let code = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = Response::build(code);
    builder.insert_header((CONTENT_TYPE, "application/problem+json"));
    builder.insert_header(("x-request-id", request_id));
    if let Some(wait) = refusal.retry_after {
        builder.insert_header((RETRY_AFTER, wait.as_secs().max(1)));
    }
    let json = serde_json::to_string(&body).unwrap_or_else(|error| {
        // The body is then empty; the caller still gets the status and the headers.
        log::error!("request: {request_id}: cannot encode the refusal: {error}.");
        String::new()
    });
    builder.body(json).map_into_boxed_body()
}
