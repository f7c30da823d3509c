//! Retries of many instances against the bound that they share.

use ebonyspread::budget::RetryBudget;
use ebonyspread::budget::RetryTerms;

const INSTANCES: usize = 85;
const REQUESTS_A_WINDOW: i64 = 65;

/// The promise: retries in a window are at most a fifth of its requests.
const RETRY_PART: f64 = 0.2;

/// Terms of an instance with so many requests in a window.
fn terms(requests: f64) -> RetryTerms {
    RetryTerms::over_window(RETRY_PART * 0.7, requests * 0.5)
}

// A call now and then, and a server that breaks one of them.
#[test]
fn instance_with_few_requests_can_save_up_for_a_retry() {
    let mut budget = RetryBudget::default();
    for _ in 0..20 {
        budget.set_terms(terms(1.0));
        budget.deposit(&"quayside".into(), &"models".into());
    }
    assert!(budget.withdraw(&"quayside".into(), &"models".into()));
}

// A calm minute, in which each instance saves up, and then servers that answer nothing.
#[test]
fn savings_of_earlier_windows_do_not_break_the_bound_when_all_fail() {
    let mut retries = 0;
    for _ in 0..INSTANCES {
        let mut budget = RetryBudget::default();
        budget.set_terms(terms(REQUESTS_A_WINDOW as f64));
        for _ in 0..6 * REQUESTS_A_WINDOW {
            budget.deposit(&"quayside".into(), &"models".into());
        }
        for _ in 0..REQUESTS_A_WINDOW {
            while budget.withdraw(&"quayside".into(), &"models".into()) {
                retries += 1;
            }
            budget.deposit(&"quayside".into(), &"models".into());
        }
    }
    let requests = INSTANCES as f64 * REQUESTS_A_WINDOW as f64;
    // Savings of one window, and what the window itself pays.
    assert!(
        f64::from(retries) <= requests * RETRY_PART * 1.5,
        "{retries}"
    );
    assert!(retries > 0);
}
