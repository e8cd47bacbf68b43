//! Connections for the HTTP client library on which a broken response is an error.

use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::Uri;
use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service, ServiceExt};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, ConnectorService};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::head_check::HeadCheck;

/// Returns a connector for HTTP clients. Its connections report the peer's close, and faults in the
/// heads of responses, as errors.
pub fn strict_connector() -> awc::Connector<
    impl Service<
        ConnectInfo<Uri>,
        Response = Connection<Uri, StrictStream>,
        Error = ConnectError,
        Future: 'static,
    > + Clone
    + 'static,
> {
    let connect = ConnectorService::default().map(|connection: Connection<Uri, TcpStream>| {
        let (stream, uri) = connection.into_parts();
        Connection::new(uri, StrictStream { stream, head_check: HeadCheck::default() })
    });
    awc::Connector::new().connector(connect)
}

/// A connection on which the peer's close is an error. The client takes it for the end of a body,
/// even in the middle of one with a length or in chunks; a complete response ends before the close.
#[derive(Debug)]
pub struct StrictStream {
    stream: TcpStream,
    /// Invariant: begins anew with each write. The client reads a response only after it has written
    /// the whole request, so the first byte that it reads then is that of a head.
    head_check: HeadCheck,
}

impl AsyncRead for StrictStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (before, has_room) = (buffer.filled().len(), buffer.remaining() > 0);
        let poll = Pin::new(&mut self.stream).poll_read(context, buffer);
        if !matches!(poll, Poll::Ready(Ok(()))) {
            return poll;
        }
        let received = &buffer.filled()[before..];
        if has_room && received.is_empty() {
            return Poll::Ready(Err(ErrorKind::UnexpectedEof.into()));
        }
        if !self.head_check.accepts(received) {
            return Poll::Ready(Err(ErrorKind::InvalidData.into()));
        }
        poll
    }
}

impl AsyncWrite for StrictStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.head_check = HeadCheck::default();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.head_check = HeadCheck::default();
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl ActixStream for StrictStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, context)
    }
}
