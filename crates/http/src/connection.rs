//! One connection, from its opening to its reuse.

use std::io::ErrorKind as IoErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::error::{ExchangeError, ExchangeErrorKind};

/// How a connection is opened and watched.
#[derive(Clone, Copy, Debug)]
pub struct ConnectSettings {
    /// How long the handshake may take.
    pub timeout: Duration,
    /// The time without traffic after which keep-alive probes begin, and the time between them,
    /// in whole seconds, since sockets take no less.
    pub keep_alive_interval_s: u32,
    /// Unanswered probes after which the connection is given up.
    pub keep_alive_probes_max: u32,
    /// How long sent bytes may stay unconfirmed. Probes do not run meanwhile.
    pub user_timeout: Duration,
}

/// An open connection that carries no request.
#[derive(Debug)]
pub struct Connection {
    pub(crate) stream: TcpStream,
    /// When the last exchange on this connection ended.
    idle_since: Instant,
    /// How long the other end keeps an idle connection, when it said so.
    idle_limit: Option<Duration>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`ExchangeErrorKind::Connect`] when the handshake fails or takes too long.
    pub async fn open(
        address: SocketAddr,
        settings: &ConnectSettings,
    ) -> Result<Self, ExchangeError> {
        let failed = ExchangeError::unsent(ExchangeErrorKind::Connect);
        let connecting = tokio::time::timeout(settings.timeout, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| failed)?.map_err(|_| failed)?;
        let interval = Duration::from_secs(u64::from(settings.keep_alive_interval_s));
        let keep_alive = TcpKeepalive::new()
            .with_time(interval)
            .with_interval(interval)
            .with_retries(settings.keep_alive_probes_max);
        let socket = SockRef::from(&stream);
        socket.set_tcp_keepalive(&keep_alive).map_err(|_| failed)?;
        socket.set_tcp_user_timeout(Some(settings.user_timeout)).map_err(|_| failed)?;
        stream.set_nodelay(true).map_err(|_| failed)?;
        Ok(Self::idle(stream, None))
    }

    pub(crate) fn idle(stream: TcpStream, idle_limit: Option<Duration>) -> Self {
        Self { stream, idle_since: Instant::now(), idle_limit }
    }

    /// Returns how long the connection has been idle.
    pub fn idle_time(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Returns how long the other end said it keeps an idle connection.
    pub fn idle_limit(&self) -> Option<Duration> {
        self.idle_limit
    }

    /// Returns whether the other end has neither closed the connection nor sent anything unasked.
    /// Asks the socket itself, since the runtime may not have seen the latest packets yet.
    pub fn is_clean(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Ok(_) => false,
            Err(error) => error.kind() == IoErrorKind::WouldBlock,
        }
    }

    /// Closes the connection.
    pub fn close(self) {
        drop(self.stream);
    }
}
