//! Wall-clock estimates stay correct when the system clocks of some machines are wrong.

use std::time::Duration;

use ebonyspread::wall_clock::WallClock;

const ACTUAL_UNIX_TIME: Duration = Duration::from_secs(1_700_000_000);

#[test]
fn clock_that_was_wrong_at_startup_follows_the_median_of_its_peers() {
    let now = Duration::from_secs(50);
    let mut clock = WallClock::new(now, ACTUAL_UNIX_TIME + Duration::from_secs(2));
    for peer in ["a", "b", "c"] {
        clock.record_peer_estimate(now, &peer.into(), ACTUAL_UNIX_TIME.as_millis() as u64);
    }
    assert_eq!(clock.unix(now), ACTUAL_UNIX_TIME);
}

#[test]
fn one_wrong_peer_does_not_change_the_estimate() {
    let now = Duration::from_secs(50);
    let mut clock = WallClock::new(now, ACTUAL_UNIX_TIME);
    let wrong = ACTUAL_UNIX_TIME + Duration::from_secs(2);
    clock.record_peer_estimate(now, &"a".into(), wrong.as_millis() as u64);
    clock.record_peer_estimate(now, &"b".into(), ACTUAL_UNIX_TIME.as_millis() as u64);
    let later = now + Duration::from_secs(3);
    assert_eq!(clock.unix(later), ACTUAL_UNIX_TIME + Duration::from_secs(3));
}
