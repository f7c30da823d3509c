//! Start of a response's body, kept in memory within a limit per call and a budget for all calls.

use super::*;

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context as TaskContext;
use std::task::Poll;

use actix_http::body::BodySize;
use actix_http::body::MessageBody;

/// Maximum number of bytes of one body that are kept. A body up to this size is forwarded only once
/// it is whole, so that a call whose server breaks before gets another answer.
pub const BODY_KEPT_MAX_BYTES: usize = 1 << 20;

/// Number of bytes of one body that are kept without a reservation, so that small bodies are kept
/// whole even if large ones hold the whole budget.
pub const BODY_UNRESERVED_BYTES: usize = 16 << 10;

/// Size in bytes of the segments in which a body is kept and taken.
const SEGMENT_BYTES: usize = 32 << 10;

/// Parts of a body in the order in which they arrived.
#[derive(Debug)]
pub struct BodyBuffer {
    kept_bytes: usize,
    /// Last segment, which still grows.
    open: BytesMut,
    reservation: ByteReservation,
    segments: VecDeque<Bytes>,
}

impl BodyBuffer {
    /// Creates an empty buffer that takes its bytes from the budget of `reservation`.
    pub fn new(reservation: ByteReservation) -> Self {
        Self {
            kept_bytes: 0,
            open: BytesMut::new(),
            reservation,
            segments: VecDeque::new(),
        }
    }

    /// Returns the number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.kept_bytes
    }

    /// Returns true if the buffer has no bytes.
    pub fn is_empty(&self) -> bool {
        self.kept_bytes == 0
    }

    /// Appends a part of the body; it is kept in any case. Returns false if no further part should
    /// be appended, because [`BODY_KEPT_MAX_BYTES`] are reached or the budget is used up.
    #[must_use]
    pub fn push(&mut self, part: &[u8]) -> bool {
        self.kept_bytes += part.len();
        let mut rest = part;
        while !rest.is_empty() {
            if self.open.len() == SEGMENT_BYTES {
                self.segments.push_back(self.open.split().freeze());
                self.open = BytesMut::with_capacity(SEGMENT_BYTES);
            }
            let room = (SEGMENT_BYTES - self.open.len()).min(rest.len());
            self.open.extend_from_slice(&rest[..room]);
            rest = &rest[room..];
        }
        self.kept_bytes <= BODY_KEPT_MAX_BYTES && self.reserve()
    }

    /// Takes the next part of the body, of at most 32 KiB, and returns its bytes to the budget.
    pub fn pop(&mut self) -> Option<Bytes> {
        let part = match self.segments.pop_front() {
            Some(segment) => segment,
            None if self.open.is_empty() => return None,
            None => std::mem::take(&mut self.open).freeze(),
        };
        self.kept_bytes -= part.len();
        // A failure leaves the reservation as it was, which is less than the kept bytes need.
        let _ = self.reserve();
        Some(part)
    }

    fn reserve(&mut self) -> bool {
        let bytes = self.kept_bytes.saturating_sub(BODY_UNRESERVED_BYTES);
        self.reservation.resize(bytes)
    }
}

/// Body of the caller's response, if the buffer holds all of it.
impl MessageBody for BodyBuffer {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.kept_bytes as u64)
    }

    fn poll_next(
        self: Pin<&mut Self>,
        _: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        Poll::Ready(self.get_mut().pop().map(Ok))
    }
}
