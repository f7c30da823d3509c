//! Orders table edits by the log: folds the table's stream into the version in force.
//!
//! An edit is accepted if the version it was made against is in force at its place in the
//! stream. Every reader of the stream accepts the same edits. A version never goes back.

use super::*;

/// Edits remembered for conflict messages.
const HISTORY_MAX: usize = 64;

/// Row ids named in a conflict message.
const CONFLICT_ROWS_MAX: usize = 12;

/// Rows of a table as the log carries them.
pub type TableRows = wire::TableFile;

/// What a record did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableEvent {
    /// The edit is in force.
    Accepted {
        /// The new version.
        version: TableVersion,
    },
    /// The edit was made against another version than the one in force.
    Conflict {
        /// Version in force.
        current: TableVersion,
    },
    /// The record did not change the version.
    Unchanged,
}

/// An accepted edit, for history and conflicts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EditNote {
    /// Random number of its publisher.
    pub nonce: u64,
    /// Who published it.
    pub operator: SmolStr,
    /// Ids of the rows put or removed.
    pub rows: Vec<String>,
    /// Time of the append by the log's clock, in milliseconds since 1970.
    pub time_ms: u64,
    /// Version it made.
    pub version: TableVersion,
}

/// The table's stream as far as it was read.
#[derive(Debug, Clone, Default)]
pub struct TableLog {
    /// False while the start of the stream was dropped and no confirmed snapshot was read.
    has_base: bool,
    history: VecDeque<EditNote>,
    /// Time of the record that a new reader has to start from.
    base_time_ms: u64,
    next_offset: LogOffset,
    /// Records read before a base was found.
    unbased: Vec<LogEntry>,
    rows: TableRows,
    version: TableVersion,
}

impl TableLog {
    /// Offset of the next record to read.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Version in force; 0 before the first edit.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// False if the log no longer holds what a new reader needs.
    pub fn is_based(&self) -> bool {
        self.has_base || self.next_offset == 0
    }

    /// Rows in force.
    pub fn rows(&self) -> &TableRows {
        &self.rows
    }

    /// Accepted edits, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &EditNote> {
        self.history.iter()
    }

    /// Takes note that the log starts at `start`.
    pub fn skip_to(&mut self, start: LogOffset) {
        if start <= self.next_offset {
            return;
        }
        // Edits may have been dropped unread: what is in force here stays, but later edits can
        // be judged only from a confirmed snapshot on.
        self.next_offset = start;
        self.has_base = false;
        self.unbased.clear();
    }

    /// Folds one record.
    pub fn apply(&mut self, entry: &LogEntry) -> TableEvent {
        if entry.offset < self.next_offset {
            return TableEvent::Unchanged;
        }
        if self.next_offset == 0 && entry.offset == 0 {
            self.has_base = true;
        }
        self.next_offset = entry.offset + 1;
        if self.has_base {
            return self.apply_based(entry);
        }
        self.apply_unbased(entry)
    }

    /// Takes a version from a peer. Returns true if it is newer.
    pub fn adopt(&mut self, version: TableVersion, rows: TableRows) -> bool {
        if version <= self.version && !is_disabled(Safeguard::VersionMonotone) {
            return false;
        }
        self.version = version;
        self.rows = rows;
        // The version holds all records before offset `version`. Later edits can be judged if
        // every record from there on has been kept or is still to be read.
        let kept_from = self.next_offset - self.unbased.len() as LogOffset;
        if version >= kept_from {
            self.has_base = true;
            self.next_offset = self.next_offset.max(version);
            for kept in std::mem::take(&mut self.unbased) {
                self.apply_based(&kept);
            }
        }
        true
    }

    /// True if the records that a new reader needs are older than `age`, so that the table has
    /// to be written again before the log drops them.
    pub fn needs_snapshot(&self, log_now_ms: u64, age: Duration) -> bool {
        let base_age_ms = log_now_ms.saturating_sub(self.base_time_ms);
        self.has_base && self.version > 0 && base_age_ms > age.as_millis() as u64
    }

    /// Finds the accepted edit of a publisher.
    pub fn find_edit(&self, nonce: u64) -> Option<&EditNote> {
        self.history.iter().find(|note| note.nonce == nonce)
    }

    /// Describes the edits since a version, for a conflict message.
    pub fn describe_since(&self, version: TableVersion) -> String {
        let mut rows: SmallVec<[&str; CONFLICT_ROWS_MAX]> = SmallVec::new();
        let mut first = None;
        for note in &self.history {
            if note.version <= version {
                continue;
            }
            first.get_or_insert(note);
            for row in &note.rows {
                if rows.len() < CONFLICT_ROWS_MAX && !rows.contains(&row.as_str()) {
                    rows.push(row);
                }
            }
        }
        match first {
            Some(note) => format!(
                "{} (first by {} as version {})",
                rows.join(", "),
                note.operator,
                note.version
            ),
            None => "not known here".to_owned(),
        }
    }

    fn apply_based(&mut self, entry: &LogEntry) -> TableEvent {
        use wire::log_record::Body;
        let Some(body) = entry
            .record
            .as_ref()
            .and_then(|record| record.body.as_ref())
        else {
            return TableEvent::Unchanged;
        };
        match body {
            Body::TableEdit(edit) => self.apply_edit(entry, edit),
            Body::SnapshotConfirmed(_) => {
                self.base_time_ms = entry.time_ms;
                TableEvent::Unchanged
            }
            _ => TableEvent::Unchanged,
        }
    }

    fn apply_edit(&mut self, entry: &LogEntry, edit: &wire::TableEdit) -> TableEvent {
        if entry.offset < self.version {
            return TableEvent::Unchanged;
        }
        // Version 0 means "before the first edit", and the first edit may have offset 0.
        let version = entry.offset + 1;
        if edit.base_version != self.version && !is_disabled(Safeguard::EditBase) {
            return TableEvent::Conflict {
                current: self.version,
            };
        }
        if self.version == 0 {
            self.base_time_ms = entry.time_ms;
        }
        apply_rows(&mut self.rows, edit);
        self.version = version;
        self.remember(entry, edit, version);
        TableEvent::Accepted { version }
    }

    fn remember(&mut self, entry: &LogEntry, edit: &wire::TableEdit, version: TableVersion) {
        if self.history.len() >= HISTORY_MAX {
            self.history.pop_front();
        }
        let mut rows = edit.removed.clone();
        if let Some(put) = &edit.put {
            rows.extend(row_ids(put));
        }
        self.history.push_back(EditNote {
            nonce: edit.nonce,
            operator: edit.operator.as_str().into(),
            rows,
            time_ms: entry.time_ms,
            version,
        });
    }

    /// Keeps records until one confirms a snapshot among them, then folds from the snapshot on.
    /// A snapshot alone proves nothing: an edit may have been accepted before it.
    fn apply_unbased(&mut self, entry: &LogEntry) -> TableEvent {
        use wire::log_record::Body;
        let body = entry
            .record
            .as_ref()
            .and_then(|record| record.body.as_ref());
        if let Some(Body::TableSnapshot(snapshot)) = body
            && is_disabled(Safeguard::SnapshotConfirmed)
        {
            self.has_base = true;
            self.version = snapshot.version;
            self.rows = snapshot.table.clone().unwrap_or_default();
            return TableEvent::Unchanged;
        }
        let Some(Body::SnapshotConfirmed(confirmed)) = body else {
            self.unbased.push(entry.clone());
            return TableEvent::Unchanged;
        };
        let entries = std::mem::take(&mut self.unbased);
        let found = entries
            .iter()
            .position(|kept| kept.offset == confirmed.snapshot_offset);
        let Some(at) = found else {
            self.unbased = entries;
            return TableEvent::Unchanged;
        };
        let snapshot = entries[at]
            .record
            .as_ref()
            .and_then(|record| record.body.as_ref());
        let Some(Body::TableSnapshot(snapshot)) = snapshot else {
            return TableEvent::Unchanged;
        };
        let version_before = self.version;
        self.has_base = true;
        self.base_time_ms = entry.time_ms;
        let mut fold = self.clone();
        fold.version = snapshot.version;
        fold.rows = snapshot.table.clone().unwrap_or_default();
        for kept in &entries[at + 1..] {
            fold.apply_based(kept);
        }
        if fold.version < version_before {
            return TableEvent::Unchanged;
        }
        *self = fold;
        if self.version == version_before {
            return TableEvent::Unchanged;
        }
        TableEvent::Accepted {
            version: self.version,
        }
    }
}

/// Applies an edit's rows to a table.
fn apply_rows(rows: &mut TableRows, edit: &wire::TableEdit) {
    remove_rows(rows, &edit.removed);
    let Some(put) = &edit.put else {
        return;
    };
    let ids: Vec<String> = row_ids(put).collect();
    remove_rows(rows, &ids);
    rows.backend_server
        .extend(put.backend_server.iter().cloned());
    rows.model_version.extend(put.model_version.iter().cloned());
    rows.route.extend(put.route.iter().cloned());
    rows.client_account
        .extend(put.client_account.iter().cloned());
    sort_rows(rows);
}

fn remove_rows(rows: &mut TableRows, ids: &[String]) {
    let gone = |id: String| ids.contains(&id);
    rows.backend_server.retain(|row| !gone(server_id(row)));
    rows.model_version.retain(|row| !gone(model_id(row)));
    rows.route.retain(|row| !gone(route_id(row)));
    rows.client_account.retain(|row| !gone(account_id(row)));
}

/// Sorts rows by id, so that equal tables have equal rows.
pub fn sort_rows(rows: &mut TableRows) {
    rows.backend_server.sort_by_cached_key(server_id);
    rows.model_version.sort_by_cached_key(model_id);
    rows.route.sort_by_cached_key(route_id);
    rows.client_account.sort_by_cached_key(account_id);
}

/// Computes the edit that turns `old` into `new`.
pub fn diff_rows(old: &TableRows, new: &TableRows) -> (TableRows, Vec<String>) {
    let put = TableRows {
        backend_server: changed(&old.backend_server, &new.backend_server),
        model_version: changed(&old.model_version, &new.model_version),
        route: changed(&old.route, &new.route),
        client_account: changed(&old.client_account, &new.client_account),
    };
    let kept: Vec<String> = row_ids(new).collect();
    let removed = row_ids(old).filter(|id| !kept.contains(id)).collect();
    (put, removed)
}

fn changed<T: Clone + PartialEq>(old: &[T], new: &[T]) -> Vec<T> {
    new.iter()
        .filter(|row| !old.contains(row))
        .cloned()
        .collect()
}

/// Ids of all rows, such as "backend_server hobart-a1".
pub fn row_ids(rows: &TableRows) -> impl Iterator<Item = String> {
    let servers = rows.backend_server.iter().map(server_id);
    let models = rows.model_version.iter().map(model_id);
    let routes = rows.route.iter().map(route_id);
    let accounts = rows.client_account.iter().map(account_id);
    servers.chain(models).chain(routes).chain(accounts)
}

fn account_id(row: &wire::ClientAccountRow) -> String {
    format!("client_account {}", row.name)
}

fn model_id(row: &wire::ModelVersionRow) -> String {
    format!("model_version {}@{} {}", row.model, row.version, row.path)
}

fn route_id(row: &wire::RouteRow) -> String {
    format!("route {} {}", row.prefix, row.path)
}

fn server_id(row: &wire::BackendServerRow) -> String {
    format!("backend_server {}", row.name)
}
