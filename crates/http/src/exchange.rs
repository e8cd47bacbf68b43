//! Sending one request and receiving its response on one connection.

use std::fmt;
use std::io::{ErrorKind as IoErrorKind, IoSlice};
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message, MessageType};
use actix_http::header::{CONNECTION, HeaderMap, HeaderName};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, StatusCode, Uri};
use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio_util::codec::{Decoder, Encoder};

use crate::error::{ExchangeError, ExchangeErrorKind};
use crate::framing::is_close_delimited;
use crate::head_check::HeadCheck;
use crate::{Body, BodyBuffer, Connection, IncomingResponse, SEGMENT_BYTES};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// How many responses to other requests are skipped before the exchange fails.
const MISMATCHED_RESPONSES_MAX: u32 = 4;
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// How many segments of a request are passed to one write.
const WRITE_SEGMENTS_MAX: usize = 8;
/// How many bytes without any byte of a body may be received one after the other: heads, interim
/// responses and the framing of chunks.
const OVERHEAD_MAX_BYTES: usize = 256 * 1024;

/// An HTTP/1.1 request whose complete body is in memory.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// The method. After `HEAD`, the response has no body.
    pub method: Method,
    /// The request target: path and query.
    pub target: Uri,
    /// The headers, without hop-by-hop ones and without `Content-Length`, which is added.
    pub headers: HeaderMap,
    /// The complete body; `None` when the request has none.
    pub body: Option<Body>,
}

/// Grants memory for a response. Called with the number of bytes that it will hold, before it holds
/// more than was granted, and with the size of the complete body at the end; returns whether it may.
#[derive(Clone)]
pub struct MemoryGrant(pub Rc<dyn Fn(usize) -> bool>);

impl fmt::Debug for MemoryGrant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("MemoryGrant")
    }
}

/// Settings of an exchange: how its response is recognised and limited.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// A header that the peer copies from the request, and the value that was sent. A response with
    /// another value belongs to another request and is skipped. One without the header is accepted
    /// as the first response on a new connection only, since elsewhere it may be a late copy of the
    /// response to an earlier request.
    pub echo: Option<(HeaderName, String)>,
    /// The size limit of the response body; a larger one fails with
    /// [`ExchangeErrorKind::TooLarge`].
    pub body_max_bytes: usize,
    /// Grants the memory for the response; without it, only `body_max_bytes` limits a response.
    pub memory: Option<MemoryGrant>,
}

impl Exchange {
    /// Sends a request and reads its response. Returns the connection too when it can be reused.
    ///
    /// # Errors
    ///
    /// When no complete response was received. [`ExchangeError::sent`](field@ExchangeError::sent)
    /// states whether the request may have reached the peer.
    pub async fn run(
        &self,
        mut connection: Connection,
        request: &OutgoingRequest,
    ) -> Result<(IncomingResponse, Option<Connection>), ExchangeError> {
        let request_id = self.echo.as_ref().map(|(_, id)| id.as_str());
        if request_id.is_some_and(|id| connection.has_carried(id)) {
            return Err(ExchangeError::unsent(ExchangeErrorKind::IdReused));
        }
        let mut codec = ClientCodec::default();
        let head = encode(&mut codec, request)?;
        let (mut reader, mut writer) = connection.stream.split();
        let segments = request.body.as_ref().map(Body::segments).unwrap_or_default();
        let mut request_writer = RequestWriter::new(&head, segments);
        let mut response_reader = ResponseReader::new(codec, request.method == Method::HEAD);
        response_reader.may_be_copy = connection.is_used;
        let outcome = loop {
            tokio::select! {
                response = response_reader.read_response(&mut reader, self) => break response,
                () = request_writer.write_chunk(&mut writer), if request_writer.is_pending() => {
                    if request_writer.failure.is_some() && !request_writer.has_written {
                        return Err(ExchangeError::unsent(ExchangeErrorKind::Broken));
                    }
                }
            }
        };
        let (response, end) = outcome?;
        let keep_open = match end {
            ResponseEnd::Framing { keep_open } => keep_open,
            ResponseEnd::Connection if request_writer.allows_close_delimited(response.status) => {
                false
            }
            ResponseEnd::Connection => {
                return Err(ExchangeError::sent(ExchangeErrorKind::Broken));
            }
        };
        let request_complete = request_writer.is_complete();
        let buffer_empty = response_reader.buffer.is_empty();
        if let Some(MemoryGrant(grant)) = &self.memory {
            // The buffers of the exchange are freed, so that this is less than what was granted.
            grant(response.body.len());
        }
        let limit = idle_limit(&response.headers);
        let reusable =
            keep_open && request_complete && buffer_empty && limit != Some(Duration::ZERO);
        let connection = reusable.then(|| connection.into_idle(request_id, limit));
        Ok((response, connection))
    }
}

fn encode(codec: &mut ClientCodec, request: &OutgoingRequest) -> Result<BytesMut, ExchangeError> {
    let mut head = RequestHead::default();
    head.method = request.method.clone();
    head.uri = request.target.clone();
    head.headers = request.headers.clone();
    let size = match &request.body {
        Some(body) => BodySize::Sized(body.len() as u64),
        None => BodySize::None,
    };
    let malformed = |_| ExchangeError::unsent(ExchangeErrorKind::Malformed);
    let mut bytes = BytesMut::new();
    let item = Message::Item((RequestHeadType::Owned(head), size));
    codec.encode(item, &mut bytes).map_err(malformed)?;
    Ok(bytes)
}

/// Writes the head and then the segments of the body, which are not copied.
struct RequestWriter<'a> {
    /// What is left of the head or of the segment that is being written.
    current: &'a [u8],
    /// The segments after `current`.
    later: &'a [Bytes],
    has_written: bool,
    /// The error with which writing ended.
    failure: Option<IoErrorKind>,
}

impl<'a> RequestWriter<'a> {
    fn new(head: &'a [u8], segments: &'a [Bytes]) -> Self {
        Self { current: head, later: segments, has_written: false, failure: None }
    }

    fn is_complete(&self) -> bool {
        self.current.is_empty() && self.later.is_empty()
    }

    fn is_pending(&self) -> bool {
        self.failure.is_none() && !self.is_complete()
    }

    /// Returns whether a response with this status that ends with its connection may be complete.
    ///
    /// The kernel reports a reset once, either to a write or to a read. If a write gets the error,
    /// reads report the end of the stream as if the peer had closed it. `BrokenPipe` means that the
    /// peer had ended its stream before the reset.
    ///
    /// A peer that ends its stream before it has received the request either rejects the request
    /// (RFC 9112, section 9.5) or has failed while responding, so only an error may be complete.
    fn allows_close_delimited(&self, status: StatusCode) -> bool {
        let is_error = status.is_client_error() || status.is_server_error();
        match self.failure {
            None => self.is_complete() || is_error,
            Some(IoErrorKind::BrokenPipe) => is_error,
            Some(_) => false,
        }
    }

    /// Writes as much as the socket takes at once. Cancel-safe.
    async fn write_chunk(&mut self, writer: &mut WriteHalf<'_>) {
        let mut slices = [IoSlice::new(&[]); WRITE_SEGMENTS_MAX];
        slices[0] = IoSlice::new(self.current);
        let later = self.later.iter().map(|segment| IoSlice::new(segment));
        let mut count = 1;
        for (slot, slice) in slices[1..].iter_mut().zip(later) {
            *slot = slice;
            count += 1;
        }
        match writer.write_vectored(&slices[..count]).await {
            Err(error) => self.failure = Some(error.kind()),
            Ok(0) => self.failure = Some(IoErrorKind::WriteZero),
            Ok(written) => {
                self.has_written = true;
                self.advance(written);
            }
        }
    }

    fn advance(&mut self, mut written: usize) {
        while written >= self.current.len() {
            written -= self.current.len();
            let Some((next, later)) = self.later.split_first() else {
                self.current = &[];
                return;
            };
            (self.current, self.later) = (next, later);
        }
        self.current = &self.current[written..];
    }
}

/// What marks the end of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResponseEnd {
    /// Its length or its last chunk.
    Framing {
        /// Whether the connection stays open.
        keep_open: bool,
    },
    /// The end of the connection.
    Connection,
}

struct ResponseReader {
    /// `None` only while [`ResponseReader::take_response`] runs, and after it has failed.
    codec: Option<ClientCodec>,
    buffer: BytesMut,
    /// The head of the response whose body is being read; `None` between responses.
    head: Option<ResponseHead>,
    body: BodyBuffer,
    /// How many bytes the response may hold, as granted.
    granted_bytes: usize,
    /// How many responses to other requests were skipped.
    mismatched: u32,
    /// Whether the next response may be a copy of the response to an earlier request.
    may_be_copy: bool,
    /// How many bytes were received since the last byte of a body.
    overhead_bytes: usize,
    /// Whether the request was `HEAD`: such a response has no body, whatever its headers say.
    is_head_request: bool,
}

impl ResponseReader {
    fn new(codec: ClientCodec, is_head_request: bool) -> Self {
        let (buffer, body) = (BytesMut::new(), BodyBuffer::default());
        Self {
            codec: Some(codec),
            buffer,
            head: None,
            body,
            granted_bytes: 0,
            mismatched: 0,
            may_be_copy: false,
            overhead_bytes: 0,
            is_head_request,
        }
    }

    /// Reads until the response to this exchange is complete; returns it and what marks its end.
    /// Cancel-safe: no received bytes are lost when the future is dropped.
    async fn read_response(
        &mut self,
        reader: &mut ReadHalf<'_>,
        exchange: &Exchange,
    ) -> Result<(IncomingResponse, ResponseEnd), ExchangeError> {
        loop {
            while let Some((response, keep_open)) =
                self.take_response(false, exchange.body_max_bytes)?
            {
                if response.status.is_informational() {
                    continue;
                }
                if self.is_expected(&response, exchange)? {
                    return Ok((response, ResponseEnd::Framing { keep_open }));
                }
                self.may_be_copy = true;
                self.mismatched += 1;
                if !keep_open || self.mismatched > MISMATCHED_RESPONSES_MAX {
                    return Err(ExchangeError::sent(ExchangeErrorKind::Malformed));
                }
            }
            self.buffer.reserve(READ_CHUNK_BYTES);
            self.request_memory(exchange)?;
            match reader.read_buf(&mut self.buffer).await {
                Ok(0) => return self.on_eof(exchange),
                Ok(count) => self.overhead_bytes += count,
                Err(_) => return Err(ExchangeError::sent(ExchangeErrorKind::Broken)),
            }
            if self.overhead_bytes > OVERHEAD_MAX_BYTES {
                return Err(ExchangeError::sent(ExchangeErrorKind::TooLarge));
            }
        }
    }

    /// Requests the memory for the next read, up to a full segment ahead.
    fn request_memory(&mut self, exchange: &Exchange) -> Result<(), ExchangeError> {
        let Some(MemoryGrant(grant)) = &exchange.memory else { return Ok(()) };
        let held_bytes = self.body.allocated_bytes() + self.buffer.capacity();
        if held_bytes <= self.granted_bytes {
            return Ok(());
        }
        let ahead_bytes = if self.body.is_empty() { 0 } else { SEGMENT_BYTES };
        if !grant(held_bytes + ahead_bytes) {
            return Err(ExchangeError::sent(ExchangeErrorKind::NoMemory));
        }
        self.granted_bytes = held_bytes + ahead_bytes;
        Ok(())
    }

    /// Returns whether a response is the one to this exchange, or fails if that is unknown.
    fn is_expected(
        &self,
        response: &IncomingResponse,
        exchange: &Exchange,
    ) -> Result<bool, ExchangeError> {
        let Some((name, value)) = &exchange.echo else { return Ok(true) };
        match response.headers.get(name) {
            Some(found) => Ok(found.as_bytes() == value.as_bytes()),
            None if self.may_be_copy => Err(ExchangeError::sent(ExchangeErrorKind::Malformed)),
            None => Ok(true),
        }
    }

    /// Completes a close-delimited response at the end of the stream. Any other incomplete response
    /// fails with [`ExchangeErrorKind::Broken`].
    fn on_eof(
        &mut self,
        exchange: &Exchange,
    ) -> Result<(IncomingResponse, ResponseEnd), ExchangeError> {
        match self.take_response(true, exchange.body_max_bytes)? {
            Some((response, _)) if self.is_expected(&response, exchange)? => {
                Ok((response, ResponseEnd::Connection))
            }
            _ => Err(ExchangeError::sent(ExchangeErrorKind::Broken)),
        }
    }

    /// Decodes the next response from the buffer, or returns `None` when it is incomplete. The flag
    /// says whether the connection stays open after it.
    fn take_response(
        &mut self,
        at_eof: bool,
        body_max_bytes: usize,
    ) -> Result<Option<(IncomingResponse, bool)>, ExchangeError> {
        let malformed = ExchangeError::sent(ExchangeErrorKind::Malformed);
        let mut codec = self.codec.take().ok_or(malformed)?;
        if self.head.is_none() {
            if !HeadCheck::default().accepts(&self.buffer) {
                return Err(malformed);
            }
            self.head = codec.decode(&mut self.buffer).map_err(|_| malformed)?;
        }
        let Some(head) = &self.head else {
            self.codec = Some(codec);
            return Ok(None);
        };
        let body_bytes = self.body.len();
        let close_delimited =
            !self.is_head_request && is_close_delimited(head.status, head.headers());
        let mut complete = false;
        if close_delimited {
            self.body.extend(&self.buffer.split());
            complete = at_eof;
            self.codec = Some(codec);
        } else if codec.message_type() == MessageType::None {
            complete = true;
            self.codec = Some(codec);
        } else {
            let mut payload = codec.into_payload_codec();
            while let Some(item) = payload.decode(&mut self.buffer).map_err(|_| malformed)? {
                match item {
                    Some(chunk) => self.body.extend(&chunk),
                    None => {
                        complete = true;
                        break;
                    }
                }
            }
            codec = payload.into_message_codec();
            self.codec = Some(codec);
        }
        if self.body.len() > body_bytes {
            self.overhead_bytes = 0;
        }
        if self.body.len() > body_max_bytes {
            return Err(ExchangeError::sent(ExchangeErrorKind::TooLarge));
        }
        if !complete {
            return Ok(None);
        }
        let Some(head) = self.head.take() else { return Ok(None) };
        let keep_open = !close_delimited && is_persistent(&head);
        let headers = head.headers().clone();
        let body = std::mem::take(&mut self.body).finish();
        Ok(Some((IncomingResponse { status: head.status, headers, body }, keep_open)))
    }
}

fn is_persistent(head: &ResponseHead) -> bool {
    let closes = |value: &str| value.split(',').any(|v| v.trim().eq_ignore_ascii_case("close"));
    // A value that is not text cannot contain "close".
    let mut values = head.headers().get_all(CONNECTION).filter_map(|value| value.to_str().ok());
    head.version == actix_http::Version::HTTP_11 && !values.any(closes)
}

/// Reads the `timeout` parameter of the `Keep-Alive` header, in seconds; `None` when it is absent.
fn idle_limit(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
