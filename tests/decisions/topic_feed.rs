//! Reads of peers from a topic feed: which records they get, and how fresh the reply counts as.

use std::time::Duration;

use bytes::Bytes;
use ebonyspread::LogOffset;
use ebonyspread::keyed_view::KeyedRecord;
use ebonyspread::log_era::offset_in;
use ebonyspread::topic_feed::FeedPage;
use ebonyspread::topic_feed::FeedRead;
use ebonyspread::topic_feed::TopicFeed;

const READ_AT: Duration = Duration::from_secs(100);

fn record(key: &str, offset: LogOffset, value: Option<&'static str>) -> KeyedRecord {
    KeyedRecord {
        key: key.into(),
        offset,
        value: value.map(|text| Bytes::from_static(text.as_bytes())),
    }
}

/// A feed that has read the pages of a topic with one key and end offset 10.
fn feed() -> TopicFeed {
    let mut feed = TopicFeed::default();
    feed.apply(record("a", 4, Some("first")));
    feed.confirm_end(READ_AT, 10);
    feed
}

fn records(read: FeedRead) -> Vec<LogOffset> {
    let FeedRead::Records(page) = read else {
        panic!("no records: {read:?}");
    };
    page.records.iter().map(|record| record.offset).collect()
}

#[test]
fn feed_has_no_records_before_the_topic_is_read_to_its_end() {
    let mut feed = TopicFeed::default();
    feed.apply(record("a", 4, Some("first")));
    assert_eq!(feed.read(0), FeedRead::Unknown);
    assert_eq!(feed.newest(), None);
}

#[test]
fn reader_behind_the_first_pages_reads_the_newest_records() {
    let feed = feed();
    assert_eq!(feed.read(9), FeedRead::Gone);
    let page = feed.newest().unwrap();
    assert_eq!((page.end, page.records.len()), (10, 1));
}

#[test]
fn read_returns_changes_and_drops_from_the_offset_on() {
    let mut feed = feed();
    feed.apply(record("a", 12, Some("second")));
    feed.apply(record("b", 13, Some("first")));
    feed.apply(record("a", 15, None));
    feed.confirm_end(READ_AT, 20);
    assert_eq!(records(feed.read(10)), vec![12, 13, 15]);
    assert_eq!(records(feed.read(13)), vec![13, 15]);
    let newest = feed.newest().unwrap();
    assert_eq!(newest.records, vec![record("b", 13, Some("first"))]);
}

#[test]
fn reader_that_missed_more_than_is_kept_reads_the_newest_records() {
    let mut feed = feed();
    for offset in 10..3_000 {
        feed.apply(record("a", offset, Some("next")));
    }
    feed.confirm_end(READ_AT, 3_000);
    assert_eq!(feed.read(10), FeedRead::Gone);
    assert_eq!(records(feed.read(2_999)), vec![2_999]);
}

// The platform reclaims all servers at once: each is marked as leaving and then removed. If readers
// then read the whole topic, they learn late which servers are leaving.
#[test]
fn change_of_all_keys_at_once_does_not_make_readers_start_over() {
    let keys: Vec<String> = (0..3_000).map(|index| format!("server-{index}")).collect();
    let mut feed = TopicFeed::default();
    let mut end = 0;
    for key in &keys {
        feed.apply(record(key, end, Some("ready")));
        end += 1;
    }
    feed.confirm_end(READ_AT, end);
    let from = end;
    for value in [Some("leaving"), None] {
        for key in &keys {
            feed.apply(record(key, end, value));
            end += 1;
        }
    }
    feed.confirm_end(READ_AT, end);
    assert_eq!(records(feed.read(from)).len(), 6_000);
}

// A suspended or slow instance must not make its peers treat old records as new: they would
// continue to serve keys that have been revoked in the meantime.
#[yare::parameterized(
    read_before_the_request = { 100, 102, 200 },
    read_while_the_request_waited = { 100, 99, 201 },
)]
fn reply_never_counts_as_fresher_than_it_is(read_s: u64, received_s: u64, limit_s: u64) {
    let feed = feed();
    let FeedRead::Records(page) = feed.read(10) else {
        panic!("known");
    };
    assert_eq!(page.as_of, Duration::from_secs(read_s));
    let reply = page.into_reply(Duration::from_secs(received_s));
    // The requester has a different clock, and the request may have been delayed.
    let sent_at = Duration::from_secs(200);
    let received = FeedPage::from_reply(reply, sent_at);
    assert!(
        received.as_of <= Duration::from_secs(limit_s),
        "{received:?}"
    );
    assert!(received.as_of + Duration::from_secs(2) >= sent_at);
}

// The log can reject reads of this instance while it serves the reads of its peers. They have to
// notice that the feed is outdated before an edit is late.
#[test]
fn feed_has_no_records_while_the_log_is_unreadable() {
    let mut feed = feed();
    feed.mark_unreadable();
    assert_eq!(feed.read(10), FeedRead::Unknown);
    assert_eq!(feed.newest(), None);
    feed.confirm_end(READ_AT, 12);
    assert_eq!(records(feed.read(10)), Vec::<LogOffset>::new());
}

// The log lost the record at 12; another one got its offset.
#[test]
fn reader_of_a_copy_gets_what_a_restored_log_holds_at_known_offsets() {
    let mut feed = feed();
    feed.apply(record("a", 12, Some("lost")));
    feed.confirm_end(READ_AT, 13);
    feed.apply(record("b", offset_in(1, 12), Some("second")));
    feed.confirm_end(READ_AT, offset_in(1, 13));
    assert_eq!(records(feed.read(13)), [offset_in(1, 12)]);
    assert!(records(feed.read(offset_in(1, 13))).is_empty());
}

#[test]
fn copy_from_before_a_restore_is_not_read_by_instances_that_know_of_it() {
    let feed = feed();
    assert_eq!(feed.read(offset_in(1, 3)), FeedRead::Unknown);
}
