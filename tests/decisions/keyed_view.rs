//! [`KeyedView`] with inconsistent pages, gaps in the log and compaction.

use bytes::Bytes;
use ebonyspread::LogOffset;
use ebonyspread::keyed_view::KeyedRecord;
use ebonyspread::keyed_view::KeyedView;
use ebonyspread::keyed_view::ViewRequest;

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
fn first_page_determines_the_offset_to_follow_from() {
    let mut view = KeyedView::default();
    assert_eq!(view.next_request(), ViewRequest::Page { after: None });
    view.apply_page(vec![put("a", 1)], true, 5);
    assert_eq!(
        view.next_request(),
        ViewRequest::Page {
            after: Some("a".into())
        }
    );
    view.apply_page(vec![put("b", 6)], false, 9);
    assert_eq!(view.next_request(), ViewRequest::Records { from: 5 });
}

#[test]
fn older_records_never_replace_newer_ones() {
    let mut view = KeyedView::default();
    view.apply_page(vec![put("a", 6)], false, 5);
    let changes = view.apply_records(vec![put("a", 5), put("a", 6), put("a", 7)], 8);
    assert_eq!(changes, vec![put("a", 7)]);
    assert_eq!(view.next_request(), ViewRequest::Records { from: 8 });
}

#[test]
fn key_that_was_dropped_in_a_gap_is_dropped_by_the_next_pages() {
    let mut view = KeyedView::default();
    view.apply_page(vec![put("a", 1), put("b", 2)], false, 3);
    view.restart();
    let changes = view.apply_page(vec![put("a", 1)], false, 9);
    assert_eq!(changes, vec![dropped("b", 9)]);
}

#[test]
fn key_put_while_pages_were_read_is_kept() {
    let mut view = KeyedView::default();
    view.apply_page(vec![put("a", 1)], false, 3);
    view.apply_records(vec![put("b", 12)], 13);
    view.restart();
    // The pages were read when the topic ended at 10, so they cannot contain the record at 12.
    let changes = view.apply_page(vec![put("a", 1)], false, 10);
    assert!(changes.is_empty());
}

#[test]
fn dropped_key_comes_back_only_with_a_newer_record() {
    let mut view = KeyedView::default();
    view.apply_page(vec![put("a", 1)], false, 2);
    view.apply_records(vec![dropped("a", 4)], 5);
    assert!(view.apply_records(vec![put("a", 3)], 5).is_empty());
    assert_eq!(view.apply_records(vec![put("a", 5)], 6), vec![put("a", 5)]);
}
