//! Accepts connections on the single thread of the process.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use tokio::net::{TcpListener, TcpStream};

/// The pause after a failed accept, for instance for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Binds `address` and spawns a task that passes each connection to `handle`. Beyond `max` open
/// connections, new ones are closed at once.
pub(crate) async fn accept_loop<F, Fut>(address: SocketAddr, max: usize, handle: F) -> Result<()>
where
    F: Fn(TcpStream, SocketAddr) -> Fut + 'static,
    Fut: Future<Output = ()> + 'static,
{
    let listener =
        TcpListener::bind(address).await.wrap_err(format!("cannot listen on {address}"))?;
    actix_rt::spawn(async move {
        let open = Rc::new(Cell::new(0usize));
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            if open.get() >= max || stream.set_nodelay(true).is_err() {
                continue;
            }
            open.set(open.get() + 1);
            let (open, task) = (Rc::clone(&open), handle(stream, from));
            actix_rt::spawn(async move {
                task.await;
                open.set(open.get() - 1);
            });
        }
    });
    Ok(())
}
