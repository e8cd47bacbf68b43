//! Handles requests of operators, the load balancer and the metrics collector.

use std::convert::Infallible;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap};
use actix_http::{Method, Request, Response, StatusCode};
use bytes::BytesMut;
use ebonytack_core::{KeyHash, OperatorRequest};
use futures_util::stream::StreamExt;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::runtime::Shell;

const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;
const BEARER: &str = "Bearer ";

/// Handles one request. Only `/v1/operator` requires the operator's token.
pub(super) async fn handle(
    shell: Rc<Shell>,
    metrics: PrometheusHandle,
    mut request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let path = request.path().to_owned();
    Ok(match (request.method(), path.as_str()) {
        (&Method::GET, "/live") => text_response(StatusCode::OK, "live\n"),
        (&Method::GET, "/ready") => match shell.is_ready() {
            true => text_response(StatusCode::OK, "ready\n"),
            false => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        },
        (&Method::GET, "/metrics") => text_response(StatusCode::OK, &metrics.render()),
        (&Method::POST, "/v1/operator") if !is_operator(&shell, &request.head().headers) => {
            text_response(StatusCode::UNAUTHORIZED, "The operator's token is missing or wrong.\n")
        }
        (&Method::POST, "/v1/operator") => handle_operator(&shell, &mut request).await,
        _ => text_response(StatusCode::NOT_FOUND, "There is nothing here.\n"),
    })
}

async fn handle_operator(shell: &Rc<Shell>, request: &mut Request) -> Response<BoxBody> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        match chunk {
            Ok(chunk) if body.len() + chunk.len() <= BODY_MAX_BYTES => {
                body.extend_from_slice(&chunk)
            }
            Ok(_) => {
                return text_response(StatusCode::PAYLOAD_TOO_LARGE, "The request is too large.\n");
            }
            Err(_) => {
                return text_response(StatusCode::BAD_REQUEST, "The request was cut short.\n");
            }
        }
    }
    let parsed: Result<OperatorRequest, _> = serde_json::from_slice(&body);
    let operator_request = match parsed {
        Ok(operator_request) => operator_request,
        Err(error) => return text_response(StatusCode::BAD_REQUEST, &format!("{error}\n")),
    };
    match shell.handle_operator(operator_request).await {
        Some(reply) => {
            let json = match serde_json::to_string(&reply) {
                Ok(json) => json,
                Err(error) => {
                    log::error!("admin: cannot encode the reply: {error}.");
                    let detail = "The reply could not be encoded.\n";
                    return text_response(StatusCode::INTERNAL_SERVER_ERROR, detail);
                }
            };
            let mut response = Response::build(StatusCode::OK);
            response.insert_header((CONTENT_TYPE, "application/json"));
            response.body(json).map_into_boxed_body()
        }
        None => text_response(StatusCode::SERVICE_UNAVAILABLE, "The host is stopping.\n"),
    }
}

fn is_operator(shell: &Shell, headers: &HeaderMap) -> bool {
    let value = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let token = value.and_then(|value| value.strip_prefix(BEARER));
    token.is_some_and(|token| KeyHash::of(token.as_bytes()).matches(&shell.settings.operator_token))
}

fn text_response(status: StatusCode, body: &str) -> Response<BoxBody> {
    let mut response = Response::build(status);
    response.insert_header((CONTENT_TYPE, "text/plain; charset=utf-8"));
    response.body(body.to_owned()).map_into_boxed_body()
}
