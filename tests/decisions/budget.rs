//! Retry budgets of single instances and the bound that many instances share.

use ebonyspread::budget::RetryBudget;
use ebonyspread::budget::RetryBudgetSettings;

const INSTANCES: usize = 85;
const REQUESTS_PER_WINDOW: i64 = 65;

/// Guaranteed bound: retries in a window are at most a fifth of its requests.
const RETRY_FRACTION_MAX: f64 = 0.2;

/// Settings of an instance that receives `requests` in a window.
fn settings(requests: f64) -> RetryBudgetSettings {
    RetryBudgetSettings::for_window(RETRY_FRACTION_MAX * 0.7, requests * 0.5)
}

// Calls arrive rarely, and a server breaks one of them.
#[test]
fn instance_with_few_requests_can_save_up_for_a_retry() {
    let mut budget = RetryBudget::default();
    for _ in 0..20 {
        budget.configure(settings(1.0));
        budget.deposit(&"quayside".into(), &"models".into());
    }
    assert!(budget.withdraw(&"quayside".into(), &"models".into()));
}

// Each instance saves up over six windows without failures; then all servers stop answering.
#[test]
fn retries_stay_within_the_bound_when_all_calls_fail_after_quiet_windows() {
    let mut retries = 0;
    for _ in 0..INSTANCES {
        let mut budget = RetryBudget::default();
        budget.configure(settings(REQUESTS_PER_WINDOW as f64));
        for _ in 0..6 * REQUESTS_PER_WINDOW {
            budget.deposit(&"quayside".into(), &"models".into());
        }
        for _ in 0..REQUESTS_PER_WINDOW {
            while budget.withdraw(&"quayside".into(), &"models".into()) {
                retries += 1;
            }
            budget.deposit(&"quayside".into(), &"models".into());
        }
    }
    let requests = INSTANCES as f64 * REQUESTS_PER_WINDOW as f64;
    // The bound allows for the savings of one window and the deposits of the window itself.
    assert!(
        f64::from(retries) <= requests * RETRY_FRACTION_MAX * 1.5,
        "{retries}"
    );
    assert!(retries > 0);
}
