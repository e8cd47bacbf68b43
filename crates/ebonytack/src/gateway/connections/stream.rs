//! The byte stream of a caller's connection, as the HTTP library sees it.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::limits::{Phase, TimeLimits};
use super::table::CallerConnection;

/// How many bytes are read before those that arrived are decoded. The HTTP library would read up to
/// 128 KiB at once, and then hold 32 bytes for each chunk of a body in them.
const TURN_MAX_BYTES: usize = 8 * 1024;
/// How many bytes are read ahead before the response to the current request.
const EARLY_MAX_BYTES: usize = 16 * 1024;
const HEAD_TOO_LARGE: &[u8] =
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// A caller's connection. The socket is shared with the task that closes it after the HTTP library has
/// ended.
pub(in crate::gateway) struct CallerStream {
    stream: Rc<RefCell<TcpStream>>,
    pub(in crate::gateway) connection: Rc<CallerConnection>,
    /// How many bytes of a head are accepted, and of what arrives with it.
    head_max_bytes: usize,
    limits: TimeLimits,
    /// How many bytes were read since the decoder last ran.
    turn_bytes: usize,
}

impl CallerStream {
    pub(in crate::gateway) fn new(
        stream: Rc<RefCell<TcpStream>>,
        connection: Rc<CallerConnection>,
        header_max_bytes: usize,
        limits: TimeLimits,
    ) -> Self {
        let head_max_bytes = header_max_bytes + TURN_MAX_BYTES;
        Self { stream, connection, head_max_bytes, limits, turn_bytes: 0 }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn_bytes >= TURN_MAX_BYTES {
            self.turn_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if self.connection.early_bytes.get() >= EARLY_MAX_BYTES
            && matches!(self.connection.phase(), Phase::Serving | Phase::Responding)
        {
            *self.connection.reader.borrow_mut() = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let filled = buffer.filled().len();
        let room = buffer.remaining().min(TURN_MAX_BYTES - self.turn_bytes);
        let mut turn = ReadBuf::new(buffer.initialize_unfilled_to(room));
        let read = Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, &mut turn);
        match read {
            Poll::Ready(Ok(())) => {}
            other => {
                self.turn_bytes = 0;
                return other;
            }
        }
        let count = turn.filled().len();
        buffer.advance(count);
        self.turn_bytes += count;
        if count > 0 {
            self.connection.on_read(count);
        } else if room > 0 {
            self.connection.is_closed_by_caller.set(true);
        }
        if self.connection.phase() == Phase::Head
            && self.connection.head_bytes() > self.head_max_bytes
        {
            metrics::counter!("ebonytack_limit_refusals_total", "cause" => "head-too-large")
                .increment(1);
            // Nothing else is written in this phase. The caller may have closed the connection.
            let _ = self.stream.borrow().try_write(HEAD_TOO_LARGE);
            // Reports the end of the stream.
            buffer.set_filled(filled);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, bytes);
        if let Poll::Ready(Ok(written_bytes)) = result {
            let mut delivery = self.connection.delivery.get();
            delivery.on_written(written_bytes, &self.limits, Instant::now());
            self.connection.delivery.set(delivery);
        }
        let blocked_since = &self.connection.write_blocked_since;
        match &result {
            Poll::Pending if blocked_since.get().is_none() => {
                blocked_since.set(Some(Instant::now()));
            }
            Poll::Pending => {}
            Poll::Ready(_) => blocked_since.set(None),
        }
        result
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx));
        self.connection.on_flushed();
        Poll::Ready(result)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}
