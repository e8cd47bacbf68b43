//! Serves copies of the store's tables to the other hosts of the data centre, so that only one of
//! them reads the store.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, HttpService, Request, Response, StatusCode};
use actix_service::fn_service;
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use ebonytack_adapter::{ERA_HEADER, ProofSigner, RelayCall, encode_changes, relay_proof};
use ebonytack_gateway::{Changes, CopyError};
use ebonytack_wire::FleetSecret;
use eyre::Result;
use tokio::net::TcpStream;

use super::follow::confirmation_age_max;
use super::shell::GatewayShell;
use crate::runtime::{ConnectionTask, connection_service};

/// Returns a function that signs a request path with the fleet secret, which proves to other hosts
/// that the call comes from the fleet.
pub(super) fn proof_signer(secret: &FleetSecret) -> ProofSigner {
    let secret = secret.clone();
    Rc::new(move |path| BASE64.encode(secret.sign(path.as_bytes())))
}

/// Returns the handler for connections of other hosts.
pub(super) async fn service(
    shell: &Rc<GatewayShell>,
    secret: FleetSecret,
) -> Result<impl Fn(TcpStream, SocketAddr) -> ConnectionTask + 'static> {
    let shell = Rc::clone(shell);
    let factory = HttpService::build().h1(fn_service(move |request: Request| {
        let (shell, secret) = (Rc::clone(&shell), secret.clone());
        async move { Ok::<_, Infallible>(respond(&shell, &secret, &request).await) }
    }));
    connection_service(factory).await
}

async fn respond(
    shell: &GatewayShell,
    secret: &FleetSecret,
    request: &Request,
) -> Response<BoxBody> {
    // A target without a path becomes an empty string, for which no host signs a proof.
    let path = request.uri().path_and_query().map(|path| path.as_str()).unwrap_or_default();
    let proof = relay_proof(request.headers());
    // A missing or undecodable proof becomes an empty one, which fails verification.
    let proof = proof.and_then(|text| BASE64.decode(text).ok()).unwrap_or_default();
    if let Err(error) = secret.verify(path.as_bytes(), &proof) {
        let kind = error.kind().name();
        metrics::counter!("ebonytack_peer_refusals_total", "kind" => kind).increment(1);
        log::warn!("relay: rejected a call: {error}.");
        return empty_response(StatusCode::FORBIDDEN);
    }
    let Some(call) = RelayCall::decode(request.uri()) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    let age_max = confirmation_age_max(call.table);
    let copy = shell.copy(call.table);
    match copy.wait_for_changes(call.after(copy.era()), call.wait, age_max).await {
        Err(CopyError::NotConfirmed | CopyError::Behind) => {
            empty_response(StatusCode::SERVICE_UNAVAILABLE)
        }
        Err(CopyError::HistoryGone) => empty_response(StatusCode::GONE),
        Ok(mut changes) => {
            changes.store_reachable_for = shell.store_reachable_for();
            changes_response(call, changes)
        }
    }
}

fn changes_response(call: RelayCall, changes: Changes) -> Response<BoxBody> {
    let era = changes.position.era;
    match encode_changes(changes) {
        Ok(body) => Response::build(StatusCode::OK)
            .insert_header((ERA_HEADER, era))
            .body(body)
            .map_into_boxed_body(),
        Err(error) => {
            log::error!("relay: cannot encode {:?}: {error}.", call.table);
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty_response(status: StatusCode) -> Response<BoxBody> {
    Response::build(status).finish().map_into_boxed_body()
}
