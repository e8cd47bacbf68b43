//! Client connections that are reused between exchanges.

use std::collections::VecDeque;
use std::io::ErrorKind as IoErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::error::{ExchangeError, ExchangeErrorKind};

/// How many ids of earlier requests a connection remembers. Peers send copies of recent responses.
const EARLIER_IDS_MAX: usize = 16;

/// Timeouts for opening a connection and for detecting a dead peer.
#[derive(Clone, Copy, Debug)]
pub struct ConnectSettings {
    /// How long the TCP handshake may take.
    pub timeout: Duration,
    /// The idle time before the first TCP keep-alive probe and the interval between probes, in
    /// seconds, the unit of the socket options.
    pub keep_alive_interval_s: u32,
    /// How many unanswered keep-alive probes close the connection.
    pub keep_alive_probes_max: u32,
    /// How long sent data may stay unacknowledged before the connection fails
    /// (`TCP_USER_TIMEOUT`). Keep-alive cannot detect this: no probes are sent while data is
    /// unacknowledged.
    pub user_timeout: Duration,
}

/// An open connection without a request in progress.
#[derive(Debug)]
pub struct Connection {
    pub(crate) stream: TcpStream,
    /// When the connection was opened or its last exchange ended.
    idle_since: Instant,
    /// The `Keep-Alive` timeout that the peer announced.
    idle_limit: Option<Duration>,
    /// Whether an exchange ended on the connection, so that bytes of it may still arrive.
    pub(crate) is_used: bool,
    /// The ids of the latest requests that were sent on the connection, in order. Invariant: at most
    /// `EARLIER_IDS_MAX`.
    earlier_ids: VecDeque<String>,
}

impl Connection {
    /// Connects to `address` and sets the socket options of `settings`.
    ///
    /// # Errors
    ///
    /// [`ExchangeErrorKind::Connect`] when the handshake fails or times out, or a socket option is
    /// rejected.
    pub async fn open(
        address: SocketAddr,
        settings: &ConnectSettings,
    ) -> Result<Self, ExchangeError> {
        let connect_error = ExchangeError::unsent(ExchangeErrorKind::Connect);
        let connecting = tokio::time::timeout(settings.timeout, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| connect_error)?.map_err(|_| connect_error)?;
        let interval = Duration::from_secs(u64::from(settings.keep_alive_interval_s));
        let keep_alive = TcpKeepalive::new()
            .with_time(interval)
            .with_interval(interval)
            .with_retries(settings.keep_alive_probes_max);
        let socket = SockRef::from(&stream);
        socket.set_tcp_keepalive(&keep_alive).map_err(|_| connect_error)?;
        socket.set_tcp_user_timeout(Some(settings.user_timeout)).map_err(|_| connect_error)?;
        stream.set_nodelay(true).map_err(|_| connect_error)?;
        let (idle_since, earlier_ids) = (Instant::now(), VecDeque::new());
        Ok(Self { stream, idle_since, idle_limit: None, is_used: false, earlier_ids })
    }

    /// Returns the connection as it is after an exchange, whose request had the id `request_id`.
    pub(crate) fn into_idle(
        mut self,
        request_id: Option<&str>,
        idle_limit: Option<Duration>,
    ) -> Self {
        if self.earlier_ids.len() == EARLIER_IDS_MAX {
            self.earlier_ids.pop_front();
        }
        self.earlier_ids.extend(request_id.map(str::to_owned));
        Self { idle_since: Instant::now(), idle_limit, is_used: true, ..self }
    }

    /// Returns whether a recent request on the connection had this id.
    pub(crate) fn has_carried(&self, request_id: &str) -> bool {
        self.earlier_ids.iter().any(|earlier| earlier == request_id)
    }

    /// Returns the time since the connection was opened or its last exchange ended.
    pub fn idle_time(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Returns how long the peer keeps an idle connection open, or `None` when its last response
    /// did not say.
    pub fn idle_limit(&self) -> Option<Duration> {
        self.idle_limit
    }

    /// Returns whether the peer has neither closed the connection nor sent unsolicited data.
    /// Peeks at the socket, since the runtime may not have been notified of the latest packets.
    pub fn is_reusable(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Ok(_) => false,
            Err(error) => error.kind() == IoErrorKind::WouldBlock,
        }
    }

    /// Closes the socket without waiting for the peer.
    pub fn close(self) {
        drop(self.stream);
    }
}
