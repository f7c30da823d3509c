//! The version of the policy in force never decreases, and keys are served only while the policy is
//! confirmed to be the newest.

use std::sync::Arc;
use std::time::Duration;

use ebonyspread::policy::Policy;
use ebonyspread::policy_state::PolicyState;

const AGE_MAX: Duration = Duration::from_secs(4);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn state(version: u64) -> PolicyState {
    let mut state = PolicyState::default();
    assert!(state.update(Arc::new(Policy::new(version))));
    state.settle();
    state
}

#[test]
fn older_or_equal_version_is_rejected() {
    let mut state = state(5);
    assert!(!state.update(Arc::new(Policy::new(4))));
    assert!(!state.update(Arc::new(Policy::new(5))));
    assert!(state.update(Arc::new(Policy::new(9))));
    assert_eq!(state.in_force().unwrap().version, 9);
}

#[test]
fn policy_without_a_confirmation_is_not_fresh() {
    let state = state(1);
    assert!(state.fresh(seconds(10), AGE_MAX).is_err());
}

#[test]
fn age_counts_from_the_start_of_the_read() {
    let mut state = state(1);
    state.confirm_newest(seconds(10));
    assert!(state.fresh(seconds(14), AGE_MAX).is_ok());
    assert!(
        state
            .fresh(seconds(14) + Duration::from_millis(1), AGE_MAX)
            .is_err()
    );
}

#[test]
fn late_answer_of_an_earlier_read_does_not_increase_the_age() {
    let mut state = state(1);
    state.confirm_newest(seconds(12));
    state.confirm_newest(seconds(10));
    assert_eq!(state.age(seconds(13)), Some(seconds(1)));
}

#[test]
fn peer_confirms_only_the_same_version() {
    let mut state = state(2);
    state.confirm_newest(seconds(1));
    assert!(!state.confirm_by_peer(3, seconds(9)));
    assert!(state.fresh(seconds(9), AGE_MAX).is_err());
    assert!(state.confirm_by_peer(2, seconds(8)));
    assert!(state.fresh(seconds(9), AGE_MAX).is_ok());
}

// A revocation may be among what the log lost.
#[test]
fn restored_log_confirms_nothing_until_it_holds_the_newest_version() {
    let mut state = state(5);
    state.confirm_newest(seconds(10));
    state.mark_restored();
    state.confirm_newest(seconds(11));
    assert!(!state.update(Arc::new(Policy::new(3))));
    state.confirm_newest(seconds(12));
    assert_eq!(state.age(seconds(12)), Some(seconds(2)));
    assert!(!state.update(Arc::new(Policy::new(5))));
    state.confirm_newest(seconds(13));
    assert_eq!(state.age(seconds(13)), Some(seconds(0)));
    assert_eq!(state.in_force().unwrap().version, 5);
}

// An instance that starts reads the copy, and a peer knows the version that was lost.
#[test]
fn policy_is_not_fresh_while_a_peer_has_a_newer_one() {
    let mut state = PolicyState::default();
    state.record_peer_version(5);
    assert!(state.update(Arc::new(Policy::new(3))));
    state.confirm_newest(seconds(10));
    state.settle();
    assert!(state.fresh(seconds(10), AGE_MAX).is_err());
    assert!(state.is_behind());
    assert!(state.adopt(Arc::new(Policy::new(5))));
    assert!(!state.is_behind());
    state.settle();
    state.confirm_newest(seconds(11));
    assert!(state.fresh(seconds(11), AGE_MAX).is_err());
    assert!(state.confirm_by_peer(5, seconds(9)));
    assert!(state.fresh(seconds(11), AGE_MAX).is_ok());
}

#[test]
fn policy_is_not_fresh_before_the_peers_have_had_time_to_tell_theirs() {
    let mut state = PolicyState::default();
    assert!(state.update(Arc::new(Policy::new(3))));
    state.confirm_newest(seconds(10));
    assert!(state.fresh(seconds(10), AGE_MAX).is_err());
    state.settle();
    assert!(state.fresh(seconds(10), AGE_MAX).is_ok());
    // An edit that a peer has read first does not stop calls.
    state.record_peer_version(4);
    assert!(state.fresh(seconds(11), AGE_MAX).is_ok());
}
