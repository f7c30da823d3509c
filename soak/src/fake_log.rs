//! In-memory fake of the log service: streams with offsets, timestamps and retention.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use ebonyspread::log_client::LogEntry;
use ebonyspread::log_client::LogRead;
use ebonyspread::wire;

/// Time of the log at virtual time zero, in milliseconds since 1970.
pub const START_TIME_MS: u64 = 1_800_000_000_000;

/// Maximum number of records per read.
const READ_RECORDS_MAX: usize = 64;

#[derive(Default)]
struct Stream {
    entries: VecDeque<LogEntry>,
    next_offset: u64,
}

/// Fake log service.
pub struct FakeLog {
    /// End of the current outage.
    pub outage_end: Duration,
    retention: Duration,
    streams: BTreeMap<u32, Stream>,
}

impl FakeLog {
    /// Creates an empty log.
    pub fn new(retention: Duration) -> Self {
        Self {
            outage_end: Duration::ZERO,
            retention,
            streams: BTreeMap::new(),
        }
    }

    /// Converts a virtual time to the log's time, in milliseconds since 1970.
    pub fn time_ms(now: Duration) -> u64 {
        START_TIME_MS + now.as_millis() as u64
    }

    /// Returns true during an outage, in which nothing is answered.
    pub fn is_unavailable(&self, now: Duration) -> bool {
        now < self.outage_end
    }

    /// Appends records and returns the offset of the first.
    pub fn append(&mut self, now: Duration, stream: u32, records: Vec<wire::LogRecord>) -> u64 {
        let stream = self.streams.entry(stream).or_default();
        let first_offset = stream.next_offset;
        for record in records {
            stream.entries.push_back(LogEntry {
                offset: stream.next_offset,
                record: Some(record),
                time_ms: Self::time_ms(now),
            });
            stream.next_offset += 1;
        }
        first_offset
    }

    /// Drops the records older than the retention, then reads from an offset.
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
            .map_or(stream.next_offset, |entry| entry.offset);
        let skip = from.saturating_sub(start) as usize;
        LogRead {
            entries: stream
                .entries
                .iter()
                .skip(skip)
                .take(READ_RECORDS_MAX)
                .cloned()
                .collect(),
            start,
            tail: stream.next_offset,
            time_ms: Self::time_ms(now),
        }
    }
}
