//! Fake of the log service: streams with offsets, times and retention.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use ebonyspread::log_client::LogEntry;
use ebonyspread::log_client::LogRead;
use ebonyspread::wire;

/// The log's time at the start, in milliseconds since 1970.
pub const START_MS: u64 = 1_800_000_000_000;

/// Records of one read.
const READ_MAX: usize = 64;

#[derive(Default)]
struct Stream {
    entries: VecDeque<LogEntry>,
    next: u64,
}

/// The log service.
pub struct FakeLog {
    /// Until when it is out.
    pub out_until: Duration,
    retention: Duration,
    streams: BTreeMap<u32, Stream>,
}

impl FakeLog {
    /// Creates an empty log.
    pub fn new(retention: Duration) -> Self {
        Self {
            out_until: Duration::ZERO,
            retention,
            streams: BTreeMap::new(),
        }
    }

    /// The log's time at a virtual time.
    pub fn time_ms(now: Duration) -> u64 {
        START_MS + now.as_millis() as u64
    }

    /// True while it answers nothing.
    pub fn is_out(&self, now: Duration) -> bool {
        now < self.out_until
    }

    /// Appends records and returns the first offset.
    pub fn append(&mut self, now: Duration, stream: u32, records: Vec<wire::LogRecord>) -> u64 {
        let stream = self.streams.entry(stream).or_default();
        let first = stream.next;
        for record in records {
            stream.entries.push_back(LogEntry {
                offset: stream.next,
                record: Some(record),
                time_ms: Self::time_ms(now),
            });
            stream.next += 1;
        }
        first
    }

    /// Reads from an offset on, after dropping what retention no longer keeps.
    pub fn read(&mut self, now: Duration, stream: u32, from: u64) -> LogRead {
        let oldest_ms = Self::time_ms(now).saturating_sub(self.retention.as_millis() as u64);
        let stream = self.streams.entry(stream).or_default();
        while stream
            .entries
            .front()
            .is_some_and(|entry| entry.time_ms < oldest_ms)
        {
            stream.entries.pop_front();
        }
        let start = stream
            .entries
            .front()
            .map_or(stream.next, |entry| entry.offset);
        let skip = from.saturating_sub(start) as usize;
        LogRead {
            entries: stream
                .entries
                .iter()
                .skip(skip)
                .take(READ_MAX)
                .cloned()
                .collect(),
            start,
            tail: stream.next,
            time_ms: Self::time_ms(now),
        }
    }
}
