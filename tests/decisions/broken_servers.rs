//! Servers whose connections broke, of which some have ended.

use std::time::Duration;

use ebonyspread::ServerName;
use ebonyspread::broken_servers::BrokenRequest;
use ebonyspread::broken_servers::BrokenServers;
use ebonyspread::broken_servers::CHECK_INTERVAL;
use ebonyspread::broken_servers::CHECK_TIME_MAX;
use ebonyspread::broken_servers::CheckOutcome;
use ebonyspread::broken_servers::CheckResult;
use ebonyspread::crash_report::CrashReport;
use smallvec::smallvec;

const NOW: Duration = Duration::from_secs(100);

fn broken(at: Duration, request: &str) -> BrokenRequest {
    BrokenRequest {
        report: CrashReport::new(at, 1, smallvec![7]),
        request: request.into(),
    }
}

/// Returns the server, and the state after one of its connections broke at [`NOW`].
fn after_break() -> (ServerName, BrokenServers) {
    let server = ServerName::from("server-1");
    let mut servers = BrokenServers::default();
    assert!(servers.add(NOW, &server, broken(NOW, "first")));
    (server, servers)
}

#[yare::parameterized(
    that_accepts_connections = { CheckResult::Accepted },
    that_answers_later_calls = { CheckResult::Answered },
    that_has_left = { CheckResult::Gone },
)]
fn server_is_not_taken_for_ended(result: CheckResult) {
    let (server, mut servers) = after_break();
    assert!(!servers.add(NOW, &server, broken(NOW, "second")));
    let outcome = servers.apply(NOW + CHECK_INTERVAL, &server, result);
    assert_eq!(outcome, CheckOutcome::NotEnded(2));
    assert_eq!(servers.last_break_at(&server), None);
}

#[test]
fn server_that_refuses_connections_is_reported_with_all_its_requests() {
    let (server, mut servers) = after_break();
    servers.add(NOW, &server, broken(NOW, "second"));
    let at = NOW + CHECK_INTERVAL;
    let outcome = servers.apply(at, &server, CheckResult::Refused);
    assert_eq!(outcome, CheckOutcome::CheckAgain);
    let outcome = servers.apply(at + CHECK_INTERVAL, &server, CheckResult::Refused);
    let expected = vec![broken(NOW, "first"), broken(NOW, "second")];
    assert_eq!(outcome, CheckOutcome::Ended(expected));
}

// A server at its maximum of connections resets a further one.
#[test]
fn server_that_refuses_one_connection_and_accepts_the_next_is_not_taken_for_ended() {
    let (server, mut servers) = after_break();
    let at = NOW + CHECK_INTERVAL;
    servers.apply(at, &server, CheckResult::Refused);
    let outcome = servers.apply(at + CHECK_INTERVAL, &server, CheckResult::Accepted);
    assert_eq!(outcome, CheckOutcome::NotEnded(1));
}

// Its machine does not respond; the registry shows later that it has started again.
#[test]
fn server_that_registers_again_is_reported_although_its_machine_was_silent() {
    let (server, mut servers) = after_break();
    let outcome = servers.apply(NOW + CHECK_INTERVAL, &server, CheckResult::NoAnswer);
    assert_eq!(outcome, CheckOutcome::CheckAgain);
    let later = NOW + Duration::from_secs(2);
    let outcome = servers.apply(later, &server, CheckResult::Restarted);
    assert!(matches!(outcome, CheckOutcome::Ended(_)), "{outcome:?}");
}

#[test]
fn silent_server_is_not_checked_without_end() {
    let (server, mut servers) = after_break();
    let outcome = servers.apply(NOW + CHECK_TIME_MAX, &server, CheckResult::NoAnswer);
    assert_eq!(outcome, CheckOutcome::NotEnded(1));
}

// The connection was accepted before the server ended.
#[test]
fn break_after_a_check_began_is_checked_again() {
    let (server, mut servers) = after_break();
    let checked_at = NOW + CHECK_INTERVAL;
    let later = checked_at + Duration::from_millis(1);
    servers.add(later, &server, broken(later, "later"));
    let outcome = servers.apply(checked_at, &server, CheckResult::Accepted);
    assert_eq!(outcome, CheckOutcome::CheckAgain);
    let at = checked_at + CHECK_INTERVAL;
    servers.apply(at, &server, CheckResult::Refused);
    let outcome = servers.apply(at + CHECK_INTERVAL, &server, CheckResult::Refused);
    assert_eq!(outcome, CheckOutcome::Ended(vec![broken(later, "later")]));
}
