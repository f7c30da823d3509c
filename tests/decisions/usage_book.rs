//! Usage of all instances, over restarts.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyspread::usage_book::SETTLE_TIME;
use ebonyspread::usage_book::UsageBook;

const START: Duration = Duration::from_secs(50);

#[test]
fn restarted_instance_reports_nothing_before_it_heard_its_peers() {
    let mut book = UsageBook::new(START);
    let soon = START + Duration::from_millis(250);
    assert_eq!(book.total(soon, 7), None);
    let counts = BTreeMap::from([("quayside".into(), 320)]);
    book.take_peer("entry-2".into(), 1, BTreeMap::from([(7, counts)]));
    let total = book.total(START + SETTLE_TIME, 7).unwrap();
    assert_eq!(total["quayside"], 320);
}

#[test]
fn lives_of_one_peer_add_up() {
    let mut book = UsageBook::new(START);
    for (life, count) in [(1, 5), (2, 7)] {
        let counts = BTreeMap::from([("quayside".into(), count)]);
        book.take_peer("entry-2".into(), life, BTreeMap::from([(7, counts)]));
    }
    book.count(7, &"quayside".into());
    let total = book.total(START + SETTLE_TIME, 7).unwrap();
    assert_eq!(total["quayside"], 13);
}
