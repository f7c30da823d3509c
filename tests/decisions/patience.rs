//! Which calls are taken away from a server whose answer does not begin.

use std::time::Duration;

use ebonyspread::patience::Patience;
use ebonyspread::patience::PatienceEnd;

const TARGET: Duration = Duration::from_secs(1);
const SHORT_WAIT: Duration = Duration::from_millis(100);

// Three reclaims in a row: half of the servers are left, and each call waits for seconds.
#[test]
fn calls_that_are_expected_to_wait_are_left_where_they_are() {
    let patience = Patience::new(TARGET, Duration::from_secs(2));
    assert!(patience.first() >= Duration::from_secs(4));
}

#[test]
fn call_without_a_retry_is_never_given_up() {
    let patience = Patience::new(TARGET, SHORT_WAIT);
    let end = patience.end(TARGET, false, || false);
    assert_eq!(end, PatienceEnd::WaitToEnd);
}

// A server hangs on part of its calls and answers the others.
#[test]
fn server_that_answers_others_gets_more_time_and_not_all_of_it() {
    let patience = Patience::new(TARGET, SHORT_WAIT);
    let PatienceEnd::WaitUntil(until) = patience.end(TARGET, true, || true) else {
        panic!("a busy server gets more time");
    };
    assert!(until > TARGET);
    assert_eq!(patience.end(until, true, || true), PatienceEnd::Move);
}

#[test]
fn silent_server_loses_its_calls_at_the_target() {
    let patience = Patience::new(TARGET, SHORT_WAIT);
    assert_eq!(patience.first(), TARGET);
    assert_eq!(patience.end(TARGET, false, || true), PatienceEnd::Move);
}

#[test]
fn retry_is_paid_only_for_a_call_that_moves() {
    let patience = Patience::new(TARGET, SHORT_WAIT);
    let mut paid = 0;
    patience.end(TARGET, true, || {
        paid += 1;
        true
    });
    assert_eq!(paid, 0);
}
