//! Retry budgets of single instances and the bound that many instances share.

use ebonyspread::budget::RetryBudget;
use ebonyspread::budget::RetryBudgetSettings;
use ebonyspread::retry_denied::RetryDenied;

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
    assert!(
        budget
            .withdraw(&"quayside".into(), &"models".into())
            .is_ok()
    );
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
            while budget
                .withdraw(&"quayside".into(), &"models".into())
                .is_ok()
            {
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

// An interrupted stream could not be explained, because a denied retry did not tell which balance
// was exhausted.
#[test]
fn denied_retry_names_the_exhausted_balance() {
    let mut budget = RetryBudget::default();
    let denied = budget.withdraw(&"quayside".into(), &"models".into());
    let (balance, cost) = (0, 10);
    assert_eq!(denied, Err(RetryDenied::Instance { balance, cost }));

    // Calls of other accounts to other services earn budget for the instance.
    for _ in 0..100 {
        budget.deposit(&"lighthouse".into(), &"desk".into());
    }
    let (account, service) = ("quayside".into(), "models".into());
    assert_eq!(budget.withdraw(&account, &service), Ok(()));
    let balance = -10;
    let denied = budget.withdraw(&account, &service);
    assert_eq!(denied, Err(RetryDenied::Account { balance, cost }));
    let denied = budget.withdraw(&"lighthouse".into(), &service);
    assert_eq!(denied, Err(RetryDenied::Service { balance, cost }));
}

#[test]
fn denied_retry_takes_nothing_from_the_balances() {
    let mut budget = RetryBudget::default();
    for _ in 0..9 {
        budget.deposit(&"quayside".into(), &"models".into());
    }
    let denied = RetryDenied::Instance {
        balance: 9,
        cost: 10,
    };
    for _ in 0..3 {
        let withdrawn = budget.withdraw(&"quayside".into(), &"models".into());
        assert_eq!(withdrawn, Err(denied));
    }
    budget.deposit(&"quayside".into(), &"models".into());
    let withdrawn = budget.withdraw(&"quayside".into(), &"models".into());
    assert_eq!(withdrawn, Ok(()));
}
