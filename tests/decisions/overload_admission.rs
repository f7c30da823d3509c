//! Admission of calls while a service lacks capacity.

use std::time::Duration;

use ebonyspread::fleet::Fleet;
use ebonyspread::fleet::PlacementQuery;
use ebonyspread::fleet::ServerLoad;
use ebonyspread::fleet::ServerRecord;
use ebonyspread::overload_admission::AdmissionOutcome;
use ebonyspread::overload_admission::AdmissionQuery;
use ebonyspread::overload_admission::OverloadAdmission;
use ebonyspread::overload_priorities::ServicePriorities;
use ebonyspread::policy::AccountPolicy;
use ebonyspread::policy::CallKind;
use ebonyspread::policy::Policy;
use ebonyspread::policy::PolicyRoute;
use ebonyspread::prompt::Prompt;
use ebonyspread::rollout_versions::VersionRule;
use smallvec::smallvec;
use smol_str::SmolStr;

const NOW: Duration = Duration::from_secs(100);

static SERVICE: SmolStr = SmolStr::new_static("models");

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A new call of the thumbnails customer's long route, whose expected wait is `wait_ms`.
fn long_call(route: &SmolStr, wait_ms: u64) -> AdmissionQuery<'_> {
    AdmissionQuery {
        above_share: false,
        aged: false,
        answer_time: Some(ms(20)),
        is_most_urgent: false,
        priority: 2,
        route,
        service: &SERVICE,
        target: ms(1_500),
        time_given: ms(6_000),
        time_left: ms(6_000),
        urgent_target: ms(600),
        wait: ms(wait_ms),
    }
}

fn outcome(query: &AdmissionQuery<'_>, idle_wait: Option<Duration>) -> AdmissionOutcome {
    let mut admission = OverloadAdmission::default();
    let route = query.route.clone();
    // An earlier new call, by which a call that comes back is recognized.
    admission.decide(NOW, &long_call(&route, 0), || None);
    admission.decide(NOW, query, || idle_wait).outcome
}

#[yare::parameterized(
    short_wait = { 1_100, false, 6_000, AdmissionOutcome::Served },
    long_wait = { 1_200, false, 6_000, AdmissionOutcome::RejectedWait },
    returned = { 1_200, false, 4_000, AdmissionOutcome::Served },
    returned_at_a_longer_wait = { 1_600, false, 4_000, AdmissionOutcome::RejectedWait },
    above_share = { 600, true, 6_000, AdmissionOutcome::RejectedWait },
    above_share_at_a_short_wait = { 500, true, 6_000, AdmissionOutcome::Served },
    no_time_left = { 400, false, 410, AdmissionOutcome::RejectedTimeLeft },
)]
fn call_is_not_sent_to_wait_beyond_its_target_or_deadline(
    wait_ms: u64,
    above_share: bool,
    time_left_ms: u64,
    expected: AdmissionOutcome,
) {
    let route = "long".into();
    let query = AdmissionQuery {
        above_share,
        time_given: ms(time_left_ms),
        time_left: ms(time_left_ms),
        ..long_call(&route, wait_ms)
    };
    assert_eq!(outcome(&query, None), expected);
}

#[yare::parameterized(
    most_urgent = { true, false, 1_500 },
    aged = { false, true, 1_500 },
    without_a_target = { false, false, 0 },
)]
fn only_the_deadline_limits_the_most_urgent_and_the_starved_calls(
    is_most_urgent: bool,
    aged: bool,
    target_ms: u64,
) {
    let route = "long".into();
    let query = AdmissionQuery {
        aged,
        is_most_urgent,
        target: ms(target_ms),
        ..long_call(&route, 5_900)
    };
    assert_eq!(outcome(&query, None), AdmissionOutcome::Served);
    let query = AdmissionQuery {
        wait: ms(5_990),
        ..query
    };
    assert_eq!(outcome(&query, None), AdmissionOutcome::RejectedTimeLeft);
}

#[test]
fn call_is_not_rejected_while_an_idle_server_could_run_it_in_time() {
    let route = "long".into();
    let query = long_call(&route, 1_400);
    assert_eq!(outcome(&query, Some(ms(1_450))), AdmissionOutcome::Served);
    let late = AdmissionQuery {
        time_left: ms(1_300),
        ..query
    };
    let at_idle = outcome(&late, Some(ms(1_450)));
    assert_eq!(at_idle, AdmissionOutcome::RejectedTimeLeft);
}

// The rate that is assumed before the first answers may be several times too low.
#[test]
fn large_prompt_is_not_rejected_at_an_idle_server_of_unknown_speed() {
    let route = "long".into();
    let query = AdmissionQuery {
        answer_time: None,
        ..long_call(&route, 7_000)
    };
    assert_eq!(outcome(&query, Some(ms(7_000))), AdmissionOutcome::Served);
}

#[test]
fn calls_count_as_new_again_once_a_route_has_shorter_deadlines() {
    let route = SmolStr::from("long");
    let mut admission = OverloadAdmission::default();
    admission.decide(NOW, &long_call(&route, 0), || None);
    let shorter = AdmissionQuery {
        time_given: ms(3_000),
        ..long_call(&route, 0)
    };
    let mut returned_at = |at| admission.decide(at, &shorter, || None).returned;
    assert!(returned_at(NOW + ms(9_000)));
    assert!(!returned_at(NOW + ms(10_000)));
}

fn route(name: &str, service: &str, priority: u32, target_ms: u64) -> PolicyRoute {
    PolicyRoute {
        anonymous: false,
        attempts_max: 2,
        call_kind: CallKind::Idempotent,
        gap_target: ms(500),
        host: "desk.example".into(),
        name: name.into(),
        path_prefix: format!("/{name}/").into(),
        priority,
        services: smallvec![(service.into(), 1)],
        target_latency: ms(target_ms),
        timeout: ms(6_000),
    }
}

fn account(name: &str, priority: Option<u32>) -> AccountPolicy {
    AccountPolicy {
        keys: smallvec![name.into()],
        limit: None,
        name: name.into(),
        priority,
    }
}

fn priorities(accounts: &[Option<u32>]) -> ServicePriorities {
    let mut policy = Policy::new(1);
    policy.add_route(route("long", "models", 2, 1_500));
    policy.add_route(route("middle", "models", 1, 600));
    policy.add_route(route("short", "models", 0, 500));
    policy.add_route(route("desk", "desk", 5, 100));
    for (index, priority) in accounts.iter().enumerate() {
        policy.add_account(account(&format!("account-{index}"), *priority));
    }
    policy.service_priorities("models").unwrap().clone()
}

#[yare::parameterized(
    of_routes = { &[None, None], true, 0 },
    of_all_accounts = { &[Some(3), Some(3)], false, 3 },
    of_an_account = { &[None, Some(4)], true, 0 },
    of_accounts = { &[Some(3), Some(1)], true, 1 },
    without_accounts = { &[], true, 0 },
)]
fn accounts_priorities_replace_those_of_routes(
    accounts: &[Option<u32>],
    has_several: bool,
    most_urgent: u32,
) {
    let priorities = priorities(accounts);
    assert_eq!(priorities.has_several(), has_several);
    assert!(priorities.is_most_urgent(most_urgent));
    assert!(!priorities.is_most_urgent(most_urgent + 1));
}

#[test]
fn less_urgent_calls_are_not_accepted_at_waits_at_which_more_urgent_ones_are_rejected() {
    let priorities = priorities(&[None]);
    let route = "any".into();
    let long = AdmissionQuery {
        urgent_target: priorities.limited_target(2, ms(1_500)),
        ..long_call(&route, 500)
    };
    let middle = AdmissionQuery {
        priority: 1,
        target: ms(600),
        urgent_target: priorities.limited_target(1, ms(600)),
        ..long.clone()
    };
    let mut admission = OverloadAdmission::default();
    let mut decide = |at, query| admission.decide(at, query, || None).outcome;
    assert_eq!(decide(NOW, &long), AdmissionOutcome::Served);
    assert_eq!(decide(NOW, &middle), AdmissionOutcome::RejectedWait);
    assert_eq!(
        decide(NOW + ms(3_900), &long),
        AdmissionOutcome::RejectedWait
    );
    assert_eq!(decide(NOW + ms(4_000), &long), AdmissionOutcome::Served);
}

fn fleet(servers: u16, slots: u32) -> Fleet {
    let mut fleet = Fleet::new("dc-a".into());
    for index in 0..servers {
        let record = ServerRecord {
            address: ([127, 0, 0, 1], 9_000 + index).into(),
            created_ms: 1,
            data_centre: "dc-a".into(),
            id: format!("server-{index}").into(),
            leaving: false,
            service: "models".into(),
            slots,
            spot: false,
            version: "".into(),
        };
        fleet.report(Duration::ZERO, record);
    }
    fleet
}

fn query(prompt: Option<&Prompt>) -> PlacementQuery<'_> {
    PlacementQuery {
        prompt,
        queue_class: None,
        service: &SERVICE,
        suspect: false,
        tried: &[],
        versions: &VersionRule::Any,
    }
}

#[test]
fn server_with_a_short_queue_counts_as_idle_whatever_the_size_of_the_call() {
    let mut fleet = fleet(2, 32);
    let prompt = Prompt {
        output_tokens_max: 50,
        parts: smallvec![],
        tokens: 30_000,
    };
    let idle = fleet.idle_wait(NOW, &query(Some(&prompt))).unwrap();
    assert!(idle >= ms(900), "{idle:?}");
    for _ in 0..2 {
        fleet.place(NOW, query(Some(&prompt))).unwrap();
    }
    assert_eq!(fleet.idle_wait(NOW, &query(Some(&prompt))), None);
}

#[test]
fn estimate_of_a_call_that_is_then_rejected_leaves_no_load() {
    let mut fleet = fleet(1, 6);
    let estimate = fleet.estimate(NOW, &query(None)).unwrap();
    assert_eq!(fleet.servers().next().unwrap().running(), 0);
    let placed = fleet.commit(NOW, &query(None), &estimate);
    assert_eq!(placed.server, estimate.server);
    assert_eq!(fleet.servers().next().unwrap().running(), 1);
}

#[yare::parameterized(
    few_calls = { 24, 1_000, AdmissionOutcome::Served },
    many_calls = { 30, 1_000, AdmissionOutcome::RejectedBusy },
    many_calls_with_time = { 30, 1_500, AdmissionOutcome::Served },
)]
fn plain_call_is_rejected_once_all_servers_are_busy_until_after_its_deadline(
    running: u32,
    time_left_ms: u64,
    expected: AdmissionOutcome,
) {
    let mut fleet = fleet(2, 6);
    let load = ServerLoad {
        running,
        ..ServerLoad::default()
    };
    let loads = ["server-0", "server-1"].map(|id| (id.into(), load));
    fleet.update_peer_loads(NOW, &"entry-2".into(), &loads.into_iter().collect());
    let calls_per_slot = fleet.fewest_calls_per_slot(NOW, &query(None));
    let service = "models".into();
    let mut admission = OverloadAdmission::default();
    let (_, unknown) = admission.decide_plain(&service, calls_per_slot, ms(time_left_ms));
    assert_eq!(unknown.outcome, AdmissionOutcome::Served);
    // 250 ms for each call of a slot.
    admission.record_plain_answer(&service, 2.0, ms(500));
    let (_, decided) = admission.decide_plain(&service, calls_per_slot, ms(time_left_ms));
    assert_eq!(decided.outcome, expected);
}
