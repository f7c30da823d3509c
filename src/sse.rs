//! Parser and writer for server-sent events.

use super::*;

/// Maximum number of bytes without an event that has data: the size of an event, of comments and of
/// events without data before the next one.
pub const EVENT_MAX_BYTES: usize = 1 << 20;

/// Number of buffered bytes of one stream that need no reservation, so that streams of small events
/// are not affected by others.
const EVENT_UNRESERVED_BYTES: usize = 16 << 10;

/// Incremental parser that splits a byte stream into server-sent events.
#[derive(Debug, Default)]
pub struct SseParser {
    buffer: BytesMut,
    /// Number of events with data that were taken.
    data_events: u64,
    /// Number of bytes received since the end of the last event with data.
    eventless_bytes: usize,
    /// Share of a budget for the buffers of many streams; `None` if this one has no such budget.
    reservation: Option<ByteReservation>,
    scanned: usize,
}

impl SseParser {
    /// Creates a parser whose buffer takes its bytes from the budget of `reservation`.
    pub fn with_reservation(reservation: ByteReservation) -> Self {
        Self {
            reservation: Some(reservation),
            ..Self::default()
        }
    }

    /// Returns the number of events with data that were taken so far. Comments, which keep a stream
    /// open without advancing it, do not count.
    pub fn data_events(&self) -> u64 {
        self.data_events
    }

    /// Returns true if bytes are left in the buffer. Once the caller has taken all whole events,
    /// they are the start of an event that has not fully arrived.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards a partial event, so that the parser can continue with the stream of another server.
    pub fn clear(&mut self) {
        self.buffer = BytesMut::new();
        self.eventless_bytes = 0;
        self.scanned = 0;
        // No bytes always fit.
        let _ = self.reserve();
    }

    /// Appends received bytes. Fails with [`Error::EventTooLarge`] if more than [`EVENT_MAX_BYTES`]
    /// have been received without an event that has data, and with [`Error::EventBudgetSpent`] if
    /// the budget has too few bytes left for the buffer.
    pub fn push(&mut self, bytes: &[u8]) -> Result {
        self.eventless_bytes += bytes.len();
        if self.eventless_bytes > EVENT_MAX_BYTES {
            return Err(Error::EventTooLarge {
                limit_bytes: EVENT_MAX_BYTES,
                received_bytes: self.eventless_bytes,
            });
        }
        self.buffer.extend_from_slice(bytes);
        match self.reserve() {
            true => Ok(()),
            false => Err(Error::EventBudgetSpent {
                buffered_bytes: self.buffer.len(),
            }),
        }
    }

    /// Takes the data of the next whole event; events without data are skipped.
    pub fn next_data(&mut self) -> Option<Bytes> {
        while let Some(event) = self.next_event() {
            let data = event_data(&event);
            if data.is_some() {
                return data;
            }
        }
        None
    }

    /// Takes the next whole event as it was received, with the blank line that ends it.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let mut at = self.scanned;
        while let Some(offset) = self.buffer[at..].iter().position(|byte| *byte == b'\n') {
            at += offset + 1;
            let end = match &self.buffer[at..] {
                [b'\n', ..] => at + 1,
                [b'\r', b'\n', ..] => at + 2,
                _ => continue,
            };
            let event = self.buffer.split_to(end).freeze();
            self.scanned = 0;
            if has_data(&event) {
                self.data_events += 1;
                self.eventless_bytes = self.buffer.len();
            }
            return Some(event);
        }
        // The buffer may end within a delimiter, the longest of which has four bytes.
        self.scanned = self.buffer.len().saturating_sub(3);
        // The buffer has not grown since the last push.
        let _ = self.reserve();
        None
    }

    fn reserve(&mut self) -> bool {
        let bytes = self.buffer.len().saturating_sub(EVENT_UNRESERVED_BYTES);
        match &mut self.reservation {
            Some(reservation) => reservation.resize(bytes),
            None => true,
        }
    }
}

/// Returns true if an event has a `data` line.
fn has_data(event: &[u8]) -> bool {
    event
        .split(|byte| *byte == b'\n')
        .any(|line| line.starts_with(b"data"))
}

/// Returns the value of the last `id` field of an event, or `None` if there is no such field or its
/// value is not UTF-8.
pub fn parse_event_id(event: &[u8]) -> Option<&str> {
    let mut id = None;
    for line in event.split(|byte| *byte == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        id = std::str::from_utf8(value).ok().map(str::trim);
    }
    id
}

/// Joins the `data` lines of an event. The usual event with one such line is not copied.
fn event_data(event: &Bytes) -> Option<Bytes> {
    let mut joined: Option<BytesMut> = None;
    let mut single: Option<Bytes> = None;
    for line in event.split(|byte| *byte == b'\n') {
        let Some(data) = line.strip_prefix(b"data:") else {
            continue;
        };
        let data = data.strip_prefix(b" ").unwrap_or(data);
        let data = data.strip_suffix(b"\r").unwrap_or(data);
        match (&mut joined, &single) {
            (None, None) => single = Some(event.slice_ref(data)),
            (None, Some(first)) => {
                let mut both = BytesMut::from(first.as_ref());
                both.extend_from_slice(b"\n");
                both.extend_from_slice(data);
                joined = Some(both);
            }
            (Some(joined), _) => {
                joined.extend_from_slice(b"\n");
                joined.extend_from_slice(data);
            }
        }
    }
    match joined {
        Some(joined) => Some(joined.freeze()),
        None => single,
    }
}

/// Formats an event with an id. `data` has to be a single line, such as JSON without line breaks.
pub fn write_event(id: &str, data: &[u8]) -> Bytes {
    let mut event = BytesMut::with_capacity(id.len() + data.len() + 16);
    event.extend_from_slice(b"id: ");
    event.extend_from_slice(id.as_bytes());
    event.extend_from_slice(b"\ndata: ");
    event.extend_from_slice(data);
    event.extend_from_slice(b"\n\n");
    event.freeze()
}

/// Event that ends a complete stream.
pub const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";
