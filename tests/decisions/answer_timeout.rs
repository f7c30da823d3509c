//! Which calls are moved away from a server whose answer does not begin.

use std::time::Duration;

use ebonyspread::answer_timeout::AnswerTimeout;
use ebonyspread::answer_timeout::TimeoutAction;

const TARGET: Duration = Duration::from_secs(1);
const SHORT_WAIT: Duration = Duration::from_millis(100);

// After three consecutive reclaims half of the servers are left, and each call queues for seconds.
#[test]
fn timeout_grows_with_the_expected_wait() {
    let timeout = AnswerTimeout::new(TARGET, Duration::from_secs(2));
    assert!(timeout.initial() >= Duration::from_secs(4));
}

#[test]
fn call_without_a_retry_waits_for_its_deadline() {
    let timeout = AnswerTimeout::new(TARGET, SHORT_WAIT);
    let action = timeout.decide(TARGET, false, || false);
    assert_eq!(action, TimeoutAction::WaitForDeadline);
}

// The server hangs on some of its calls and answers the others.
#[test]
fn call_at_a_server_that_answers_others_is_retried_after_a_longer_timeout() {
    let timeout = AnswerTimeout::new(TARGET, SHORT_WAIT);
    let TimeoutAction::WaitUntil(until) = timeout.decide(TARGET, true, || true) else {
        panic!("a call at a busy server waits longer");
    };
    assert!(until > TARGET);
    assert_eq!(timeout.decide(until, true, || true), TimeoutAction::Retry);
}

#[test]
fn call_at_an_unresponsive_server_is_retried_at_the_target_latency() {
    let timeout = AnswerTimeout::new(TARGET, SHORT_WAIT);
    assert_eq!(timeout.initial(), TARGET);
    assert_eq!(timeout.decide(TARGET, false, || true), TimeoutAction::Retry);
}

#[test]
fn retry_is_taken_from_the_budget_only_if_the_call_is_retried() {
    let timeout = AnswerTimeout::new(TARGET, SHORT_WAIT);
    let mut taken = 0;
    timeout.decide(TARGET, true, || {
        taken += 1;
        true
    });
    assert_eq!(taken, 0);
}
