//! Fair shares of accounts, the guard against starvation, and the return of rejected calls.

use std::time::Duration;

use ebonyspread::overload_ageing::AgeingQuery;
use ebonyspread::overload_ageing::OverloadAgeing;
use ebonyspread::overload_returns::OverloadReturns;
use ebonyspread::overload_returns::ReturnQuery;
use ebonyspread::overload_shares::WeightedDemand;
use ebonyspread::overload_shares::fair_level;

const NOW: Duration = Duration::from_secs(100);

#[yare::parameterized(
    enough = { 100.0, None },
    unused_share_goes_to_the_others = { 70.0, Some(25.0) },
    all_above = { 30.0, Some(7.5) },
)]
fn capacity_is_shared_by_weight(capacity: f64, expected: Option<f64>) {
    let demands = [(10.0, 1.0), (10.0, 1.0), (80.0, 2.0)];
    let demands = demands.map(|(tokens_per_s, weight)| WeightedDemand {
        tokens_per_s,
        weight,
    });
    assert_eq!(fair_level(&demands, capacity), expected);
}

// An instance may get only one call of an account in some seconds.
#[test]
fn account_that_sends_few_calls_is_not_rejected_all_the_time() {
    let mut ageing = OverloadAgeing::default();
    let (rare, others) = ("rare".into(), "others".into());
    let (route, service) = ("long".into(), "models".into());
    let query = |account| AgeingQuery {
        account,
        prompt_tokens: 9_190,
        route: &route,
        service: &service,
    };
    let mut served = 0;
    for second in 0..60 {
        let now = NOW + Duration::from_secs(second);
        for _ in 0..6 {
            ageing.record(now, &query(&others), false, true);
        }
        if second % 3 == 0 {
            let is_owed = ageing.is_owed(&query(&rare));
            ageing.record(now, &query(&rare), false, is_owed);
            served += u32::from(is_owed);
        }
    }
    assert!((5..=8).contains(&served), "{served} of 20");
}

#[test]
fn rejected_calls_come_back_one_after_the_other() {
    let service = "models".into();
    let query = ReturnQuery {
        own_prefill: Duration::from_millis(200),
        service: &service,
        target: Duration::from_millis(1_500),
        time_left: Duration::from_millis(6_000),
        tokens: 9_190.0,
        wait: Duration::from_millis(900),
    };
    let mut returns = OverloadReturns::default();
    // The call uses this instance's share for 100 ms.
    returns.set_share(&service, 91_900.0);
    let limit = Duration::from_millis(450);
    let after = [(); 8].map(|()| returns.retry_after(NOW, &query, limit).as_millis());
    assert_eq!(after, [450, 550, 650, 750, 850, 950, 1_050, 1_050]);
}
