//! HTTP service for callers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpService;
use actix_service::fn_service;
use eyre::Result;
use tokio::net::TcpStream;

use super::handler::handle;
use crate::runtime::{ConnectionTask, Shell, connection_service};

/// How long a shutdown waits for callers to read the last responses.
const FLUSH_TIME: Duration = Duration::from_millis(200);

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
            async move { shell.closing.notified().await }
        })
        .h1(fn_service(move |request| handle(Rc::clone(&request_shell), request)));
    connection_service(factory).await
}

/// Closes callers' connections after their last responses.
pub(crate) async fn finish_connections(shell: &Rc<Shell>) {
    shell.closing.notify_waiters();
    actix_rt::time::sleep(FLUSH_TIME).await;
}
