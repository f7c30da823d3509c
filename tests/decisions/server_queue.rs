//! Queues at engines (model servers) that many instances estimate.

use std::time::Duration;

use ebonyspread::fleet::Fleet;
use ebonyspread::fleet::PlacedAttempt;
use ebonyspread::fleet::PlacementQuery;
use ebonyspread::fleet::ServerLoad;
use ebonyspread::overload_priorities::ServicePriorities;
use ebonyspread::peer_digest::PeerDigest;
use ebonyspread::policy::CallKind;
use ebonyspread::policy::Policy;
use ebonyspread::policy::PolicyRoute;
use ebonyspread::prompt::Prompt;
use ebonyspread::prompt::PromptPart;
use ebonyspread::rollout_versions::VersionRule;
use ebonyspread::server_queue::QueueClass;
use ebonyspread::server_queue::QueuedTokens;
use ebonyspread::server_speed::SpeedSums;

use crate::engine_replay::Deployment;
use crate::engine_replay::Kind;
use crate::engine_replay::NOW;
use crate::engine_replay::Replay;
use crate::engine_replay::record;
use crate::engine_replay::server_name;

const LONG: Kind = Kind {
    own: 2_890,
    per_s: 163.0,
    priority: 2,
    shared: 6_300,
    topics: 0,
};

const MIDDLE: Kind = Kind {
    own: 1_800,
    per_s: 197.0,
    priority: 1,
    shared: 568,
    topics: 0,
};

const SHORT: Kind = Kind {
    own: 543,
    per_s: 97.6,
    priority: 0,
    shared: 172,
    topics: 0,
};

fn thumbnails(uses_queues: bool) -> Deployment {
    Deployment {
        instances: 69,
        speeds: vec![1.0; 90],
        tokens_per_ms: 42.6,
        uses_queues,
        uses_speeds: false,
    }
}

/// Fewest and most tokens that instances estimate for each token that is queued, in steps of a burst
/// from its first 1.5 s on, and the tokens by which each instance decays its own prompts.
fn estimates_in_a_burst(uses_queues: bool) -> (f64, f64, f64) {
    let burst = Kind {
        per_s: LONG.per_s * 2.6,
        ..LONG
    };
    let mut replay = Replay::new(thumbnails(uses_queues), 1);
    replay.run(&[LONG, MIDDLE, SHORT], 2_000);
    replay.run(&[burst, MIDDLE, SHORT], 1_000);
    let (mut lowest, mut highest, mut decayed) = (f64::MAX, 0.0_f64, 0.0_f64);
    for _ in 0..12 {
        replay.run(&[burst, MIDDLE, SHORT], 500);
        let (now, queued) = (replay.now(), replay.queued());
        for instance in (0..69).step_by(8) {
            let ratio = replay.estimated(instance, 2) / queued;
            lowest = lowest.min(ratio);
            highest = highest.max(ratio);
        }
        let servers = replay.fleets.iter().flat_map(Fleet::servers);
        let backlog: Duration = servers.map(|server| server.own_load(now).backlog).sum();
        decayed = decayed.max(backlog.as_secs_f64() * 1_000.0 * 42.6 / queued);
    }
    (lowest, highest, decayed)
}

// In a burst of long calls every instance sees only a few prompts of its own at each engine. Parts
// that decayed at each instance on its own summed to a small part of the queues, so that calls were
// accepted that waited until their deadline.
#[test]
fn estimated_queues_follow_the_true_ones_in_a_burst() {
    let (lowest, highest, _) = estimates_in_a_burst(true);
    assert!(lowest > 0.7 && highest < 1.3, "{lowest} {highest}");
    let (.., decayed) = estimates_in_a_burst(false);
    assert!(decayed < 0.4, "{decayed}");
}

// At a utilization of 0.3, calls that moved to other servers because of old reports would prefill
// the shared parts again.
#[test]
fn calls_stay_at_the_servers_that_have_their_shared_parts_at_calm_load() {
    let kinds = [LONG, MIDDLE, SHORT].map(|kind| Kind {
        topics: 400,
        per_s: kind.per_s * 1.3,
        ..kind
    });
    let mut results = Vec::new();
    for uses_queues in [false, true] {
        let mut replay = Replay::new(thumbnails(uses_queues), 2);
        replay.run(&kinds, 3_000);
        (replay.placed_at_preferred, replay.sent, replay.waited_ms) = (0, 0, 0);
        replay.run(&kinds, 4_000);
        let of_sent = |count: u64| count as f64 / replay.sent as f64;
        results.push((
            of_sent(replay.placed_at_preferred),
            of_sent(replay.waited_ms),
        ));
    }
    let (before, after) = (results[0], results[1]);
    assert!(after.0 >= before.0, "{results:?}");
    assert!(after.1 <= before.1, "{results:?}");
}

/// Places a call with `tokens` tokens of its own.
fn place(fleet: &mut Fleet, priority: u32, tokens: u32) -> PlacedAttempt {
    let hash = u64::from(priority) << 32 | u64::from(tokens);
    let part = PromptPart { hash, tokens };
    let prompt = Prompt {
        output_tokens_max: 50,
        parts: [part].into_iter().collect(),
        tokens,
    };
    let query = PlacementQuery {
        prompt: Some(&prompt),
        queue_class: Some(QueueClass::from(priority)),
        service: &"models".into(),
        suspect: false,
        tried: &[],
        versions: &VersionRule::Any,
    };
    fleet.place(NOW, query).unwrap()
}

// Engines sort by priority, so that less urgent prompts do not delay a call.
#[test]
fn urgent_calls_see_only_queues_of_their_class() {
    let mut fleet = Fleet::new("dc-0".into());
    fleet.report(Duration::ZERO, record(0));
    for (priority, tokens) in [(7, 4_000), (2, 4_000), (1, 2_000), (0, 1_000)] {
        place(&mut fleet, priority, tokens);
    }
    let server = server_name(0);
    let mut delay = |priority: u32| fleet.queueing_delay(NOW, &server, priority.into());
    let delays = [0, 1, 2, 7].map(|priority| delay(priority).unwrap().as_secs_f64());
    // Tokens at the default rate of 30 tokens a millisecond.
    let expected = [1_000.0, 3_000.0, 11_000.0, 11_000.0].map(|tokens| tokens / 30_000.0);
    for (delay, expected) in delays.into_iter().zip(expected) {
        assert!((delay - expected).abs() < 0.001, "{delays:?}");
    }
}

// A prompt that was counted for longer than it waits would keep calls away, and one that was removed
// twice would hide others.
#[test]
fn prompts_leave_the_queue_once() {
    let mut fleet = Fleet::new("dc-0".into());
    fleet.report(Duration::ZERO, record(0));
    let first = place(&mut fleet, 1, 3_000);
    place(&mut fleet, 1, 5_000);
    let queued = |fleet: &Fleet| fleet.servers().next().unwrap().own_load(NOW).queued_tokens;
    assert_eq!(queued(&fleet), [0, 0, 0, 0, 8_000, 0]);
    fleet.leave_queue(&first);
    fleet.leave_queue(&first);
    assert_eq!(queued(&fleet), [0, 0, 0, 0, 5_000, 0]);
    let mut restarted = record(0);
    restarted.created_ms = 2;
    fleet.report(NOW, restarted);
    let third = place(&mut fleet, 1, 2_000);
    fleet.leave_queue(&first);
    assert_eq!(queued(&fleet), [0, 0, 0, 0, 2_000, 0]);
    fleet.leave_queue(&third);
    assert_eq!(queued(&fleet), [0; 6]);
}

// Peers that misread the counts would see queues at the wrong class, or none.
#[yare::parameterized(
    none = { [0; 6] },
    only_urgent = { [700, 0, 0, 0, 0, 0] },
    only_least_urgent = { [0, 0, 0, 0, 0, 9_190] },
    all = { [1, u32::MAX, 3, 0, 5, 6] },
)]
fn digests_carry_queues_by_class(queued_tokens: QueuedTokens) {
    let load = ServerLoad {
        queued_tokens,
        running: 1,
        speed: SpeedSums {
            answers: 1.5,
            expected_ms: 200.0,
            measured_ms: 500.0,
        },
        ..ServerLoad::default()
    };
    let digest = PeerDigest {
        loads: [(server_name(0), load)].into_iter().collect(),
        ..PeerDigest::default()
    };
    let decoded = PeerDigest::decode(&digest.encode()).unwrap();
    assert_eq!(decoded.loads, digest.loads);
}

// Services whose routes have one priority are to be served as before, whatever other services have.
#[test]
fn only_services_with_routes_of_different_priorities_have_queues() {
    let mut policy = Policy::new(1);
    let routes = [("a", 0), ("a", 2), ("b", 1), ("b", 1), ("c", 0)];
    for (index, (service, priority)) in routes.into_iter().enumerate() {
        policy.add_route(PolicyRoute {
            anonymous: false,
            attempts_max: 2,
            call_kind: CallKind::Idempotent,
            gap_target: Duration::ZERO,
            host: "host".into(),
            name: format!("route-{index}").into(),
            path_prefix: format!("/{index}/").into(),
            priority,
            services: [(service.into(), 1)].into_iter().collect(),
            target_latency: Duration::from_millis(500),
            timeout: Duration::from_secs(5),
        });
    }
    let have_queues = ["a", "b", "c", "d"].map(|service| {
        let priorities = policy.service_priorities(service);
        priorities.is_some_and(ServicePriorities::has_several)
    });
    assert_eq!(have_queues, [true, false, false, false]);
}
