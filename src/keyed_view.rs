//! State of a reader that follows a keyed topic of the log, in which the newest record of a key
//! gives the key's value. The caller performs the reads; the view tells which one is next, and
//! which of the records that were read are new.
//!
//! The log keeps the newest record of each key but may drop older ones at any time, and the pages
//! of newest records are not a consistent snapshot. Therefore the view starts with the pages, then
//! continues with the records from the offset at which the topic ended at the time of the first
//! page, and starts over if records that it needs have been dropped.
//!
//! After a restore the log shows an older state for a while, until what was written since has been
//! written again. A key that its listing lacks is therefore dropped only later, and a key that had
//! been dropped does not come back with the listing, but with its next record.

use super::*;

/// Record of a keyed topic: the value that a key has from an offset on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key, of at most 255 bytes.
    pub key: SmolStr,
    /// Offset in the topic; a record with a higher one replaces an earlier record of the key.
    pub offset: LogOffset,
    /// New value of the key; `None` if the key was dropped.
    pub value: Option<Bytes>,
}

/// Read that the caller of the view has to perform next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewRequest {
    /// Read the page with the newest record of each key after `after`.
    Page {
        /// Last key of the previous page; `None` for the first page.
        after: Option<SmolStr>,
    },
    /// Read all records from an offset on, in log order.
    Records {
        /// Offset of the first record to read; all records before it have been applied.
        from: LogOffset,
    },
}

/// Newest known record of a key.
#[derive(Debug, Clone, Copy)]
struct KnownRecord {
    has_value: bool,
    offset: LogOffset,
}

/// Reading position in a topic and the offset of the newest known record of each key; the values
/// are kept by the caller.
#[derive(Debug, Default)]
pub struct KeyedView {
    /// Known keys that the first listing after a restore lacks.
    absent: Vec<SmolStr>,
    after: Option<SmolStr>,
    /// Offset at which the topic ended at the time of the first page.
    first_end: Option<LogOffset>,
    is_following: bool,
    known: HashMap<SmolStr, KnownRecord>,
    next_offset: LogOffset,
    /// Keys in the pages read so far.
    page_keys: Vec<SmolStr>,
    /// True if the last read showed that the log was restored.
    was_restored: bool,
}

impl KeyedView {
    /// Returns the next read to perform: pages until the last has been applied, then records.
    pub fn next_request(&self) -> ViewRequest {
        match self.is_following {
            true => ViewRequest::Records {
                from: self.next_offset,
            },
            false => ViewRequest::Page {
                after: self.after.clone(),
            },
        }
    }

    /// Applies a page and returns its records that are newer than the known record of their key.
    /// After the last page, known keys that were in none of the pages are dropped and returned as
    /// records without a value, unless their known record has an offset at or after the end of the
    /// topic at the time of the first page, or the log was restored: then
    /// [`drop_absent`](Self::drop_absent) drops them.
    pub fn apply_page(
        &mut self,
        items: Vec<KeyedRecord>,
        has_more: bool,
        end: LogOffset,
    ) -> Vec<KeyedRecord> {
        if self.first_end.is_none() {
            self.note_era(end);
        }
        let first_end = *self.first_end.get_or_insert(end);
        let is_restored = era_of(first_end) > era_of(self.next_offset) && !self.known.is_empty();
        self.after = items.last().map(|item| item.key.clone());
        self.page_keys
            .extend(items.iter().map(|item| item.key.clone()));
        let mut changes = match is_restored {
            true => self.keep_not_dropped(items),
            false => self.keep_newer(items),
        };
        if has_more {
            return changes;
        }
        let page_keys: HashSet<SmolStr> = self.page_keys.drain(..).collect();
        let mut missing = Vec::new();
        for (key, known) in &self.known {
            if known.offset < first_end && !page_keys.contains(key) && !self.absent.contains(key) {
                missing.push(key.clone());
            }
        }
        for key in missing {
            if is_restored && self.known[&key].has_value {
                self.absent.push(key);
                continue;
            }
            self.known.remove(&key);
            changes.push(KeyedRecord {
                key,
                offset: first_end,
                value: None,
            });
        }
        self.next_offset = first_end;
        self.is_following = true;
        self.first_end = None;
        self.after = None;
        changes
    }

    /// Applies records read from the requested offset up to `next` and returns those that are newer
    /// than the known record of their key.
    pub fn apply_records(
        &mut self,
        records: Vec<KeyedRecord>,
        next: LogOffset,
    ) -> Vec<KeyedRecord> {
        self.note_era(next);
        self.next_offset = self.next_offset.max(next);
        self.keep_newer(records)
    }

    /// Returns true if the log was restored before the last read, the first time that it is called
    /// after that read.
    pub fn take_restored(&mut self) -> bool {
        std::mem::take(&mut self.was_restored)
    }

    /// Drops the keys that the first listing after a restore lacked and that have no record since,
    /// and returns them as records without a value. Called once their owners have had time to write
    /// them again.
    pub fn drop_absent(&mut self) -> Vec<KeyedRecord> {
        let mut changes = Vec::new();
        for key in std::mem::take(&mut self.absent) {
            let known = self.known.get(&key);
            if known.is_none_or(|known| era_of(known.offset) == era_of(self.next_offset)) {
                continue;
            }
            self.known.remove(&key);
            changes.push(KeyedRecord {
                key,
                offset: self.next_offset,
                value: None,
            });
        }
        changes
    }

    /// Returns the offset before which every record has been applied; `None` before the last page.
    pub fn caught_up_to(&self) -> Option<LogOffset> {
        self.is_following.then_some(self.next_offset)
    }

    /// Starts over with the pages, because the requested records have been dropped.
    pub fn restart(&mut self) {
        self.after = None;
        self.first_end = None;
        self.is_following = false;
        self.page_keys.clear();
    }

    fn keep_newer(&mut self, records: Vec<KeyedRecord>) -> Vec<KeyedRecord> {
        let mut changes = Vec::with_capacity(records.len());
        for record in records {
            if let Some(known) = self.known.get(&record.key)
                && known.offset >= record.offset
            {
                continue;
            }
            self.set_known(&record);
            changes.push(record);
        }
        changes
    }

    /// Like [`keep_newer`](Self::keep_newer) for a listing after a restore, without the keys that
    /// had been dropped before.
    fn keep_not_dropped(&mut self, records: Vec<KeyedRecord>) -> Vec<KeyedRecord> {
        let mut others = Vec::with_capacity(records.len());
        for record in records {
            match self.known.get_mut(&record.key) {
                // Only a record after this one brings the key back.
                Some(known) if !known.has_value => known.offset = record.offset,
                Some(_) | None => others.push(record),
            }
        }
        self.keep_newer(others)
    }

    fn set_known(&mut self, record: &KeyedRecord) {
        let known = KnownRecord {
            has_value: record.value.is_some(),
            offset: record.offset,
        };
        self.known.insert(record.key.clone(), known);
    }

    /// Records the end of the topic that a read showed.
    fn note_era(&mut self, end: LogOffset) {
        let is_first = self.known.is_empty() && self.next_offset == 0;
        self.was_restored |= !is_first && era_of(end) > era_of(self.next_offset);
    }
}
