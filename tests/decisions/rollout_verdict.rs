//! Verdicts on versions in replayed rollouts, against good versions that are rolled back and bad
//! ones that are completed or found late.

use std::time::Duration;

use ebonyspread::rollout_plan::OBSERVE_FRACTION;
use ebonyspread::rollout_share::RolloutShare;
use ebonyspread::rollout_share::RolloutSide;
use ebonyspread::rollout_tally::AnswerSample;
use ebonyspread::rollout_tally::RolloutTally;
use ebonyspread::rollout_verdict::RolloutVerdict;
use ebonyspread::rollout_verdict::judge;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Rollouts of a good version, and of a bad one, that each case replays. The variable `ROLLOUTS`
/// multiplies them.
const GOOD_ROLLOUTS: u64 = 30;
const BAD_ROLLOUTS: u64 = 8;

const DURATION_S: f64 = 12.0;

/// Time between two judgements, and calls of the service in it.
const STEP: Duration = Duration::from_millis(250);
const CALLS_PER_STEP: u32 = 150;

/// Steps for which 15 in 100 servers are slow, before others are.
const SLOW_STEPS: u32 = 10;

/// Servers of each side that get the calls.
const OLD_SERVERS: u32 = 90;
const CANARIES: u32 = 8;

/// Routes with their part of the calls in hundredths and the expected time of their answers.
const ROUTES: [(&str, u32, u64); 3] = [("long", 35, 110), ("middle", 43, 55), ("short", 22, 20)];

/// Mean of the calls at once at a server, and their number above which one that is bad under load
/// is bad.
const RUNNING_MEAN: f64 = 14.0;
const RUNNING_BAD: f64 = 16.0;

#[derive(Debug, Clone, Copy, PartialEq)]
enum When {
    AtOnce,
    Later,
    OneRoute,
    UnderLoad,
}

#[derive(Debug, Clone, Copy)]
struct Version {
    /// Failures in 100 answers that the old version has too.
    base: f64,
    /// Failures in 100 answers in addition, when it is bad.
    fails: f64,
    /// Factor of the time to the first byte, when it is bad.
    slower: f64,
    /// True if one of its servers ends, which breaks the calls that run there.
    server_ends: bool,
    /// True if the servers of both sides run at 0.6, 1 and 1.6 times the usual speed.
    uneven: bool,
    when: When,
}

/// End of a replayed rollout.
#[derive(Debug)]
struct End {
    /// Bad answers until then, and the time since the fiftieth.
    bad_answers: u32,
    late: Duration,
    verdict: RolloutVerdict,
}

struct Replay {
    rng: StdRng,
    version: Version,
    /// Factors of the time to the first byte, by server.
    slowness: Vec<f64>,
    /// Servers that are slow by a factor of 2.5 for [`SLOW_STEPS`].
    slow: Vec<bool>,
    answers: Vec<u32>,
}

impl Replay {
    fn new(seed: u64, version: Version) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let servers = 0..OLD_SERVERS + CANARIES;
        let slowness = servers.map(|_| match version.uneven {
            true => [1.0 / 0.6, 1.0, 1.0 / 1.6][rng.random_range(0..3)],
            false => 1.0,
        });
        let slowness = slowness.collect();
        Self {
            answers: vec![0; (OLD_SERVERS + CANARIES) as usize],
            rng,
            slow: Vec::new(),
            slowness,
            version,
        }
    }

    /// A time that varies as that of calls does, about 1.
    fn noise(&mut self, deviation: f64) -> f64 {
        let sum: f64 = (0..6).map(|_| self.rng.random_range(-1.0..1.0)).sum();
        (sum / 2.0_f64.sqrt() * deviation).exp()
    }

    /// Returns the sample of an answer, and whether the version made it bad.
    fn answer(
        &mut self,
        at_s: f64,
        burst: f64,
        route: usize,
        server: usize,
    ) -> (AnswerSample, bool) {
        let Version {
            base,
            fails,
            slower,
            when,
            ..
        } = self.version;
        let is_new = server >= OLD_SERVERS as usize;
        let running = RUNNING_MEAN * burst * self.noise(0.25);
        let applies = match when {
            When::AtOnce => true,
            When::Later => at_s >= DURATION_S * OBSERVE_FRACTION / 2.0,
            When::OneRoute => route == 0,
            When::UnderLoad => running > RUNNING_BAD,
        };
        let is_bad = is_new && applies;
        let failures = base + if is_bad { fails } else { 0.0 };
        if self.rng.random_bool((failures / 100.0).min(1.0)) {
            return (AnswerSample::Failed, is_bad && fails > 0.0);
        }
        self.answers[server] += 1;
        let is_cold = is_new && self.answers[server] < 30 && self.rng.random_bool(0.6);
        let factor = self.noise(0.35)
            * burst.max(1.0)
            * self.slowness[server]
            * if self.slow[server] { 2.5 } else { 1.0 }
            * if is_cold { 1.8 } else { 1.0 }
            * if is_bad { slower } else { 1.0 };
        let expected = Duration::from_millis(ROUTES[route].2);
        let first_byte = expected.mul_f64(factor);
        let sample = AnswerSample::Answered {
            expected,
            first_byte,
        };
        (sample, is_bad && slower > 1.0)
    }

    /// Replays a rollout with a burst, in which the servers run 2.2 times as many calls.
    fn run(&mut self) -> End {
        let mut share = RolloutShare::new(0.1, self.rng.random());
        let mut tally = RolloutTally::new(7);
        let burst_at = self.rng.random_range(0.0..6.0);
        let ends_at = self.rng.random_range(0..20);
        let mut bad_answers = 0;
        let mut fiftieth = None;
        let steps = (DURATION_S * 0.8 / STEP.as_secs_f64()) as u32;
        for step in 0..steps {
            let now = STEP * step;
            let at_s = now.as_secs_f64();
            let in_burst = (burst_at..burst_at + 5.0).contains(&at_s);
            let burst = if in_burst { 2.2 } else { 1.0 };
            if step % SLOW_STEPS == 0 {
                let servers = 0..OLD_SERVERS + CANARIES;
                self.slow = servers.map(|_| self.rng.random_bool(0.15)).collect();
            }
            for _ in 0..CALLS_PER_STEP {
                let draw = self.rng.random_range(0..100);
                let route = usize::from(draw >= 35) + usize::from(draw >= 78);
                let side = share.pick(ROUTES[route].0);
                let server = match side {
                    RolloutSide::Old => self.rng.random_range(0..OLD_SERVERS),
                    RolloutSide::New => OLD_SERVERS + self.rng.random_range(0..CANARIES),
                };
                let (sample, is_bad) = self.answer(at_s, burst, route, server as usize);
                bad_answers += u32::from(is_bad);
                tally.record(ROUTES[route].0, side, &format!("server-{server}"), sample);
            }
            if self.version.server_ends && step == ends_at {
                for call in 0..20 {
                    let server = format!("server-{OLD_SERVERS}");
                    let route = ROUTES[call % 3].0;
                    tally.record(route, RolloutSide::New, &server, AnswerSample::Failed);
                }
            }
            if bad_answers >= 50 {
                fiftieth = fiftieth.or(Some(now));
            }
            tally.mark(now);
            let verdict = judge(&tally);
            let is_observed = at_s >= DURATION_S * OBSERVE_FRACTION;
            let is_bad = matches!(verdict, RolloutVerdict::Bad { .. });
            let is_good = verdict == RolloutVerdict::Good && is_observed;
            if is_bad || is_good || step + 1 == steps {
                return End {
                    bad_answers,
                    late: fiftieth.map_or(Duration::ZERO, |at| now - at),
                    verdict,
                };
            }
        }
        unreachable!("the last step returns")
    }
}

fn replay(count: u64, version: Version) -> Vec<End> {
    let factor = std::env::var("ROLLOUTS").map_or(1, |factor| factor.parse().unwrap());
    let seeds = 0..count * factor;
    seeds.map(|seed| Replay::new(seed, version).run()).collect()
}

#[yare::parameterized(
    without_failures = { 0.0, false, false },
    with_one_failure_in_100 = { 1.0, false, false },
    with_three_failures_in_100 = { 3.0, false, false },
    at_uneven_speeds = { 0.0, true, false },
    that_loses_a_server = { 0.0, false, true },
    that_loses_a_server_with_failures = { 3.0, false, true },
)]
fn good_version_with_cold_caches_is_not_rolled_back(base: f64, uneven: bool, server_ends: bool) {
    let version = Version {
        base,
        fails: 0.0,
        server_ends,
        slower: 1.0,
        uneven,
        when: When::AtOnce,
    };
    let ends = replay(GOOD_ROLLOUTS, version);
    let total = ends.len();
    let called_bad = |end: &&End| matches!(end.verdict, RolloutVerdict::Bad { .. });
    let bad: Vec<&End> = ends.iter().filter(called_bad).collect();
    let open = ends
        .iter()
        .filter(|end| end.verdict == RolloutVerdict::Open);
    let open = open.count();
    println!("base {base} {uneven} {server_ends}: {open} open of {total}, bad: {bad:?}");
    assert!(
        bad.len() * 1_000 <= total,
        "{} of {total}: {bad:?}",
        bad.len()
    );
    assert!(open * 50 <= total, "{open} of {total} open");
}

#[yare::parameterized(
    fails_some_at_once = { 10.0, 1.0, When::AtOnce, false },
    fails_some_later = { 10.0, 1.0, When::Later, false },
    fails_some_on_a_route = { 10.0, 1.0, When::OneRoute, false },
    fails_some_under_load = { 10.0, 1.0, When::UnderLoad, false },
    fails_many_at_once = { 30.0, 1.0, When::AtOnce, false },
    fails_many_later = { 30.0, 1.0, When::Later, false },
    fails_many_on_a_route = { 30.0, 1.0, When::OneRoute, false },
    fails_many_under_load = { 30.0, 1.0, When::UnderLoad, false },
    fails_all_at_once = { 100.0, 1.0, When::AtOnce, false },
    fails_all_later = { 100.0, 1.0, When::Later, false },
    fails_all_on_a_route = { 100.0, 1.0, When::OneRoute, false },
    fails_all_under_load = { 100.0, 1.0, When::UnderLoad, false },
    slow_at_once = { 0.0, 3.0, When::AtOnce, false },
    slow_later = { 0.0, 3.0, When::Later, false },
    slow_on_a_route = { 0.0, 3.0, When::OneRoute, false },
    slow_under_load = { 0.0, 3.0, When::UnderLoad, false },
    very_slow_at_once = { 0.0, 6.0, When::AtOnce, false },
    very_slow_later = { 0.0, 6.0, When::Later, false },
    very_slow_on_a_route = { 0.0, 6.0, When::OneRoute, false },
    very_slow_under_load = { 0.0, 6.0, When::UnderLoad, false },
    slow_at_once_at_uneven_speeds = { 0.0, 3.0, When::AtOnce, true },
    slow_later_at_uneven_speeds = { 0.0, 3.0, When::Later, true },
    slow_on_a_route_at_uneven_speeds = { 0.0, 3.0, When::OneRoute, true },
    slow_under_load_at_uneven_speeds = { 0.0, 3.0, When::UnderLoad, true },
)]
fn bad_version_is_not_completed_and_found_soon(fails: f64, slower: f64, when: When, uneven: bool) {
    let mut replayed = 0;
    let mut called_good = 0;
    for base in [0.0, 1.0, 3.0] {
        let version = Version {
            base,
            fails,
            server_ends: false,
            slower,
            uneven,
            when,
        };
        let ends = replay(BAD_ROLLOUTS, version);
        let total = ends.len();
        let count = |is_counted: fn(&RolloutVerdict) -> bool| {
            ends.iter().filter(|end| is_counted(&end.verdict)).count()
        };
        let good = count(|verdict| *verdict == RolloutVerdict::Good);
        let bad = count(|verdict| matches!(verdict, RolloutVerdict::Bad { .. }));
        let latest = ends.iter().map(|end| end.late).max().unwrap();
        let most = ends.iter().map(|end| end.bad_answers).max().unwrap();
        println!(
            "{fails} {slower} {when:?} base {base}: good {good} bad {bad} of {total}, \
             {most} bad answers, {latest:?} after the fiftieth"
        );
        replayed += total;
        called_good += good;
        assert!(latest < Duration::from_secs(5), "base {base}: {latest:?}");
    }
    assert!(
        called_good * 100 <= replayed,
        "{called_good} of {replayed} good"
    );
}

/// Adds answers, of which some in 100 fail and the others take `factor` times as long as expected.
fn add(tally: &mut RolloutTally, side: RolloutSide, answers: u32, fails: u32, factor: f64) {
    for answer in 0..answers {
        let expected = Duration::from_millis(100);
        let sample = match answer % 100 < fails {
            true => AnswerSample::Failed,
            false => AnswerSample::Answered {
                expected,
                first_byte: expected.mul_f64(factor),
            },
        };
        tally.record("long", side, &format!("server-{}", answer % 7), sample);
    }
}

#[yare::parameterized(
    fault_that_makes_both_fail = { 30, 1.0 },
    overload_that_makes_both_slow = { 0, 12.0 },
)]
fn fault_of_both_versions_does_not_count_against_the_new_one(fails: u32, factor: f64) {
    let mut tally = RolloutTally::new(7);
    for step in 0..40 {
        let is_fault = (10..20).contains(&step);
        let (fails, factor) = if is_fault { (fails, factor) } else { (0, 1.0) };
        add(&mut tally, RolloutSide::Old, 1_100, fails, factor);
        add(&mut tally, RolloutSide::New, 100, fails, factor);
        tally.mark(STEP * step);
        let verdict = judge(&tally);
        assert!(
            !matches!(verdict, RolloutVerdict::Bad { .. }),
            "{verdict:?}"
        );
    }
    assert_eq!(judge(&tally), RolloutVerdict::Good);
}

// The old version gets no calls while its servers drain, so that nothing shows whether a fault would
// hit it too.
#[yare::parameterized(
    good = { 0, 1.0, false },
    some_fail = { 6, 1.0, false },
    slow_at_first = { 0, 4.0, false },
    many_fail = { 30, 1.0, true },
    all_fail = { 100, 1.0, true },
)]
fn version_that_turns_bad_while_old_servers_drain_is_found(fails: u32, factor: f64, is_bad: bool) {
    let mut tally = RolloutTally::new(7);
    add(&mut tally, RolloutSide::Old, 4_000, 0, 1.0);
    add(&mut tally, RolloutSide::New, 300, 0, 1.0);
    tally.begin_draining(STEP);
    add(&mut tally, RolloutSide::New, 400, fails, factor);
    let verdict = judge(&tally);
    assert_eq!(
        matches!(verdict, RolloutVerdict::Bad { .. }),
        is_bad,
        "{verdict:?}"
    );
}

#[test]
fn few_answers_are_not_called_good() {
    let mut tally = RolloutTally::new(7);
    add(&mut tally, RolloutSide::Old, 4_000, 0, 1.0);
    add(&mut tally, RolloutSide::New, 29, 0, 1.0);
    assert_eq!(judge(&tally), RolloutVerdict::Open);
}
