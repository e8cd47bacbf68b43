//! Callers' connections.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpService;
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use eyre::{Result, eyre};
use tokio::net::TcpStream;

use super::handler::handle;
use crate::runtime::Shell;

/// How long callers may take to read what was written before a stop.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Returns the handler of callers' connections.
pub(crate) async fn service(
    shell: &Rc<Shell>,
) -> Result<impl Fn(TcpStream, SocketAddr) -> Pin<Box<dyn Future<Output = ()>>> + 'static> {
    let requests = Rc::clone(shell);
    let closing = Rc::clone(shell);
    let factory = HttpService::build()
        .client_request_timeout(shell.settings.header_timeout)
        .keep_alive(shell.settings.idle_timeout)
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || {
            let shell = Rc::clone(&closing);
            async move { shell.closing.notified().await }
        })
        .h1(fn_service(move |request| handle(Rc::clone(&requests), request)))
        .into_factory();
    let service = factory.new_service(()).await.map_err(|()| eyre!("cannot start to serve"))?;
    let service = Rc::new(service);
    Ok(move |stream, from| {
        let service = Rc::clone(&service);
        Box::pin(async move {
            // Errors of one connection end that connection only.
            let _ = service.call((stream, Some(from))).await;
        }) as Pin<Box<dyn Future<Output = ()>>>
    })
}

/// Closes callers' connections after their last answers.
pub(crate) async fn finish_connections(shell: &Rc<Shell>) {
    shell.closing.notify_waiters();
    actix_rt::time::sleep(FLUSH_TIME).await;
}
