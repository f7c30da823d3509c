//! Follows a topic of the log in which each record carries a key and the newest of a key counts.
//!
//! The log keeps the newest record of each key but may drop older ones at any time, and pages of
//! newest records are no snapshot. So the view starts from pages, follows the log from where the
//! first page was taken, and starts over when the records it needs are gone.

use super::*;

/// One record of a keyed topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key.
    pub key: SmolStr,
    /// Offset in the topic.
    pub offset: LogOffset,
    /// Value; `None` if the key was dropped.
    pub value: Option<Bytes>,
}

/// What the view asks for next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyedNeed {
    /// A page of newest records after a key.
    Page {
        /// Last key of the page before; `None` for the first page.
        after: Option<SmolStr>,
    },
    /// Records from an offset on.
    Records {
        /// First offset.
        from: LogOffset,
    },
}

/// State of one follower.
#[derive(Debug, Default)]
pub struct KeyedView {
    after: Option<SmolStr>,
    /// End of the log when the first page was taken.
    first_end: Option<LogOffset>,
    following: bool,
    next_offset: LogOffset,
    offsets: HashMap<SmolStr, LogOffset>,
    /// Keys seen in the pages so far.
    paged: Vec<SmolStr>,
}

impl KeyedView {
    /// What to ask the log for.
    pub fn need(&self) -> KeyedNeed {
        match self.following {
            true => KeyedNeed::Records {
                from: self.next_offset,
            },
            false => KeyedNeed::Page {
                after: self.after.clone(),
            },
        }
    }

    /// Takes a page; returns the changes it brings. The last page also drops keys that no page
    /// had.
    pub fn take_page(
        &mut self,
        items: Vec<KeyedRecord>,
        has_more: bool,
        end: LogOffset,
    ) -> Vec<KeyedRecord> {
        let first_end = *self.first_end.get_or_insert(end);
        self.after = items.last().map(|item| item.key.clone());
        self.paged.extend(items.iter().map(|item| item.key.clone()));
        let mut changes = self.keep_newer(items);
        if has_more {
            return changes;
        }
        let paged = std::mem::take(&mut self.paged);
        let missing: Vec<SmolStr> = self
            .offsets
            .iter()
            .filter(|(key, offset)| **offset < first_end && !paged.contains(key))
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
        self.following = true;
        self.first_end = None;
        self.after = None;
        changes
    }

    /// Takes records read from the offset asked for up to `next`; returns the changes.
    pub fn take_records(&mut self, records: Vec<KeyedRecord>, next: LogOffset) -> Vec<KeyedRecord> {
        self.next_offset = self.next_offset.max(next);
        self.keep_newer(records)
    }

    /// Offset up to which everything was seen; `None` before the last page.
    pub fn seen_to(&self) -> Option<LogOffset> {
        self.following.then_some(self.next_offset)
    }

    /// The records asked for are gone: starts over from pages.
    pub fn start_over(&mut self) {
        self.after = None;
        self.first_end = None;
        self.following = false;
        self.paged.clear();
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
