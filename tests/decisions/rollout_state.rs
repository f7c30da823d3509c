//! What an instance knows of rollouts, and where it sends calls by it.

use std::collections::HashSet;
use std::time::Duration;

use ebonyspread::InstanceName;
use ebonyspread::ServerName;
use ebonyspread::ServiceName;
use ebonyspread::error::Error;
use ebonyspread::fleet::Fleet;
use ebonyspread::fleet::ServerRecord;
use ebonyspread::log_era::offset_in;
use ebonyspread::peer_digest::PeerDigest;
use ebonyspread::rollout_order::OrderRefusal;
use ebonyspread::rollout_order::RolloutOrder;
use ebonyspread::rollout_plan::NumberedStep;
use ebonyspread::rollout_plan::RolloutStep;
use ebonyspread::rollout_record::OrderRecord;
use ebonyspread::rollout_record::RefusedOrder;
use ebonyspread::rollout_record::RolloutRecord;
use ebonyspread::rollout_report::FORWARDED_COUNTS_MAX;
use ebonyspread::rollout_report::RolloutKnowledge;
use ebonyspread::rollout_report::RolloutReport;
use ebonyspread::rollout_settings::RolloutSettings;
use ebonyspread::rollout_state::RolloutState;
use ebonyspread::rollout_tally::AnswerSample;
use ebonyspread::rollout_tally::CountsByRoute;
use ebonyspread::rollout_tally::TallyReport;
use ebonyspread::rollout_versions::VersionRule;

/// Time at which the known records were proven to be the newest.
const PROVEN_AT: Duration = Duration::from_secs(100);

/// Unix time of the order; the version is observed for 6 s.
const STARTED: Duration = Duration::from_secs(1_000_000);

const DURATION: Duration = Duration::from_secs(10);

fn desk() -> ServiceName {
    "desk".into()
}

fn server(index: u16, version: &str) -> ServerRecord {
    ServerRecord {
        address: ([127, 0, 0, 1], 9_000 + index).into(),
        created_ms: 1,
        data_centre: "dc-a".into(),
        id: format!("server-{index}").into(),
        leaving: false,
        service: desk(),
        slots: 8,
        spot: false,
        version: version.into(),
    }
}

/// Servers 0 to 9 have version `v1`, servers 10 to 19 `v2`.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new("dc-a".into());
    for index in 0..20 {
        let version = ["v1", "v2"][usize::from(index / 10)];
        fleet.report(Duration::ZERO, server(index, version));
    }
    fleet
}

fn numbered(number: u64, order: u64, step: RolloutStep) -> NumberedStep {
    NumberedStep {
        number,
        order,
        reason: "".into(),
        step,
    }
}

fn order(target: &str) -> RolloutOrder {
    RolloutOrder {
        duration: DURATION,
        service: desk(),
        target: target.into(),
    }
}

fn order_record(offset: u64, target: &str) -> OrderRecord {
    OrderRecord {
        offset,
        order: Ok(order(target)),
        service: desk(),
        target: target.into(),
    }
}

fn record(step: RolloutStep) -> RolloutRecord {
    let first = numbered(1, 1, RolloutStep::Observing);
    let record = RolloutRecord::empty().begin(&order("v2"), STARTED, first);
    match step {
        RolloutStep::Observing => record,
        _ => record.with_step(numbered(2, 1, step)),
    }
}

fn state() -> RolloutState {
    let settings = RolloutSettings {
        exposure_share: 1.0,
        exposure_slack: 50,
        rollback_time: Duration::from_secs(5),
    };
    let mut state = RolloutState::new(settings, "entry-1".into(), 1);
    state.confirm_newest(PROVEN_AT);
    state
}

fn state_in(step: RolloutStep) -> RolloutState {
    let mut state = state();
    assert!(state.apply(PROVEN_AT, &desk(), record(step)));
    state
}

/// Versions that 40 calls reach, when `age` has passed since the records were proven to be the
/// newest; an error counts as `none`.
fn versions_reached(state: &mut RolloutState, age: Duration, unix: Duration) -> Vec<&'static str> {
    let fleet = fleet();
    let mut reached = HashSet::new();
    for _ in 0..40 {
        let now = PROVEN_AT + age;
        let chosen = state.choose_side(now, unix, &fleet, &desk(), "status", true);
        let rule = match chosen {
            Ok(chosen) => chosen.versions,
            Err(Error::RolloutStale { .. }) => {
                reached.insert("none");
                continue;
            }
            Err(error) => panic!("{error}"),
        };
        for server in fleet.ready_servers(&desk(), &rule) {
            reached.insert(["v1", "v2"][usize::from(server.version == "v2")]);
        }
    }
    let mut reached: Vec<&str> = reached.into_iter().collect();
    reached.sort_unstable();
    reached
}

const CURRENT_S: u64 = 1;
const STALE_S: u64 = 3;

#[yare::parameterized(
    observing = { RolloutStep::Observing, CURRENT_S, 3, &["v1", "v2"] },
    observing_stale = { RolloutStep::Observing, STALE_S, 3, &["v1"] },
    observing_stale_when_old_servers_may_be_drained = { RolloutStep::Observing, STALE_S, 7, &["none"] },
    draining = { RolloutStep::Draining, CURRENT_S, 7, &["v2"] },
    draining_stale = { RolloutStep::Draining, STALE_S, 7, &["none"] },
    completed = { RolloutStep::Completed, CURRENT_S, 9, &["v2"] },
    completed_stale = { RolloutStep::Completed, STALE_S, 9, &["v2"] },
    rolled_back = { RolloutStep::RolledBack, CURRENT_S, 9, &["v1"] },
    rolled_back_stale = { RolloutStep::RolledBack, STALE_S, 9, &["v1"] },
)]
fn instance_that_is_cut_off_uses_no_side_that_may_be_over(
    step: RolloutStep,
    age_s: u64,
    since_order_s: u64,
    expected: &[&str],
) {
    let unix = STARTED + Duration::from_secs(since_order_s);
    let age = Duration::from_secs(age_s);
    assert_eq!(versions_reached(&mut state_in(step), age, unix), expected);
}

#[test]
fn process_that_has_read_no_record_sends_no_calls() {
    let settings = RolloutSettings {
        exposure_share: 0.1,
        exposure_slack: 50,
        rollback_time: Duration::from_secs(5),
    };
    let mut state = RolloutState::new(settings, "entry-1".into(), 1);
    assert_eq!(
        versions_reached(&mut state, Duration::ZERO, STARTED),
        ["none"]
    );
}

#[yare::parameterized(
    new_version = { "v2", &["v1"] },
    version_of_no_server = { "v3", &["v1", "v2"] },
)]
fn ordered_version_gets_no_calls_before_the_first_step(target: &str, expected: &[&str]) {
    let mut state = state();
    assert!(state.add_order(PROVEN_AT, order_record(1, target)));
    assert_eq!(
        versions_reached(&mut state, Duration::ZERO, STARTED),
        expected
    );
    let stale = Duration::from_secs(7);
    assert_eq!(
        versions_reached(&mut state, stale, STARTED + stale),
        ["none"]
    );
}

/// What a peer tells of a record that was proven to be the newest half a second before.
fn told(number: u64) -> RolloutKnowledge {
    RolloutKnowledge {
        age: Some(Duration::from_millis(500)),
        number,
        service: desk(),
    }
}

// The peer may have built its digest at any time after it received the echoed one.
#[yare::parameterized(
    same_record = { told(1), Some(Duration::from_secs(2)), &["v1", "v2"] },
    same_record_long_ago = { told(1), Some(Duration::from_secs(1)), &["v1"] },
    nothing_echoed = { told(1), None, &["v1"] },
    older_record = { told(0), Some(Duration::from_secs(2)), &["v1"] },
    newer_record = { told(2), Some(Duration::from_secs(2)), &["v1"] },
)]
fn only_a_peer_with_the_same_record_and_a_recent_echo_proves_it_to_be_the_newest(
    told: RolloutKnowledge,
    echoed_after: Option<Duration>,
    expected: &[&str],
) {
    let mut state = state_in(RolloutStep::Observing);
    let echoed = echoed_after.map(|after| PROVEN_AT + after);
    state.record_knowledge(([127, 0, 0, 1], 9_000).into(), echoed, vec![told]);
    let age = Duration::from_secs(STALE_S);
    assert_eq!(versions_reached(&mut state, age, STARTED), expected);
}

#[yare::parameterized(
    before_any_rollout = { None },
    after_a_rollout = { Some(RolloutStep::Completed) },
)]
fn instance_that_cannot_read_a_record_which_its_peers_have_sends_no_calls(
    step: Option<RolloutStep>,
) {
    let mut state = step.map_or_else(state, state_in);
    state.record_knowledge(([127, 0, 0, 1], 9_000).into(), None, vec![told(3)]);
    let unix = STARTED + DURATION;
    let before = versions_reached(&mut state, Duration::from_secs(CURRENT_S), unix);
    assert_ne!(before, ["none"]);
    let stale = versions_reached(&mut state, Duration::from_secs(STALE_S), unix);
    assert_eq!(stale, ["none"]);
}

#[test]
fn retried_calls_do_not_reach_a_version_that_is_observed() {
    let mut state = state_in(RolloutStep::Observing);
    let (fleet, service) = (fleet(), desk());
    for _ in 0..40 {
        let chosen = state.choose_side(PROVEN_AT, STARTED, &fleet, &service, "status", false);
        let rule = chosen.unwrap().versions;
        let mut servers = fleet.ready_servers(&service, &rule);
        assert!(servers.all(|server| server.version == "v1"));
    }
}

#[test]
fn version_with_a_bad_verdict_gets_no_calls_before_the_holder_has_written_it() {
    let mut state = state_in(RolloutStep::Observing);
    for number in 0..400 {
        let server = ServerName::from(format!("server-{}", number % 20));
        let version = ["v1", "v2"][usize::from(number % 20 >= 10)];
        let attempt = state.begin_attempt(&desk(), version.into());
        let sample = match version {
            "v2" => AnswerSample::Failed,
            _ => AnswerSample::Answered {
                expected: Duration::from_millis(10),
                first_byte: Duration::from_millis(10),
            },
        };
        state.end_attempt(&attempt, "status", &server, Some(sample));
    }
    assert_eq!(state.judge(PROVEN_AT).len(), 1);
    assert_eq!(
        versions_reached(&mut state, Duration::ZERO, STARTED),
        ["v1"]
    );
}

#[test]
fn record_of_a_restored_log_does_not_bring_back_an_earlier_step() {
    let mut state = state_in(RolloutStep::RolledBack);
    assert!(!state.apply(PROVEN_AT, &desk(), record(RolloutStep::Observing)));
    assert_eq!(
        versions_reached(&mut state, Duration::ZERO, STARTED),
        ["v1"]
    );
}

#[yare::parameterized(
    same_offset = { order_record(1, "v2"), true },
    later_offset = { order_record(2, "v2"), false },
    same_content_after_a_restore = { order_record(offset_in(1, 0), "v2"), true },
    other_version_after_a_restore = { order_record(offset_in(1, 0), "v3"), false },
)]
fn order_that_was_handled_is_not_carried_out_again(order: OrderRecord, is_handled: bool) {
    let mut state = state_in(RolloutStep::RolledBack);
    assert_eq!(state.add_order(PROVEN_AT, order), !is_handled);
}

#[test]
fn version_that_was_rolled_back_is_not_an_old_one_for_the_next_order() {
    let rolled_back = record(RolloutStep::RolledBack);
    let next = rolled_back.begin(
        &order("v3"),
        STARTED,
        numbered(3, 2, RolloutStep::Observing),
    );
    assert!(!next.old_side().allows(&server(10, "v2")));
    assert!(next.old_side().allows(&server(0, "v1")));
    // It may be ordered again.
    let again = rolled_back.begin(
        &order("v2"),
        STARTED,
        numbered(3, 2, RolloutStep::Observing),
    );
    assert!(again.barred.is_empty());
    let completed = record(RolloutStep::Completed);
    let next = completed.begin(
        &order("v3"),
        STARTED,
        numbered(3, 2, RolloutStep::Observing),
    );
    assert_eq!(next.old_side(), VersionRule::Only("v2".into()));
}

#[yare::parameterized(
    only_version = { "v1", &["v1"], true },
    version_beside_the_one_in_force = { "v2", &["v1", "v2"], false },
)]
fn refused_order_does_not_stop_the_calls_of_the_version_in_force(
    target: &str,
    versions: &[&str],
    is_allowed: bool,
) {
    let refusal = OrderRefusal::TargetInForce {
        service: desk(),
        target: target.into(),
    };
    let refused = RefusedOrder {
        reason: refusal.to_string().into(),
        target: target.into(),
    };
    let versions: Vec<_> = versions.iter().map(|version| (*version).into()).collect();
    let order = order_record(1, target);
    let record = RolloutRecord::empty().with_handled(&order, Some(refused), &versions);
    assert_eq!(record.final_rule().allows(&server(0, target)), is_allowed);
    let read = RolloutRecord::decode(record.encode()).unwrap();
    assert_eq!(read, record);
}

#[test]
fn calls_at_old_servers_are_reported_until_they_end() {
    let mut state = state_in(RolloutStep::Draining);
    let attempt = state.begin_attempt(&desk(), "v1".into());
    let _new = state.begin_attempt(&desk(), "v2".into());
    let running = |state: &RolloutState| {
        let reports = state.reports_to_send(PROVEN_AT, 0, &HashSet::new());
        let reports: Vec<_> = reports.iter().map(|report| report.old_running).collect();
        reports
    };
    assert_eq!(running(&state), [1]);
    state.end_attempt(&attempt, "status", "server-0", None);
    assert_eq!(running(&state), [0]);
}

#[test]
fn collectors_forward_all_reports_and_the_counts_of_each_instance_in_turn() {
    let mut state = state_in(RolloutStep::Observing);
    let instances: HashSet<InstanceName> = (0..137).map(|i| format!("entry-{i}x").into()).collect();
    for instance in &instances {
        let report = RolloutReport {
            at: PROVEN_AT,
            old_running: 2,
            service: desk(),
            step_number: 1,
            tally: TallyReport {
                instance: instance.clone(),
                life: 1,
                order: 1,
                routes: CountsByRoute::from([("status".into(), Default::default())]),
            },
        };
        state.merge_reports(vec![report], true);
    }
    let mut counted = HashSet::new();
    for round in 0..18 {
        let digest = PeerDigest {
            rollout_reports: state.reports_to_send(PROVEN_AT, round, &instances),
            sent: PROVEN_AT,
            ..PeerDigest::default()
        };
        let datagram = digest.encode();
        assert!(datagram.len() < 16 << 10, "{}", datagram.len());
        let read = PeerDigest::decode(&datagram).unwrap();
        assert_eq!(read.rollout_reports, digest.rollout_reports);
        assert_eq!(read.rollout_reports.len(), 138);
        let with_counts = read.rollout_reports.into_iter().skip(1);
        let with_counts: Vec<_> = with_counts
            .filter(|report| !report.tally.routes.is_empty())
            .collect();
        assert_eq!(with_counts.len(), FORWARDED_COUNTS_MAX);
        counted.extend(with_counts.into_iter().map(|report| report.tally.instance));
    }
    assert_eq!(counted.len(), 137);
}
