//! Sending one request and receiving its response on one connection.

use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message, MessageType};
use actix_http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, TRANSFER_ENCODING};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, StatusCode, Uri};
use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio_util::codec::{Decoder, Encoder};

use crate::error::{ExchangeError, ExchangeErrorKind};
use crate::{Connection, IncomingResponse};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// How many responses to other requests are skipped before the exchange fails.
const MISMATCHED_RESPONSES_MAX: u32 = 4;
const READ_CHUNK_BYTES: usize = 16 * 1024;
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
    pub body: Option<Bytes>,
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
        let bytes = encode(&mut codec, request)?;
        let (mut reader, mut writer) = connection.stream.split();
        let mut request_writer = RequestWriter { bytes: &bytes, written: 0, failed: false };
        let mut response_reader = ResponseReader::new(codec, request.method == Method::HEAD);
        response_reader.may_be_copy = connection.is_used;
        let outcome = loop {
            tokio::select! {
                response = response_reader.read_response(&mut reader, self) => break response,
                () = request_writer.write_chunk(&mut writer), if request_writer.is_pending() => {
                    if request_writer.failed && request_writer.written == 0 {
                        return Err(ExchangeError::unsent(ExchangeErrorKind::Broken));
                    }
                }
            }
        };
        let (response, keep_open) = outcome?;
        let request_complete = request_writer.written == bytes.len();
        let buffer_empty = response_reader.buffer.is_empty();
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
    if let Some(body) = &request.body {
        bytes.extend_from_slice(body);
    }
    Ok(bytes)
}

struct RequestWriter<'a> {
    bytes: &'a [u8],
    /// Invariant: at most the length of `bytes`.
    written: usize,
    failed: bool,
}

impl RequestWriter<'_> {
    fn is_pending(&self) -> bool {
        !self.failed && self.written < self.bytes.len()
    }

    async fn write_chunk(&mut self, writer: &mut WriteHalf<'_>) {
        match writer.write(&self.bytes[self.written..]).await {
            Ok(0) | Err(_) => self.failed = true,
            Ok(count) => self.written += count,
        }
    }
}

struct ResponseReader {
    /// `None` only while [`ResponseReader::take_response`] runs, and after it has failed.
    codec: Option<ClientCodec>,
    buffer: BytesMut,
    /// The head of the response whose body is being read; `None` between responses.
    head: Option<ResponseHead>,
    body: BytesMut,
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
        let (buffer, body) = (BytesMut::new(), BytesMut::new());
        Self {
            codec: Some(codec),
            buffer,
            head: None,
            body,
            mismatched: 0,
            may_be_copy: false,
            overhead_bytes: 0,
            is_head_request,
        }
    }

    /// Reads until the response to this exchange is complete; returns it and whether the connection
    /// stays open. Cancel-safe: no received bytes are lost when the future is dropped.
    async fn read_response(
        &mut self,
        reader: &mut ReadHalf<'_>,
        exchange: &Exchange,
    ) -> Result<(IncomingResponse, bool), ExchangeError> {
        loop {
            while let Some((response, keep_open)) =
                self.take_response(false, exchange.body_max_bytes)?
            {
                if response.status.is_informational() {
                    continue;
                }
                if self.is_expected(&response, exchange)? {
                    return Ok((response, keep_open));
                }
                self.may_be_copy = true;
                self.mismatched += 1;
                if !keep_open || self.mismatched > MISMATCHED_RESPONSES_MAX {
                    return Err(ExchangeError::sent(ExchangeErrorKind::Malformed));
                }
            }
            self.buffer.reserve(READ_CHUNK_BYTES);
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

    /// Completes a close-delimited response after the peer has closed the connection without a
    /// reset. Any other incomplete response fails with [`ExchangeErrorKind::Broken`].
    fn on_eof(&mut self, exchange: &Exchange) -> Result<(IncomingResponse, bool), ExchangeError> {
        match self.take_response(true, exchange.body_max_bytes)? {
            Some((response, _)) if self.is_expected(&response, exchange)? => Ok((response, false)),
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
            self.head = codec.decode(&mut self.buffer).map_err(|_| malformed)?;
        }
        let Some(head) = &self.head else {
            self.codec = Some(codec);
            return Ok(None);
        };
        let body_bytes = self.body.len();
        let close_delimited = !self.is_head_request && is_close_delimited(head);
        let mut complete = false;
        if close_delimited {
            self.body.extend_from_slice(&self.buffer.split());
            complete = at_eof;
            self.codec = Some(codec);
        } else if codec.message_type() == MessageType::None {
            complete = true;
            self.codec = Some(codec);
        } else {
            let mut payload = codec.into_payload_codec();
            while let Some(item) = payload.decode(&mut self.buffer).map_err(|_| malformed)? {
                match item {
                    Some(chunk) => self.body.extend_from_slice(&chunk),
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
        let body = std::mem::take(&mut self.body).freeze();
        Ok(Some((IncomingResponse { status: head.status, headers, body }, keep_open)))
    }
}

/// Returns whether the end of the connection ends the body (RFC 9112, section 6.3, rule 8).
fn is_close_delimited(head: &ResponseHead) -> bool {
    let bodiless = head.status.is_informational()
        || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let framed = head.headers().contains_key(CONTENT_LENGTH)
        || head.headers().contains_key(TRANSFER_ENCODING);
    !bodiless && !framed
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
