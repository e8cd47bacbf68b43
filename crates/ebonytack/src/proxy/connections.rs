//! HTTP service for callers.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::HttpService;
use actix_service::fn_service;
use eyre::Result;
use tokio::net::TcpStream;

use super::handler::handle;
use crate::runtime::{ConnectionTask, Shell, connection_service};

/// Returns the handler for callers' connections.
pub(crate) async fn service(
    shell: &Rc<Shell>,
) -> Result<impl Fn(TcpStream, SocketAddr) -> ConnectionTask + 'static> {
    let request_shell = Rc::clone(shell);
    let shutdown_shell = Rc::clone(shell);
    let factory = HttpService::build()
        .client_request_timeout(shell.settings.header_timeout)
        .keep_alive(shell.settings.idle_timeout)
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || {
            let shell = Rc::clone(&shutdown_shell);
            async move { shell.closing.cancelled().await }
        })
        .h1(fn_service(move |request| handle(Rc::clone(&request_shell), request)));
    connection_service(factory).await
}
