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
