//! The body of a response to a caller.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use ebonytack_http::Body;

use super::connections::CallerConnection;
use super::memory::Hold;

/// How many bytes are handed over at once. The HTTP library copies them into its write buffer, which
/// it keeps as long as the connection is open.
const PIECE_BYTES: usize = 8 * 1024;

/// The body of a response, and the memory that it holds until it was handed over.
pub(super) struct ResponseBody {
    body: Body,
    /// The position of the next byte: the segment and the place in it.
    segment: usize,
    offset: usize,
    hold: Option<Rc<Hold>>,
    connection: Option<Rc<CallerConnection>>,
}

impl ResponseBody {
    pub(super) fn new(
        body: Body,
        hold: Option<Rc<Hold>>,
        connection: Option<Rc<CallerConnection>>,
    ) -> Self {
        Self { body, segment: 0, offset: 0, hold, connection }
    }
}

impl MessageBody for ResponseBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.body.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        let Some(segment) = self.body.segments().get(self.segment) else {
            return Poll::Ready(None);
        };
        let end = segment.len().min(self.offset + PIECE_BYTES);
        let (piece, is_last) = (segment.slice(self.offset..end), end == segment.len());
        self.offset = if is_last { 0 } else { end };
        self.segment += usize::from(is_last);
        if let Some(hold) = &self.hold {
            hold.add_progress(piece.len());
        }
        Poll::Ready(Some(Ok(piece)))
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.on_response_end();
        }
    }
}
