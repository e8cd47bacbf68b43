//! Serving HTTP on connections that this process accepted itself.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use actix_service::{IntoServiceFactory, Service, ServiceFactory};
use eyre::{Result, eyre};
use tokio::net::TcpStream;

/// What serves one connection until it ends.
pub(crate) type ConnectionTask = Pin<Box<dyn Future<Output = ()>>>;

/// Turns an HTTP service into a handler of accepted connections.
pub(crate) async fn connection_service<I, F>(
    factory: I,
) -> Result<impl Fn(TcpStream, SocketAddr) -> ConnectionTask + 'static>
where
    I: IntoServiceFactory<F, (TcpStream, Option<SocketAddr>)>,
    F: ServiceFactory<(TcpStream, Option<SocketAddr>), Config = ()>,
    F::Service: 'static,
{
    let service = factory.into_factory().new_service(()).await;
    let service = Rc::new(service.map_err(|_| eyre!("cannot start to serve"))?);
    Ok(move |stream, from| {
        let service = Rc::clone(&service);
        Box::pin(async move {
            // Errors of one connection end that connection only.
            let _ = service.call((stream, Some(from))).await;
        }) as ConnectionTask
    })
}
