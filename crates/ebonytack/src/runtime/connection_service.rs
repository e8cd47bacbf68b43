//! Serves HTTP on connections that [`Listener`](super::Listener) has accepted.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use actix_service::{IntoServiceFactory, Service, ServiceFactory};
use eyre::{Result, eyre};

/// A task that serves one connection until it is closed.
pub(crate) type ConnectionTask = Pin<Box<dyn Future<Output = ()>>>;

/// Turns an HTTP service into a handler of accepted connections.
pub(crate) async fn connection_service<T, I, F>(
    factory: I,
) -> Result<impl Fn(T, SocketAddr) -> ConnectionTask + 'static>
where
    T: 'static,
    I: IntoServiceFactory<F, (T, Option<SocketAddr>)>,
    F: ServiceFactory<(T, Option<SocketAddr>), Config = ()>,
    F::Service: 'static,
{
    let service = factory.into_factory().new_service(()).await;
    let service = Rc::new(service.map_err(|_| eyre!("cannot create the HTTP service"))?);
    Ok(move |stream, from| {
        let service = Rc::clone(&service);
        Box::pin(async move {
            // An error ends only this connection.
            let _ = service.call((stream, Some(from))).await;
        }) as ConnectionTask
    })
}
