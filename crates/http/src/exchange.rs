//! One request and its answer on one connection.

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
/// Answers to other requests that are skipped before a connection is given up.
const FOREIGN_ANSWERS_MAX: u32 = 4;
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// A request as it goes out.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// The headers, without those of the connection and without the length.
    pub headers: HeaderMap,
    /// The whole body; `None` when the request has none.
    pub body: Option<Bytes>,
}

/// How an exchange recognises its answer.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// A header that the other end copies from the request, with the value that was sent. An
    /// answer with another value belongs to another request and is skipped.
    pub echo: Option<(HeaderName, String)>,
    /// The largest body.
    pub body_max_bytes: usize,
}

impl Exchange {
    /// Sends a request and reads its answer. Returns the connection when it can be used again.
    ///
    /// # Errors
    ///
    /// When no whole answer came; states whether the request may have arrived.
    pub async fn run(
        &self,
        mut connection: Connection,
        request: &OutgoingRequest,
    ) -> Result<(IncomingResponse, Option<Connection>), ExchangeError> {
        let mut codec = ClientCodec::default();
        let bytes = encode(&mut codec, request)?;
        let (mut reader, mut writer) = connection.stream.split();
        let mut writing = Writing { bytes: &bytes, written: 0, failed: false };
        let mut reading = Reading::new(codec, request.method == Method::HEAD);
        let outcome = loop {
            tokio::select! {
                answer = reading.next_answer(&mut reader, self) => break answer,
                () = writing.write_more(&mut writer), if writing.is_pending() => {
                    if writing.failed && writing.written == 0 {
                        return Err(ExchangeError::unsent(ExchangeErrorKind::Broken));
                    }
                }
            }
        };
        let (answer, keep) = outcome?;
        let whole_request = writing.written == bytes.len();
        let nothing_left = reading.buffer.is_empty();
        let limit = idle_limit(&answer.headers);
        let reusable = keep && whole_request && nothing_left && limit != Some(Duration::ZERO);
        let connection = reusable.then(|| Connection::idle(connection.stream, limit));
        Ok((answer, connection))
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

/// The progress of writing a request.
struct Writing<'a> {
    bytes: &'a [u8],
    /// Invariant: never above the length of `bytes`.
    written: usize,
    failed: bool,
}

impl Writing<'_> {
    fn is_pending(&self) -> bool {
        !self.failed && self.written < self.bytes.len()
    }

    async fn write_more(&mut self, writer: &mut WriteHalf<'_>) {
        match writer.write(&self.bytes[self.written..]).await {
            Ok(0) | Err(_) => self.failed = true,
            Ok(count) => self.written += count,
        }
    }
}

/// The progress of reading answers.
struct Reading {
    /// Invariant: `None` only inside a call that owns the codec.
    codec: Option<ClientCodec>,
    buffer: BytesMut,
    /// The answer whose body is being read.
    head: Option<ResponseHead>,
    body: BytesMut,
    foreign: u32,
    /// Answers to HEAD have no body, whatever their headers say.
    without_body: bool,
}

impl Reading {
    fn new(codec: ClientCodec, without_body: bool) -> Self {
        let (buffer, body) = (BytesMut::new(), BytesMut::new());
        Self { codec: Some(codec), buffer, head: None, body, foreign: 0, without_body }
    }

    /// Reads until the answer to this exchange is whole. Can be dropped between two reads without
    /// losing bytes.
    async fn next_answer(
        &mut self,
        reader: &mut ReadHalf<'_>,
        exchange: &Exchange,
    ) -> Result<(IncomingResponse, bool), ExchangeError> {
        loop {
            while let Some((answer, keep)) = self.take_answer(false, exchange.body_max_bytes)? {
                if answer.status.is_informational() {
                    continue;
                }
                if is_own(&answer, exchange) {
                    return Ok((answer, keep));
                }
                self.foreign += 1;
                if !keep || self.foreign > FOREIGN_ANSWERS_MAX {
                    return Err(ExchangeError::sent(ExchangeErrorKind::Malformed));
                }
            }
            self.buffer.reserve(READ_CHUNK_BYTES);
            match reader.read_buf(&mut self.buffer).await {
                Ok(0) => return self.at_end(exchange),
                Ok(_) => {}
                Err(_) => return Err(ExchangeError::sent(ExchangeErrorKind::Broken)),
            }
        }
    }

    /// An orderly end completes an answer that has no length.
    fn at_end(&mut self, exchange: &Exchange) -> Result<(IncomingResponse, bool), ExchangeError> {
        match self.take_answer(true, exchange.body_max_bytes)? {
            Some((answer, _)) if is_own(&answer, exchange) => Ok((answer, false)),
            _ => Err(ExchangeError::sent(ExchangeErrorKind::Broken)),
        }
    }

    /// Takes the next whole answer out of the buffer, with whether its connection stays open.
    fn take_answer(
        &mut self,
        at_end: bool,
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
        let unframed = !self.without_body && is_unframed(head);
        let mut whole = false;
        if unframed {
            self.body.extend_from_slice(&self.buffer.split());
            whole = at_end;
            self.codec = Some(codec);
        } else if codec.message_type() == MessageType::None {
            whole = true;
            self.codec = Some(codec);
        } else {
            let mut payload = codec.into_payload_codec();
            while let Some(item) = payload.decode(&mut self.buffer).map_err(|_| malformed)? {
                match item {
                    Some(chunk) => self.body.extend_from_slice(&chunk),
                    None => {
                        whole = true;
                        break;
                    }
                }
            }
            codec = payload.into_message_codec();
            self.codec = Some(codec);
        }
        if self.body.len() > body_max_bytes {
            return Err(ExchangeError::sent(ExchangeErrorKind::TooLarge));
        }
        if !whole {
            return Ok(None);
        }
        let Some(head) = self.head.take() else { return Ok(None) };
        let keep = !unframed && keeps_open(&head);
        let headers = head.headers().clone();
        let body = std::mem::take(&mut self.body).freeze();
        Ok(Some((IncomingResponse { status: head.status, headers, body }, keep)))
    }
}

fn is_own(answer: &IncomingResponse, exchange: &Exchange) -> bool {
    match &exchange.echo {
        Some((name, value)) => {
            answer.headers.get(name).is_none_or(|found| found.as_bytes() == value.as_bytes())
        }
        None => true,
    }
}

/// Returns whether the body ends with the connection (RFC 9112, section 6.3, rule 8).
fn is_unframed(head: &ResponseHead) -> bool {
    let bodiless = head.status.is_informational()
        || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let framed = head.headers().contains_key(CONTENT_LENGTH)
        || head.headers().contains_key(TRANSFER_ENCODING);
    !bodiless && !framed
}

fn keeps_open(head: &ResponseHead) -> bool {
    let closes = |value: &str| value.split(',').any(|v| v.trim().eq_ignore_ascii_case("close"));
    // A value that is not text cannot say "close".
    let mut values = head.headers().get_all(CONNECTION).filter_map(|value| value.to_str().ok());
    head.version == actix_http::Version::HTTP_11 && !values.any(closes)
}

/// Reads `timeout` from the `Keep-Alive` header, in seconds; `None` when it says none.
fn idle_limit(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
