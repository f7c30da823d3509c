//! Table edits with running instances: conflicts, outages of the log, and instances that cannot
//! reach the log.

#![allow(clippy::unwrap_used)]

mod support;

use ebonyspread::error::Error;
use ebonyspread::log_client::LogClient;
use ebonyspread::log_client::LogEntry;
use ebonyspread::log_era::offset_in;
use ebonyspread::publish::publish;
use ebonyspread::table_log::TableLog;
use ebonyspread::wire::LogRecord;
use ebonyspread::wire::SnapshotConfirmed;
use ebonyspread::wire::TableEdit;
use ebonyspread::wire::TableFile;
use ebonyspread::wire::TableSnapshot;
use ebonyspread::wire::log_record::Body;
use ebonyspread_standins::platform::PlatformFaults;
use support::*;

fn try_publish(
    cluster: &TestCluster,
    base: u64,
    table: &ebonyspread::wire::TableFile,
) -> Result<u64, Error> {
    let log = LogClient::new(&cluster.platform_url);
    block_on(async { publish(&log, "test", Some(base), table).await })
}

#[test]
fn of_two_edits_at_once_one_conflicts() {
    let cluster = TestClusterBuilder::default().engines(0).start();
    let mut first = cluster.table.clone();
    first.client_account[0].requests_per_s = 7;
    let mut second = cluster.table.clone();
    second.client_account[1].requests_per_s = 8;
    let results = std::thread::scope(|scope| {
        let one = scope.spawn(|| try_publish(&cluster, 1, &first));
        let other = scope.spawn(|| try_publish(&cluster, 1, &second));
        [one.join().unwrap(), other.join().unwrap()]
    });
    let accepted = results.iter().filter(|result| result.is_ok()).count();
    assert_eq!(accepted, 1);
    for result in results {
        let Err(error) = result else {
            continue;
        };
        let text = error.to_string();
        assert!(
            matches!(error, Error::TableConflict { base: 1, .. }),
            "{text}"
        );
        assert!(
            text.contains("client_account"),
            "rows that differ are not named: {text}"
        );
    }
}

#[test]
fn edit_reaches_an_instance_that_cannot_reach_the_log() {
    let mut cluster = TestClusterBuilder::default()
        .engines(0)
        .data_centres(2)
        .start();
    // The second instance gets a platform address on which nothing listens.
    let reachable = std::mem::replace(&mut cluster.platform_url, "http://127.0.0.1:9".to_owned());
    cluster.add_entry(1, 1);
    cluster.platform_url = reachable;
    cluster.wait_for_version(1);
    let mut edited = cluster.table.clone();
    edited.client_account[0].requests_per_s = 7;
    let version = try_publish(&cluster, 1, &edited).unwrap();
    cluster.wait_for_version(version);
}

#[test]
fn instance_that_starts_during_an_outage_gets_the_table_from_a_peer() {
    let mut cluster = TestClusterBuilder::default().engines(0).start();
    cluster.platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    cluster.add_entry(1, 0);
    cluster.wait_for_version(1);
}

#[test]
fn edit_during_an_outage_is_accepted_once_the_log_is_back() {
    let cluster = TestClusterBuilder::default().engines(0).start();
    let mut edited = cluster.table.clone();
    edited.client_account[0].requests_per_s = 7;
    cluster.platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    assert!(matches!(
        try_publish(&cluster, 1, &edited),
        Err(Error::LogService { .. })
    ));
    cluster.platform.set_faults(PlatformFaults::default());
    let version = try_publish(&cluster, 1, &edited).unwrap();
    cluster.wait_for_version(version);
}

#[test]
fn edit_whose_append_answer_is_lost_is_published_once() {
    let cluster = TestClusterBuilder::default().engines(0).start();
    let mut edited = cluster.table.clone();
    edited.client_account[0].requests_per_s = 7;
    cluster.platform.set_faults(PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    });
    assert_eq!(try_publish(&cluster, 1, &edited).unwrap(), 2);
}

fn table_with_limit(cluster: &TestCluster, requests_per_s: u32) -> ebonyspread::wire::TableFile {
    let mut table = cluster.table.clone();
    table.client_account[0].requests_per_s = requests_per_s;
    table
}

// The offset of the lost edit is given out again.
#[test]
fn edit_is_in_force_after_the_log_was_restored() {
    let cluster = TestClusterBuilder::default().engines(0).start();
    let copy = cluster.platform.copy_log();
    let lost = publish_table(&cluster.platform_url, &table_with_limit(&cluster, 7));
    cluster.wait_for_version(lost);
    cluster.platform.restore_log(&copy);
    // The instance writes the lost version again, so that the next edit can be based on it.
    wait_until("snapshot", || {
        try_publish(&cluster, lost, &table_with_limit(&cluster, 8)).is_ok()
    });
    let version = publish_table(&cluster.platform_url, &table_with_limit(&cluster, 9));
    assert!(version > lost);
    cluster.wait_for_version(version);
}

#[test]
fn edit_lost_in_a_restore_reaches_instances_that_start_later() {
    let mut cluster = TestClusterBuilder::default().engines(0).start();
    let copy = cluster.platform.copy_log();
    let lost = publish_table(&cluster.platform_url, &table_with_limit(&cluster, 7));
    cluster.wait_for_version(lost);
    cluster.platform.restore_log(&copy);
    cluster.add_entry(1, 0);
    cluster.wait_for_version(lost);
}

fn entry(offset: u64, body: Body) -> LogEntry {
    LogEntry {
        offset,
        record: Some(LogRecord { body: Some(body) }),
        time_ms: 1,
    }
}

// Two instances write the lost version at the same time.
#[yare::parameterized(
    first_is_confirmed = { 1 },
    second_is_confirmed = { 2 },
)]
fn lost_version_is_taken_from_any_confirmed_snapshot(confirmed: u64) {
    let mut table_log = TableLog::default();
    let edit = TableEdit {
        put: Some(TableFile::default()),
        ..TableEdit::default()
    };
    table_log.apply(&entry(0, Body::TableEdit(edit)));
    assert_eq!(table_log.version(), 1);
    let lost = 3;
    for number in 1..=2 {
        let snapshot = TableSnapshot {
            version: lost,
            table: None,
        };
        table_log.apply(&entry(offset_in(1, number), Body::TableSnapshot(snapshot)));
    }
    assert_eq!(table_log.version(), 1);
    let confirmation = SnapshotConfirmed {
        snapshot_offset: offset_in(1, confirmed),
    };
    table_log.apply(&entry(
        offset_in(1, 3),
        Body::SnapshotConfirmed(confirmation),
    ));
    assert_eq!(table_log.version(), lost);
}
