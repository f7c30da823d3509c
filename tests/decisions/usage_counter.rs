//! Usage counts of all instances across restarts.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyspread::usage_counter::PEER_COUNTS_DELAY;
use ebonyspread::usage_counter::UsageCounter;

const START: Duration = Duration::from_secs(50);

#[test]
fn restarted_instance_reports_nothing_before_it_has_the_counts_of_its_peers() {
    let mut counter = UsageCounter::new(START);
    let soon = START + Duration::from_millis(250);
    assert_eq!(counter.total(soon, 7), None);
    let counts = BTreeMap::from([("quayside".into(), 320)]);
    counter.set_peer_counts("entry-2".into(), 1, BTreeMap::from([(7, counts)]));
    let total = counter.total(START + PEER_COUNTS_DELAY, 7).unwrap();
    assert_eq!(total["quayside"], 320);
}

#[test]
fn counts_of_all_processes_of_a_peer_add_up() {
    let mut counter = UsageCounter::new(START);
    for (life, count) in [(1, 5), (2, 7)] {
        let counts = BTreeMap::from([("quayside".into(), count)]);
        counter.set_peer_counts("entry-2".into(), life, BTreeMap::from([(7, counts)]));
    }
    counter.count(7, &"quayside".into());
    let total = counter.total(START + PEER_COUNTS_DELAY, 7).unwrap();
    assert_eq!(total["quayside"], 13);
}
