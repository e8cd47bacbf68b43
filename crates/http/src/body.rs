//! Bodies in segments of a fixed size, so that a large body never needs one large allocation.

use std::rc::Rc;

use bytes::Bytes;

/// The size of all segments of a body but the last.
pub const SEGMENT_BYTES: usize = 64 * 1024;
/// The smallest allocation of a segment.
const SEGMENT_MIN_BYTES: usize = 256;

/// A complete body. Clones share its bytes.
#[derive(Clone, Debug, Default)]
pub struct Body {
    /// `None` when the body is empty. Invariant: no segment is empty.
    segments: Option<Rc<[Bytes]>>,
    /// Invariant: the sum of the lengths of the segments.
    len: usize,
}

impl Body {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the bytes, in order.
    pub fn segments(&self) -> &[Bytes] {
        self.segments.as_deref().unwrap_or_default()
    }

    /// Returns the bytes in one piece. Copies them if there are several segments.
    pub fn to_bytes(&self) -> Bytes {
        match self.segments() {
            [] => Bytes::new(),
            [only] => only.clone(),
            several => several.concat().into(),
        }
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        let len = bytes.len();
        let segments = (len > 0).then(|| Rc::from([bytes]));
        Self { segments, len }
    }
}

/// A body that is being received.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    /// Invariant: each has [`SEGMENT_BYTES`].
    full: Vec<Bytes>,
    /// Invariant: its capacity is at most [`SEGMENT_BYTES`].
    last: Vec<u8>,
}

impl BodyBuffer {
    /// Returns the number of bytes received.
    pub fn len(&self) -> usize {
        self.full.len() * SEGMENT_BYTES + self.last.len()
    }

    /// Returns whether no bytes were received.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the size of the allocated segments.
    pub fn allocated_bytes(&self) -> usize {
        self.full.len() * SEGMENT_BYTES + self.last.capacity()
    }

    /// Appends bytes. The segment that is not full grows to at most [`SEGMENT_BYTES`].
    pub fn extend(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let room = SEGMENT_BYTES - self.last.len();
            let (now, later) = bytes.split_at(bytes.len().min(room));
            let needed = self.last.len() + now.len();
            if needed > self.last.capacity() {
                let capacity = (2 * self.last.capacity()).max(needed).max(SEGMENT_MIN_BYTES);
                self.last.reserve_exact(capacity.min(SEGMENT_BYTES) - self.last.len());
            }
            self.last.extend_from_slice(now);
            if self.last.len() == SEGMENT_BYTES {
                self.full.push(Bytes::from(std::mem::take(&mut self.last)));
            }
            bytes = later;
        }
    }

    /// Returns the complete body.
    pub fn finish(mut self) -> Body {
        let len = self.len();
        if !self.last.is_empty() {
            self.full.push(Bytes::from(self.last));
        }
        Body { segments: (len > 0).then(|| self.full.into()), len }
    }
}
