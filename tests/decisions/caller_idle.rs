//! Times for which a caller's connection counts as idle.

use std::time::Duration;

use ebonyspread::caller_idle::ConnectionActivity;
use ebonyspread::caller_idle::IdleClock;

const SECOND: Duration = Duration::from_secs(1);

fn idle(bytes: u64) -> ConnectionActivity {
    ConnectionActivity {
        bytes,
        is_busy: false,
    }
}

fn busy(bytes: u64) -> ConnectionActivity {
    ConnectionActivity {
        bytes,
        is_busy: true,
    }
}

#[test]
fn idle_time_does_not_begin_before_the_connection_was_seen_idle() {
    let mut clock = IdleClock::default();
    assert_eq!(clock.observe(9 * SECOND, idle(0)), Duration::ZERO);
    assert_eq!(clock.observe(11 * SECOND, idle(0)), 2 * SECOND);
}

#[test]
fn call_between_two_observations_ends_the_idle_time() {
    let mut clock = IdleClock::default();
    clock.observe(SECOND, idle(500));
    assert_eq!(clock.observe(15 * SECOND, idle(500)), 14 * SECOND);
    assert_eq!(clock.observe(16 * SECOND, idle(900)), Duration::ZERO);
    assert_eq!(clock.observe(17 * SECOND, idle(900)), SECOND);
}

#[test]
fn time_of_a_call_does_not_count_as_idle() {
    let mut clock = IdleClock::default();
    clock.observe(SECOND, idle(500));
    for second in 2..40 {
        assert_eq!(clock.observe(second * SECOND, busy(700)), Duration::ZERO);
    }
    assert_eq!(clock.observe(40 * SECOND, idle(700)), Duration::ZERO);
    assert_eq!(clock.observe(43 * SECOND, idle(700)), 3 * SECOND);
}
