//! Publishes the operators' edits of the table to its stream in the log, and writes snapshots
//! (records with all rows) before log retention drops the table. The table is the operators' list
//! of backend servers, model versions, routes and client accounts; the version in force is the
//! newest one that the log accepted.

use super::*;

/// Maximum number of appends for one edit while the log service fails.
const PUBLISH_ATTEMPTS: u32 = 5;

/// Delay between two appends of the same edit.
const PUBLISH_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Reads the table's stream from its start to its tail, for a caller that keeps no copy of it.
pub async fn read_table_log(log: &LogClient) -> Result<TableLog> {
    let mut table_log = TableLog::default();
    read_to_tail(log, &mut table_log).await?;
    Ok(table_log)
}

async fn read_to_tail(log: &LogClient, table_log: &mut TableLog) -> Result<u64> {
    loop {
        let read = log
            .read(TABLE_STREAM, table_log.next_offset(), Duration::ZERO)
            .await?;
        table_log.skip_to(read.start);
        if let Some(tail) = read.restored_tail(table_log.next_offset()) {
            table_log.enter_era(tail);
        }
        for entry in &read.entries {
            table_log.apply(entry);
        }
        if table_log.next_offset() >= read.tail {
            return Ok(read.time_ms);
        }
    }
}

/// Publishes an edit that turns the table of version `base` into `new`, waits until the log has
/// accepted or refused it, and returns the version that it created, or `base` if it changes no row.
/// If `base` is `None`, the edit is based on the version in force. The error is `TableConflict` if
/// `base` is not the version in force.
pub async fn publish(
    log: &LogClient,
    operator: &str,
    base: Option<TableVersion>,
    new: &TableRows,
) -> Result<TableVersion> {
    Table::try_from(new)?;
    let mut table_log = read_table_log(log).await?;
    if !table_log.has_base() {
        return Err(Error::LogService {
            reason: "the stream has lost the table's start; wait for an instance's snapshot"
                .to_owned(),
        });
    }
    let base = base.unwrap_or(table_log.version());
    if base != table_log.version() {
        return Err(conflict_error(&table_log, base));
    }
    let (put, removed) = diff_rows(table_log.rows(), new);
    if removed.is_empty() && row_ids(&put).next().is_none() {
        return Ok(base);
    }
    let edit = wire::TableEdit {
        base_version: base,
        nonce: rand::random(),
        operator: operator.to_owned(),
        put: Some(put),
        removed,
    };
    append_edit(log, &mut table_log, edit).await
}

/// Appends the edit, at most [`PUBLISH_ATTEMPTS`] times, until it is found among the accepted
/// edits. An append may take effect although its answer was lost. A duplicate is harmless: the
/// first copy changes the version, so the second is refused as a conflict.
async fn append_edit(
    log: &LogClient,
    table_log: &mut TableLog,
    edit: wire::TableEdit,
) -> Result<TableVersion> {
    let base = edit.base_version;
    let nonce = edit.nonce;
    let record = wire::LogRecord {
        body: Some(wire::log_record::Body::TableEdit(edit)),
    };
    let mut last_error = None;
    for _ in 0..PUBLISH_ATTEMPTS {
        let appended = log
            .append(TABLE_STREAM, std::slice::from_ref(&record))
            .await;
        let read = read_to_tail(log, table_log).await;
        if let Some(summary) = table_log.find_edit(nonce) {
            return Ok(summary.version);
        }
        if table_log.version() != base {
            return Err(conflict_error(table_log, base));
        }
        last_error = appended.err().or(read.err());
        tokio::time::sleep(PUBLISH_RETRY_DELAY).await;
    }
    Err(last_error.unwrap_or(Error::LogService {
        reason: "the edit was not found in the log; publish it again".to_owned(),
    }))
}

fn conflict_error(table_log: &TableLog, base: TableVersion) -> Error {
    Error::TableConflict {
        base,
        current: table_log.version(),
        rows: table_log.describe_edits_since(base),
    }
}

/// Writes the table in force as a snapshot, so that log retention cannot drop it. A snapshot takes
/// effect only once it is confirmed, and is confirmed only if no edit was accepted between reading
/// the table and appending the snapshot.
pub async fn write_snapshot(log: &LogClient, table_log: &TableLog) -> Result {
    use wire::log_record::Body;
    let version = table_log.version();
    let snapshot = wire::LogRecord {
        body: Some(Body::TableSnapshot(wire::TableSnapshot {
            version,
            table: Some(table_log.rows().clone()),
        })),
    };
    let offset = log.append(TABLE_STREAM, &[snapshot]).await?;
    let mut replayed = table_log.clone();
    while replayed.next_offset() <= offset {
        let read = log
            .read(TABLE_STREAM, replayed.next_offset(), Duration::ZERO)
            .await?;
        if read.start > replayed.next_offset() || read.entries.is_empty() {
            return Ok(());
        }
        for entry in &read.entries {
            if entry.offset <= offset {
                replayed.apply(entry);
            }
        }
    }
    if replayed.version() != version {
        debug!("snapshot of version {version} is not confirmed: an edit was accepted before it");
        return Ok(());
    }
    let confirmed = wire::LogRecord {
        body: Some(Body::SnapshotConfirmed(wire::SnapshotConfirmed {
            snapshot_offset: offset,
        })),
    };
    log.append(TABLE_STREAM, &[confirmed]).await?;
    info!("snapshot version={version} offset={offset}");
    Ok(())
}
