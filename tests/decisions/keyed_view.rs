//! A follower of a keyed topic over pages that are no snapshot, gaps and compaction.

use bytes::Bytes;
use ebonyspread::LogOffset;
use ebonyspread::keyed_view::KeyedNeed;
use ebonyspread::keyed_view::KeyedRecord;
use ebonyspread::keyed_view::KeyedView;

fn put(key: &str, offset: LogOffset) -> KeyedRecord {
    KeyedRecord {
        key: key.into(),
        offset,
        value: Some(Bytes::from(format!("{key}@{offset}"))),
    }
}

fn dropped(key: &str, offset: LogOffset) -> KeyedRecord {
    KeyedRecord {
        key: key.into(),
        offset,
        value: None,
    }
}

#[test]
fn first_page_decides_where_the_log_is_followed_from() {
    let mut view = KeyedView::default();
    assert_eq!(view.need(), KeyedNeed::Page { after: None });
    view.take_page(vec![put("a", 1)], true, 5);
    assert_eq!(
        view.need(),
        KeyedNeed::Page {
            after: Some("a".into())
        }
    );
    view.take_page(vec![put("b", 6)], false, 9);
    assert_eq!(view.need(), KeyedNeed::Records { from: 5 });
}

#[test]
fn older_records_never_replace_newer_ones() {
    let mut view = KeyedView::default();
    view.take_page(vec![put("a", 6)], false, 5);
    let changes = view.take_records(vec![put("a", 5), put("a", 6), put("a", 7)], 8);
    assert_eq!(changes, vec![put("a", 7)]);
    assert_eq!(view.need(), KeyedNeed::Records { from: 8 });
}

#[test]
fn key_that_was_dropped_in_a_gap_is_dropped_by_the_next_pages() {
    let mut view = KeyedView::default();
    view.take_page(vec![put("a", 1), put("b", 2)], false, 3);
    view.start_over();
    let changes = view.take_page(vec![put("a", 1)], false, 9);
    assert_eq!(changes, vec![dropped("b", 9)]);
}

#[test]
fn key_put_while_pages_were_read_is_kept() {
    let mut view = KeyedView::default();
    view.take_page(vec![put("a", 1)], false, 3);
    view.take_records(vec![put("b", 12)], 13);
    view.start_over();
    // The pages were taken when the topic ended at 10: they cannot have the later record.
    let changes = view.take_page(vec![put("a", 1)], false, 10);
    assert!(changes.is_empty());
}

#[test]
fn dropped_key_comes_back_only_with_a_newer_record() {
    let mut view = KeyedView::default();
    view.take_page(vec![put("a", 1)], false, 2);
    view.take_records(vec![dropped("a", 4)], 5);
    assert!(view.take_records(vec![put("a", 3)], 5).is_empty());
    assert_eq!(view.take_records(vec![put("a", 5)], 6), vec![put("a", 5)]);
}
