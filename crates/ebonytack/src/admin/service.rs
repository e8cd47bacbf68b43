//! Operators' connections.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpService;
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use eyre::{Result, eyre};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpStream;

use super::handler::handle;
use crate::runtime::Shell;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the handler of operators' connections.
pub(crate) async fn service(
    shell: &Rc<Shell>,
    metrics: PrometheusHandle,
) -> Result<impl Fn(TcpStream, SocketAddr) -> Pin<Box<dyn Future<Output = ()>>> + 'static> {
    let requests = Rc::clone(shell);
    let factory = HttpService::build()
        .client_request_timeout(REQUEST_TIMEOUT)
        .h1(fn_service(move |request| handle(Rc::clone(&requests), metrics.clone(), request)))
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
