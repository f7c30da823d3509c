//! [`KeyedView`] with inconsistent pages, gaps in the log and compaction.

use bytes::Bytes;
use ebonyspread::LogOffset;
use ebonyspread::keyed_view::KeyedRecord;
use ebonyspread::keyed_view::KeyedView;
use ebonyspread::keyed_view::ViewRequest;
use ebonyspread::log_era::offset_in;

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

// The log lost the records from 4 on and gave their offsets to others.
#[test]
fn record_at_an_offset_that_was_known_before_a_restore_is_applied() {
    let mut view = KeyedView::default();
    view.apply_page(vec![put("a", 1)], false, 3);
    view.apply_records(vec![put("a", 5)], 6);
    view.restart();
    let again = put("a", offset_in(1, 2));
    assert_eq!(
        view.apply_page(vec![again.clone()], false, offset_in(1, 3)),
        vec![again]
    );
    assert!(view.take_restored());
    assert!(!view.take_restored());
    let later = put("a", offset_in(1, 4));
    assert_eq!(
        view.apply_records(vec![later.clone()], offset_in(1, 5)),
        vec![later]
    );
    assert!(!view.take_restored());
}

#[test]
fn key_that_a_restored_log_lacks_is_dropped_unless_it_is_written_again() {
    let mut view = KeyedView::default();
    view.apply_page(vec![put("a", 1), put("b", 2), put("c", 3)], false, 4);
    view.restart();
    let a = put("a", offset_in(1, 1));
    assert_eq!(
        view.apply_page(vec![a.clone()], false, offset_in(1, 2)),
        vec![a.clone()]
    );
    view.restart();
    // The listing is read again within the time that the owners have.
    assert!(view.apply_page(vec![a], false, offset_in(1, 2)).is_empty());
    view.apply_records(vec![put("b", offset_in(1, 2))], offset_in(1, 3));
    assert_eq!(view.drop_absent(), vec![dropped("c", offset_in(1, 3))]);
    assert!(view.drop_absent().is_empty());
}

#[test]
fn key_dropped_before_a_restore_comes_back_only_with_a_later_record() {
    let mut view = KeyedView::default();
    view.apply_page(vec![put("a", 1), put("b", 2)], false, 3);
    view.apply_records(vec![dropped("a", 3)], 4);
    for _ in 0..2 {
        view.restart();
        let listed = vec![put("a", offset_in(1, 1)), put("b", offset_in(1, 2))];
        let changes = view.apply_page(listed, false, offset_in(1, 3));
        assert!(
            changes.iter().all(|change| change.key != "a"),
            "{changes:?}"
        );
    }
    let later = put("a", offset_in(1, 3));
    assert_eq!(
        view.apply_records(vec![later.clone()], offset_in(1, 4)),
        vec![later]
    );
}

#[test]
fn restore_between_two_pages_is_found_by_the_next_read() {
    let mut view = KeyedView::default();
    view.apply_page(vec![put("a", 1)], true, 9);
    view.apply_page(vec![put("b", offset_in(1, 1))], false, offset_in(1, 2));
    assert_eq!(view.next_request(), ViewRequest::Records { from: 9 });
    view.restart();
    view.apply_page(vec![put("b", offset_in(1, 1))], false, offset_in(1, 2));
    assert!(view.take_restored());
    assert_eq!(view.drop_absent(), vec![dropped("a", offset_in(1, 2))]);
}
