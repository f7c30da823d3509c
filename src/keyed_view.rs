//! State of a reader that follows a keyed topic of the log, in which the newest record of a key
//! gives the key's value. The caller performs the reads; the view tells which one is next, and
//! which of the records that were read are new.
//!
//! The log keeps the newest record of each key but may drop older ones at any time, and the pages
//! of newest records are not a consistent snapshot. Therefore the view starts with the pages, then
//! continues with the records from the offset at which the topic ended at the time of the first
//! page, and starts over if records that it needs have been dropped.

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

/// Reading position in a topic and the offset of the newest known record of each key; the values
/// are kept by the caller.
#[derive(Debug, Default)]
pub struct KeyedView {
    after: Option<SmolStr>,
    /// Offset at which the topic ended at the time of the first page.
    first_end: Option<LogOffset>,
    is_following: bool,
    next_offset: LogOffset,
    offsets: HashMap<SmolStr, LogOffset>,
    /// Keys in the pages read so far.
    page_keys: Vec<SmolStr>,
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
    /// topic at the time of the first page.
    pub fn apply_page(
        &mut self,
        items: Vec<KeyedRecord>,
        has_more: bool,
        end: LogOffset,
    ) -> Vec<KeyedRecord> {
        let first_end = *self.first_end.get_or_insert(end);
        self.after = items.last().map(|item| item.key.clone());
        self.page_keys
            .extend(items.iter().map(|item| item.key.clone()));
        let mut changes = self.keep_newer(items);
        if has_more {
            return changes;
        }
        let page_keys = std::mem::take(&mut self.page_keys);
        let missing: Vec<SmolStr> = self
            .offsets
            .iter()
            .filter(|(key, offset)| **offset < first_end && !page_keys.contains(key))
            .map(|(key, _)| key.clone())
            .collect();
        for key in missing {
            self.offsets.remove(&key);
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
        self.next_offset = self.next_offset.max(next);
        self.keep_newer(records)
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
            if let Some(known) = self.offsets.get(&record.key)
                && *known >= record.offset
            {
                continue;
            }
            self.offsets.insert(record.key.clone(), record.offset);
            changes.push(record);
        }
        changes
    }
}
