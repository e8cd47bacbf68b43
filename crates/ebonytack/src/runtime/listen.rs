//! Accepts connections on the single thread of the process.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// The pause after a failed accept, for instance for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How often a listener lets other tasks run until a connection that makes room is closed.
const ROOM_TRIES: u32 = 16;

/// A listening socket whose connections are accepted by a task. Dropping it does not stop the task.
pub(crate) struct Listener {
    accepting: JoinHandle<()>,
    connections: Rc<OpenConnections>,
}

/// The accepted connections that are still open.
#[derive(Default)]
pub(crate) struct OpenConnections {
    count: Cell<usize>,
    /// Signalled when the last connection is closed.
    none_left: Notify,
}

impl Listener {
    /// Binds `address` and spawns a task that passes each connection to `handle`. Beyond `max` open
    /// connections, new ones are closed at once.
    pub(crate) async fn open<F, Fut>(address: SocketAddr, max: usize, handle: F) -> Result<Self>
    where
        F: Fn(TcpStream, SocketAddr) -> Fut + 'static,
        Fut: Future<Output = ()> + 'static,
    {
        Self::open_with_room(address, max, || false, handle).await
    }

    /// Does the same as [`Listener::open`], but at `max` connections `make_room` may close one for a
    /// new one. It returns whether it does.
    pub(crate) async fn open_with_room<F, Fut>(
        address: SocketAddr,
        max: usize,
        make_room: impl Fn() -> bool + 'static,
        handle: F,
    ) -> Result<Self>
    where
        F: Fn(TcpStream, SocketAddr) -> Fut + 'static,
        Fut: Future<Output = ()> + 'static,
    {
        let socket =
            TcpListener::bind(address).await.wrap_err(format!("cannot listen on {address}"))?;
        let connections = Rc::new(OpenConnections::default());
        let accepted = Rc::clone(&connections);
        let accepting = actix_rt::spawn(async move {
            loop {
                let Ok((stream, from)) = socket.accept().await else {
                    actix_rt::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                };
                if accepted.count.get() >= max && make_room() {
                    accepted.wait_for_room(max).await;
                }
                if accepted.count.get() >= max || stream.set_nodelay(true).is_err() {
                    continue;
                }
                actix_rt::spawn(Rc::clone(&accepted).track(handle(stream, from)));
            }
        });
        Ok(Self { accepting, connections })
    }

    /// Stops listening, so that new connections are refused, and returns those that are open.
    pub(crate) fn close(self) -> Rc<OpenConnections> {
        self.accepting.abort();
        self.connections
    }
}

impl OpenConnections {
    /// Waits until all connections are closed.
    pub(crate) async fn closed(&self) {
        while self.count.get() > 0 {
            self.none_left.notified().await;
        }
    }

    /// Lets other tasks run until there are fewer than `max` connections, as long as one is about to
    /// be closed.
    async fn wait_for_room(&self, max: usize) {
        for _ in 0..ROOM_TRIES {
            if self.count.get() < max {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    /// Counts a connection as open while `task` serves it.
    fn track(self: Rc<Self>, task: impl Future<Output = ()>) -> impl Future<Output = ()> {
        self.count.set(self.count.get() + 1);
        async move {
            task.await;
            self.count.set(self.count.get() - 1);
            if self.count.get() == 0 {
                self.none_left.notify_one();
            }
        }
    }
}
