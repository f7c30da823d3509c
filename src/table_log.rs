//! State of the table's stream in the log. The table is the operators' list of backend servers,
//! model versions, routes and client accounts. Its edits are applied in log order to compute the
//! version in force, which is the newest accepted one.
//!
//! An edit is accepted if its base version (the one that the operator changed) is in force at the
//! edit's position in the stream, so every reader of the stream accepts the same edits. The version
//! never decreases. A snapshot is a record with all rows of a version; readers use it only once a
//! later record confirms it. The history is the list of the latest accepted edits.

use super::*;

/// Maximum number of accepted edits kept in the history, which also serves conflict messages.
const HISTORY_MAX: usize = 64;

/// Maximum number of row ids listed in a conflict message.
const CONFLICT_ROWS_MAX: usize = 12;

/// Maximum number of snapshots of lost versions that are kept until one is confirmed.
const LOST_SNAPSHOTS_MAX: usize = 4;

/// Rows of a table in their wire form.
pub type TableRows = wire::TableFile;

/// Effect of a record on the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableEvent {
    /// The edit's base version was in force, so the edit was applied; also returned when a
    /// confirmed snapshot brings a newer version.
    Accepted {
        /// Version that is in force after the record.
        version: TableVersion,
    },
    /// The edit's base version is not the version in force.
    Conflict {
        /// Version in force at the edit's position in the stream.
        current: TableVersion,
    },
    /// The record is not an edit, was already applied, or cannot be applied yet.
    Unchanged,
}

/// Summary of an accepted edit, for the history and for conflict messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EditSummary {
    /// Random number that identifies the edit.
    pub nonce: u64,
    /// Operator who published the edit.
    pub operator: SmolStr,
    /// Ids of the rows that were put or removed.
    pub rows: Vec<String>,
    /// Time of the append by the log's clock, in milliseconds since 1970.
    pub time_ms: u64,
    /// Version that the edit created.
    pub version: TableVersion,
}

/// State of the table's stream, up to the next offset to read.
#[derive(Debug, Clone, Default)]
pub struct TableLog {
    /// True if every edit up to `next_offset` is included in `rows`. False before the first record,
    /// and from the loss of unread records until a confirmed snapshot or a recent version from a
    /// peer (another instance) replaces them.
    has_base: bool,
    history: VecDeque<EditSummary>,
    /// Log time, in milliseconds since 1970, of the first edit or of the newest snapshot
    /// confirmation. It is close to the time of the oldest record that a new reader needs.
    base_time_ms: u64,
    next_offset: LogOffset,
    /// Records that were read while there was no base to apply them to.
    pending: Vec<LogEntry>,
    /// Last snapshots, at most [`LOST_SNAPSHOTS_MAX`], of versions that a restore of the log has lost,
    /// with their offsets. One takes effect once it is confirmed; several instances may write one.
    lost_snapshots: VecDeque<(LogOffset, wire::TableSnapshot)>,
    rows: TableRows,
    version: TableVersion,
}

impl TableLog {
    /// Returns the offset from which the stream has to be read next.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Returns the version in force; 0 before the first edit.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// Returns false if the log dropped records before they were read and no confirmed snapshot or
    /// peer has replaced them, so that the table is not known; true before the first read.
    pub fn has_base(&self) -> bool {
        self.has_base || self.next_offset == 0
    }

    /// Returns the rows in force; empty before the first edit.
    pub fn rows(&self) -> &TableRows {
        &self.rows
    }

    /// Returns up to 64 of the latest accepted edits that were read from the log, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &EditSummary> {
        self.history.iter()
    }

    /// Skips the records before `start`, which the log has dropped. Does nothing if they have been
    /// read.
    pub fn skip_to(&mut self, start: LogOffset) {
        if start <= self.next_offset {
            return;
        }
        // Edits may have been dropped before they were read. The version in force stays, but later
        // edits can be checked against their base version only from a confirmed snapshot on.
        self.next_offset = start;
        self.has_base = false;
        self.pending.clear();
    }

    /// Goes on at the tail of a log that was restored from an older copy. The version in force stays;
    /// a snapshot is due, since the log may have lost edits of it.
    pub fn enter_era(&mut self, tail: LogOffset) {
        self.next_offset = self.next_offset.max(tail);
        self.base_time_ms = 0;
    }

    /// Applies one record and returns its effect. Records must be passed in the order of their
    /// offsets; one that was applied before has no effect.
    pub fn apply(&mut self, entry: &LogEntry) -> TableEvent {
        if entry.offset < self.next_offset {
            return TableEvent::Unchanged;
        }
        if self.next_offset == 0 && entry.offset == 0 {
            self.has_base = true;
        }
        self.next_offset = entry.offset + 1;
        if self.has_base {
            return self.apply_with_base(entry);
        }
        self.apply_without_base(entry)
    }

    /// Replaces the rows by those of a version received from a peer and returns true, if that
    /// version is newer.
    pub fn adopt(&mut self, version: TableVersion, rows: TableRows) -> bool {
        if version <= self.version && !is_disabled(Safeguard::VersionMonotone) {
            return false;
        }
        self.version = version;
        self.rows = rows;
        // The version includes all records before offset `version`. Later edits can be checked if
        // every record from there on is in `pending` or still to be read.
        let pending_from = self
            .pending
            .first()
            .map_or(self.next_offset, |entry| entry.offset);
        if version >= pending_from {
            self.has_base = true;
            self.next_offset = self.next_offset.max(version);
            for entry in std::mem::take(&mut self.pending) {
                self.apply_with_base(&entry);
            }
        }
        true
    }

    /// Returns true if the records that a new reader needs are older than `age`, so that a new
    /// snapshot has to be written before the log drops them.
    pub fn needs_snapshot(&self, log_now_ms: u64, age: Duration) -> bool {
        let base_age_ms = log_now_ms.saturating_sub(self.base_time_ms);
        self.has_base && self.version > 0 && base_age_ms > age.as_millis() as u64
    }

    /// Finds an accepted edit by its nonce, among those that the history still holds.
    pub fn find_edit(&self, nonce: u64) -> Option<&EditSummary> {
        self.history.iter().find(|summary| summary.nonce == nonce)
    }

    /// Describes the accepted edits since a version for a conflict message: the ids of the changed
    /// rows and the operator of the first edit.
    pub fn describe_edits_since(&self, version: TableVersion) -> String {
        let mut rows: SmallVec<[&str; CONFLICT_ROWS_MAX]> = SmallVec::new();
        let mut first = None;
        for summary in &self.history {
            if summary.version <= version {
                continue;
            }
            first.get_or_insert(summary);
            for row in &summary.rows {
                if rows.len() < CONFLICT_ROWS_MAX && !rows.contains(&row.as_str()) {
                    rows.push(row);
                }
            }
        }
        match first {
            Some(summary) => format!(
                "{} (first by {} as version {})",
                rows.join(", "),
                summary.operator,
                summary.version
            ),
            None => "not in the recorded history".to_owned(),
        }
    }

    fn apply_with_base(&mut self, entry: &LogEntry) -> TableEvent {
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
            Body::SnapshotConfirmed(confirmed) => {
                self.base_time_ms = entry.time_ms;
                self.apply_newer_snapshot(confirmed.snapshot_offset)
            }
            Body::TableSnapshot(snapshot)
                if snapshot.version > self.version
                    && era_of(snapshot.version) < era_of(entry.offset) =>
            {
                if self.lost_snapshots.len() >= LOST_SNAPSHOTS_MAX {
                    self.lost_snapshots.pop_front();
                }
                self.lost_snapshots
                    .push_back((entry.offset, snapshot.clone()));
                TableEvent::Unchanged
            }
            _ => TableEvent::Unchanged,
        }
    }

    /// Applies a confirmed snapshot whose edits a restore of the log has lost.
    fn apply_newer_snapshot(&mut self, offset: LogOffset) -> TableEvent {
        let mut snapshots = self.lost_snapshots.iter();
        let Some(index) = snapshots.position(|(at, _)| *at == offset) else {
            return TableEvent::Unchanged;
        };
        let Some((_, snapshot)) = self.lost_snapshots.remove(index) else {
            return TableEvent::Unchanged;
        };
        if snapshot.version <= self.version {
            return TableEvent::Unchanged;
        }
        self.version = snapshot.version;
        self.rows = snapshot.table.unwrap_or_default();
        TableEvent::Accepted {
            version: self.version,
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
        self.record_edit(entry, edit, version);
        TableEvent::Accepted { version }
    }

    fn record_edit(&mut self, entry: &LogEntry, edit: &wire::TableEdit, version: TableVersion) {
        if self.history.len() >= HISTORY_MAX {
            self.history.pop_front();
        }
        let mut rows = edit.removed.clone();
        if let Some(put) = &edit.put {
            rows.extend(row_ids(put));
        }
        self.history.push_back(EditSummary {
            nonce: edit.nonce,
            operator: edit.operator.as_str().into(),
            rows,
            time_ms: entry.time_ms,
            version,
        });
    }

    /// Collects records until one confirms a snapshot that is among them, then applies that
    /// snapshot and the records after it. An unconfirmed snapshot is not enough, because an edit
    /// may have been accepted just before it.
    fn apply_without_base(&mut self, entry: &LogEntry) -> TableEvent {
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
            self.pending.push(entry.clone());
            return TableEvent::Unchanged;
        };
        let entries = std::mem::take(&mut self.pending);
        let found = entries
            .iter()
            .position(|pending| pending.offset == confirmed.snapshot_offset);
        let Some(at) = found else {
            self.pending = entries;
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
        let mut replayed = self.clone();
        replayed.version = snapshot.version;
        replayed.rows = snapshot.table.clone().unwrap_or_default();
        for later in &entries[at + 1..] {
            replayed.apply_with_base(later);
        }
        if replayed.version < version_before {
            return TableEvent::Unchanged;
        }
        *self = replayed;
        if self.version == version_before {
            return TableEvent::Unchanged;
        }
        TableEvent::Accepted {
            version: self.version,
        }
    }
}

/// Removes the edit's removed rows, and puts its other rows in place of those with the same ids.
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
    let is_removed = |id: String| ids.contains(&id);
    rows.backend_server
        .retain(|row| !is_removed(server_id(row)));
    rows.model_version.retain(|row| !is_removed(model_id(row)));
    rows.route.retain(|row| !is_removed(route_id(row)));
    rows.client_account
        .retain(|row| !is_removed(account_id(row)));
}

/// Sorts rows by id, so that equal tables compare as equal.
pub fn sort_rows(rows: &mut TableRows) {
    rows.backend_server.sort_by_cached_key(server_id);
    rows.model_version.sort_by_cached_key(model_id);
    rows.route.sort_by_cached_key(route_id);
    rows.client_account.sort_by_cached_key(account_id);
}

/// Computes the edit that turns `old` into `new`: the rows to put and the ids of the rows to
/// remove.
pub fn diff_rows(old: &TableRows, new: &TableRows) -> (TableRows, Vec<String>) {
    let put = TableRows {
        backend_server: changed_rows(&old.backend_server, &new.backend_server),
        model_version: changed_rows(&old.model_version, &new.model_version),
        route: changed_rows(&old.route, &new.route),
        client_account: changed_rows(&old.client_account, &new.client_account),
    };
    let kept: Vec<String> = row_ids(new).collect();
    let removed = row_ids(old).filter(|id| !kept.contains(id)).collect();
    (put, removed)
}

fn changed_rows<T: Clone + PartialEq>(old: &[T], new: &[T]) -> Vec<T> {
    new.iter()
        .filter(|row| !old.contains(row))
        .cloned()
        .collect()
}

/// Returns the ids of all rows, such as "backend_server hobart-a1".
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
