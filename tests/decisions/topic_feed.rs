//! What a peer that reads a topic of the log here is told, and how fresh it may take it for.

use std::time::Duration;

use bytes::Bytes;
use ebonyspread::LogOffset;
use ebonyspread::keyed_view::KeyedRecord;
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

/// A feed that has read pages with one key up to offset 10.
fn feed() -> TopicFeed {
    let mut feed = TopicFeed::default();
    feed.take(record("a", 4, Some("first")));
    feed.prove(READ_AT, 10);
    feed
}

fn records(read: FeedRead) -> Vec<LogOffset> {
    let FeedRead::Records(page) = read else {
        panic!("no records: {read:?}");
    };
    page.records.iter().map(|record| record.offset).collect()
}

#[test]
fn topic_that_was_not_read_to_its_end_is_told_to_nobody() {
    let mut feed = TopicFeed::default();
    feed.take(record("a", 4, Some("first")));
    assert_eq!(feed.read(0), FeedRead::Unknown);
    assert_eq!(feed.newest(), None);
}

#[test]
fn reader_from_before_the_pages_is_sent_to_the_newest_records() {
    let feed = feed();
    assert_eq!(feed.read(9), FeedRead::Gone);
    let page = feed.newest().unwrap();
    assert_eq!((page.end, page.records.len()), (10, 1));
}

#[test]
fn changes_and_drops_are_told_from_the_offset_on() {
    let mut feed = feed();
    feed.take(record("a", 12, Some("second")));
    feed.take(record("b", 13, Some("first")));
    feed.take(record("a", 15, None));
    feed.prove(READ_AT, 20);
    assert_eq!(records(feed.read(10)), vec![12, 13, 15]);
    assert_eq!(records(feed.read(13)), vec![13, 15]);
    let newest = feed.newest().unwrap();
    assert_eq!(newest.records, vec![record("b", 13, Some("first"))]);
}

#[test]
fn whoever_missed_more_than_is_kept_reads_the_newest_records() {
    let mut feed = feed();
    for offset in 10..3_000 {
        feed.take(record("a", offset, Some("next")));
    }
    feed.prove(READ_AT, 3_000);
    assert_eq!(feed.read(10), FeedRead::Gone);
    assert_eq!(records(feed.read(2_999)), vec![2_999]);
}

// A frozen or slow instance must not make its peers take old knowledge for new: keys that were
// revoked meanwhile would be served.
#[yare::parameterized(
    read_before_the_request = { 100, 102, 200 },
    read_while_the_request_waited = { 100, 99, 201 },
)]
fn answer_is_never_taken_for_fresher_than_it_is(read_s: u64, received_s: u64, limit_s: u64) {
    let feed = feed();
    let FeedRead::Records(page) = feed.read(10) else {
        panic!("known");
    };
    assert_eq!(page.proven_at, Duration::from_secs(read_s));
    let reply = page.into_reply(Duration::from_secs(received_s));
    // The asker's clock is another one; the request may have been on its way for long.
    let sent_at = Duration::from_secs(200);
    let told = FeedPage::from_reply(reply, sent_at);
    assert!(told.proven_at <= Duration::from_secs(limit_s), "{told:?}");
    assert!(told.proven_at + Duration::from_secs(2) >= sent_at);
}

// The store turns the reader away and serves its peers: they have to notice before an edit is late.
#[test]
fn reader_that_cannot_read_the_log_tells_nothing_until_it_can() {
    let mut feed = feed();
    feed.lose();
    assert_eq!(feed.read(10), FeedRead::Unknown);
    assert_eq!(feed.newest(), None);
    feed.prove(READ_AT, 12);
    assert_eq!(records(feed.read(10)), Vec::<LogOffset>::new());
}
