//! Answers other hosts of the data centre in the store's place.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, HttpService, Request, Response, StatusCode};
use actix_service::fn_service;
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use ebonytack_adapter::{ProofSigner, RelayCall, encode_changes, relay_proof};
use ebonytack_gateway::{Changes, CopyError};
use ebonytack_wire::FleetSecret;
use eyre::Result;
use tokio::net::TcpStream;

use super::follow::confirmed_age_max;
use super::shell::GatewayShell;
use crate::runtime::{ConnectionTask, connection_service};

/// Returns what proves to other hosts that a call comes from the fleet.
pub(super) fn credential(secret: &FleetSecret) -> ProofSigner {
    let secret = secret.clone();
    Rc::new(move |path| BASE64.encode(secret.sign(path.as_bytes())))
}

/// Returns the handler of other hosts' connections.
pub(super) async fn service(
    shell: &Rc<GatewayShell>,
    secret: FleetSecret,
) -> Result<impl Fn(TcpStream, SocketAddr) -> ConnectionTask + 'static> {
    let shell = Rc::clone(shell);
    let factory = HttpService::build().h1(fn_service(move |request: Request| {
        let (shell, secret) = (Rc::clone(&shell), secret.clone());
        async move { Ok::<_, Infallible>(answer(&shell, &secret, &request).await) }
    }));
    connection_service(factory).await
}

async fn answer(
    shell: &GatewayShell,
    secret: &FleetSecret,
    request: &Request,
) -> Response<BoxBody> {
    // A target without a path proves nothing and is refused.
    let path = request.uri().path_and_query().map(|path| path.as_str()).unwrap_or_default();
    let proof = relay_proof(request.headers());
    // What is no proof is refused like a wrong one.
    let proof = proof.and_then(|text| BASE64.decode(text).ok()).unwrap_or_default();
    if let Err(error) = secret.verify(path.as_bytes(), &proof) {
        let kind = error.kind().name();
        metrics::counter!("ebonytack_peer_refusals_total", "kind" => kind).increment(1);
        log::warn!("relay: a call was not answered: {error}.");
        return empty(StatusCode::FORBIDDEN);
    }
    let Some(call) = RelayCall::decode(request.uri()) else {
        return empty(StatusCode::NOT_FOUND);
    };
    let age_max = confirmed_age_max(call.table);
    match shell.copy(call.table).answer(call.after, call.wait, age_max).await {
        Err(CopyError::NotConfirmed) => empty(StatusCode::SERVICE_UNAVAILABLE),
        Err(CopyError::HistoryGone) => empty(StatusCode::GONE),
        Ok(mut changes) => {
            changes.store_reachable_for = shell.store_back_for();
            encode(call, changes)
        }
    }
}

fn encode(call: RelayCall, changes: Changes) -> Response<BoxBody> {
    match encode_changes(changes) {
        Ok(body) => Response::build(StatusCode::OK).body(body).map_into_boxed_body(),
        Err(error) => {
            log::error!("relay: {:?} could not be encoded: {error}.", call.table);
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty(status: StatusCode) -> Response<BoxBody> {
    Response::build(status).finish().map_into_boxed_body()
}
