//! Engines (model servers) of uneven and changing speed.

use std::time::Duration;

use ebonyspread::server_speed::ServerSpeed;
use ebonyspread::server_speed::SpeedSums;

use crate::engine_replay::Deployment;
use crate::engine_replay::Kind;
use crate::engine_replay::NOW;
use crate::engine_replay::Replay;

const MILLI: Duration = Duration::from_millis(1);

/// Calls of the invitations customer.
fn kinds(topics: u64, factor: f64) -> [Kind; 3] {
    let kinds = [
        (335.0, 6_300, 2_890, 1),
        (267.0, 568, 1_800, 0),
        (152.0, 172, 543, 0),
    ];
    kinds.map(|(per_s, shared, own, priority)| Kind {
        own,
        per_s: per_s * factor,
        priority,
        shared,
        topics,
    })
}

/// Speeds of the engines of the invitations customer without the temporarily slow ones.
fn speed(engine: usize) -> f64 {
    [0.6, 1.0, 1.6][engine % 3]
}

fn invitations(uses_speeds: bool) -> Deployment {
    Deployment {
        instances: 76,
        speeds: (0..112).map(speed).collect(),
        tokens_per_ms: 69.8,
        uses_queues: true,
        uses_speeds,
    }
}

fn p99(waits: &mut [u64]) -> u64 {
    waits.sort_unstable();
    waits[waits.len() * 99 / 100]
}

/// Result of a replay in which 15 in 100 engines are slower for 3 s and then recover.
struct Slowdown {
    /// Largest load of an engine in the first second after its recovery, as a multiple of the mean.
    /// The load is the time that the engine needs for what it is sent.
    load_after: f64,
    /// 99th percentile of the times to the answers while they are slow, in milliseconds.
    p99_ms: u64,
}

fn replay_slowdown(topics: u64, uses_speeds: bool) -> Slowdown {
    let mut replay = Replay::new(invitations(uses_speeds), 1);
    let kinds = kinds(topics, 1.5);
    replay.run(&kinds, 2_000);
    let slow: Vec<usize> = (0..112).filter(|engine| engine % 20 < 3).collect();
    for engine in &slow {
        replay.set_speed(*engine, speed(*engine) / 2.5);
    }
    replay.waits.clear();
    replay.run(&kinds, 3_000);
    let p99_ms = p99(&mut replay.waits);
    for engine in &slow {
        replay.set_speed(*engine, speed(*engine));
    }
    replay.tokens_sent.fill(0.0);
    replay.run(&kinds, 1_000);
    let load = |engine: usize| replay.tokens_sent[engine] / speed(engine);
    let mean = (0..112).map(load).sum::<f64>() / 112.0;
    let loads = slow.iter().map(|engine| load(*engine) / mean);
    Slowdown {
        load_after: loads.fold(0.0, f64::max),
        p99_ms,
    }
}

// Calls waited behind each other at engines that were taken to be as fast as the others. A server
// that has recovered looks faster than it is known to be, and must not draw all calls at once.
#[yare::parameterized(
    shared_parts = { 500, 0.6 },
    prompts_of_their_own = { 0, 0.9 },
)]
fn slow_engines_get_fewer_calls_and_recover_without_a_crowd(topics: u64, p99_ratio_max: f64) {
    let without = replay_slowdown(topics, false);
    let with = replay_slowdown(topics, true);
    let p99_ratio = with.p99_ms as f64 / without.p99_ms as f64;
    assert!(p99_ratio < p99_ratio_max, "{p99_ratio}");
    assert!(with.load_after < 2.0, "{}", with.load_after);
}

// Once calls avoid a slow server, it gives no answers that could show its recovery.
#[test]
fn server_without_answers_returns_to_the_mean_speed() {
    let mut speeds = [ServerSpeed::default(), ServerSpeed::default()];
    let mut now = NOW;
    for _ in 0..40 {
        speeds[0].observe(now, MILLI * 100, MILLI * 250);
        speeds[1].observe(now, MILLI * 100, MILLI * 100);
        now += MILLI * 150;
    }
    let [slow, other] = &mut speeds;
    other.update(other.sums(now), 1.0);
    slow.update(slow.sums(now), 1.0);
    assert!((other.speed() - 1.0).abs() < 0.01, "{}", other.speed());
    assert!(slow.speed() < 0.5, "{}", slow.speed());
    let deviation = 1.0 - slow.speed();
    slow.update(slow.sums(now + MILLI * 8_000), 1.0);
    assert!(1.0 - slow.speed() < deviation / 2.0, "{}", slow.speed());
    slow.update(slow.sums(now + MILLI * 30_000), 1.0);
    assert!((slow.speed() - 1.0).abs() < 0.01, "{}", slow.speed());
}

// A report that was replaced or has expired would be counted for ever.
#[test]
fn replaced_reports_of_peers_leave_nothing() {
    let mut peer = ServerSpeed::default();
    peer.observe(NOW, MILLI * 100, MILLI * 300);
    let sums = peer.own_sums(NOW);
    let mut speed = ServerSpeed::default();
    speed.add_report(NOW, sums);
    speed.update(speed.sums(NOW), 1.0);
    assert!(speed.speed() < 0.8, "{}", speed.speed());
    let later = NOW + MILLI * 700;
    speed.remove_report(later, NOW, sums);
    speed.update(speed.sums(later), 1.0);
    assert!((speed.speed() - 1.0).abs() < 0.001, "{}", speed.speed());
    assert_eq!(peer.own_sums(NOW + MILLI * 10_000), SpeedSums::default());
}
