//! The time of day stays true although machines' clocks step.

use std::time::Duration;

use ebonyspread::wall_clock::WallClock;

const TRUE_UNIX: Duration = Duration::from_secs(1_700_000_000);

#[test]
fn clock_that_was_wrong_at_the_start_follows_the_median_of_its_peers() {
    let now = Duration::from_secs(50);
    let mut clock = WallClock::new(now, TRUE_UNIX + Duration::from_secs(2));
    for peer in ["a", "b", "c"] {
        clock.take_peer(now, &peer.into(), TRUE_UNIX.as_millis() as u64);
    }
    assert_eq!(clock.unix(now), TRUE_UNIX);
}

#[test]
fn one_wrong_peer_changes_nothing() {
    let now = Duration::from_secs(50);
    let mut clock = WallClock::new(now, TRUE_UNIX);
    let wrong = TRUE_UNIX + Duration::from_secs(2);
    clock.take_peer(now, &"a".into(), wrong.as_millis() as u64);
    clock.take_peer(now, &"b".into(), TRUE_UNIX.as_millis() as u64);
    let later = now + Duration::from_secs(3);
    assert_eq!(clock.unix(later), TRUE_UNIX + Duration::from_secs(3));
}
