//! HTTP service for the load balancer's health checks and for metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{HttpService, Request, Response, StatusCode};
use actix_service::fn_service;
use ebonytack_adapter::READY_PATH;
use eyre::Result;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpStream;

use super::shell::GatewayShell;
use crate::observe;
use crate::runtime::{ConnectionTask, connection_service};

/// Returns the handler for connections to the `ready` and `metrics` listeners.
pub(super) async fn service(
    shell: &Rc<GatewayShell>,
    metrics: PrometheusHandle,
) -> Result<impl Fn(TcpStream, SocketAddr) -> ConnectionTask + 'static> {
    let shell = Rc::clone(shell);
    let factory = HttpService::build().h1(fn_service(move |request: Request| {
        let response = respond(&shell, &metrics, request.path());
        async move { Ok::<_, Infallible>(response) }
    }));
    connection_service(factory).await
}

fn respond(shell: &GatewayShell, metrics: &PrometheusHandle, path: &str) -> Response<BoxBody> {
    let (status, body) = match path {
        READY_PATH if shell.is_ready() => (StatusCode::OK, "ready\n".to_owned()),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        "/metrics" => {
            shell.memory.observe(shell.connections.count());
            observe::set_resident_memory();
            (StatusCode::OK, metrics.render())
        }
        _ => (StatusCode::NOT_FOUND, "There is nothing here.\n".to_owned()),
    };
    Response::build(status).body(body).map_into_boxed_body()
}
