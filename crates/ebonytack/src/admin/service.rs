//! HTTP service of the admin listener.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpService;
use actix_service::fn_service;
use eyre::Result;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpStream;

use super::handler::handle;
use crate::runtime::{ConnectionTask, Shell, connection_service};

/// How long a client may take to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the handler for connections to the admin listener.
pub(crate) async fn service(
    shell: &Rc<Shell>,
    metrics: PrometheusHandle,
) -> Result<impl Fn(TcpStream, SocketAddr) -> ConnectionTask + 'static> {
    let shell = Rc::clone(shell);
    let factory = HttpService::build()
        .client_request_timeout(HEAD_TIMEOUT)
        .h1(fn_service(move |request| handle(Rc::clone(&shell), metrics.clone(), request)));
    connection_service(factory).await
}
