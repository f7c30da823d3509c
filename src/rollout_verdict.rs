//! Verdict on the new version of a service, from the answers of its new and old servers: a
//! sequential test that is repeated as answers arrive.
//!
//! The fault pattern that this is designed for: versions that fail part of their answers or answer
//! several times slower, at once or later, under load, or on one route only; among faults that hit
//! both versions, single servers that fail or are slow, and new servers whose caches are cold.
//!
//! Each test compares the part of the answers of the new side that fail, or take too long, with
//! that of the old side over the same time, on one route or on all. The tests are made on the
//! answers since the order and since each mark of the tally, so that a version that turns bad late
//! is not hidden by its earlier good answers. Chernoff's bound on the binomial tail gives the chance
//! that a version as good as the old one, plus a margin, has that many: a version is bad if it is
//! under [`ERROR_RATE_TEST`] in one test. With up to 3,000 answers of the new side, five scopes and
//! five measures, the tests that overlap little are under 50,000. That makes under 1 in 1,000 good
//! versions bad in a rollout: the margins and the bound on the old side's rate leave less.
//!
//! A version is good if one that fails 10 in 100 answers more than the old one would show as few
//! failures with a chance under [`ERROR_RATE_GOOD`], over all answers and over the later half of
//! them (5 in 100 on a single route). It is not called good either while a comparison of failures has a chance under
//! `ERROR_RATE_DOUBT`, or another one under `ERROR_RATE_DOUBT_OTHER`; then the verdict stays open.
//!
//! What passes: a version that is slow on fewer answers than the margins allow; and in up to 10 in
//! 100 rollouts one that fails 10 in 100 more on a single route, under load or in the later half
//! only, since it then fails fewer of all answers. Failures of a single server, as many as it runs
//! calls at once, do not count, so that the end of a server does not.
//!
//! Measured in replays of 12 s at 600 calls a second and a share of 0.08
//! (`tests/decisions/rollout_verdict.rs`): of 2,160 good versions none was called bad, and one stayed
//! open; of 1,152 that fail 30 or 100 in 100 more, or are 3 or 6 times slower, all were called bad.

use super::*;

use crate::rollout_tally::DELAY_CLASSES;
use crate::rollout_tally::RouteCounts;
use crate::rollout_tally::SideCounts;

/// Fewest answers of the new side for the verdict that a version is good.
pub const GOOD_ANSWERS_MIN: u32 = 30;

/// Chance of each test that a version as good as the old one, plus the margin, is called bad.
pub const ERROR_RATE_TEST: f64 = 1e-8;

/// Chance that a version that fails [`EXCESS_BAD`] more answers than the old one is called good.
pub const ERROR_RATE_GOOD: f64 = 0.01;

/// As [`ERROR_RATE_GOOD`], on a single route: with fewer answers there, base failures would keep
/// good versions from being called good.
const ERROR_RATE_GOOD_ROUTE: f64 = 0.05;

/// Chance of a comparison of failures over all routes under which a version is not called good.
const ERROR_RATE_DOUBT: f64 = 0.2;

/// As [`ERROR_RATE_DOUBT`], of any other comparison. There are more of them, so that good versions
/// would often stay open at a higher one.
const ERROR_RATE_DOUBT_OTHER: f64 = 0.02;

/// Part of the answers that a bad version fails in addition to those that the old one fails.
const EXCESS_BAD: f64 = 0.1;

/// Answers of the new side on a route from which on that route has to be shown to be good too.
const ROUTE_ANSWERS_MIN: u32 = 100;

/// Failures, as a part of the answers, that do not count against a version.
const FAILURE_MARGIN: f64 = 0.005;

/// As [`FAILURE_MARGIN`], while the old version gets no calls to compare with: faults that would hit
/// it too then show on the new side only.
const DRAINING_MARGIN: f64 = 0.1;

/// Slow answers, as a part of the answers, that do not count against a version.
const SLOW_MARGIN: f64 = 0.25;

/// Delays over the old side's median, in classes of the tally (half powers of 2), and the part of
/// the answers with a longer one that does not count against a version. Cold caches let prompts
/// take up to about twice as long as expected, and one or two servers may be slow for a time.
const DELAY_MARGINS: [(f64, f64); 3] = [(2.0, 0.35), (3.0, 0.25), (4.0, 0.2)];

/// Failures that the end of one server may cause, whatever its version: about the calls that an
/// engine runs at once.
const BROKEN_AT_ONCE_MAX: u32 = 32;

/// Failures of one server over those of the others from which on they may be due to its end.
const BROKEN_AT_ONCE_MIN: u32 = 5;

/// Answers of the old side below which delays are not compared.
const OLD_ANSWERS_MIN: u32 = 30;

/// Standard deviations by which the old side's rate of failures is taken to be higher than it shows.
const FAILURE_DEVIATIONS: f64 = 3.0;

/// As [`FAILURE_DEVIATIONS`], for slow answers, whose margins are wider.
const DELAY_DEVIATIONS: f64 = 1.0;

/// Verdict on the new version of a service, from the answers so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutVerdict {
    /// The version is worse than the old one.
    Bad {
        /// What is worse, with the counts, for the log and the status.
        reason: SmolStr,
        /// Route on which it is worse; `None` if over all routes.
        route: Option<SmolStr>,
    },
    /// The version is shown to be about as good as the old one.
    Good,
    /// The answers so far show neither.
    Open,
}

/// Answers with one property, such as failures, out of all.
#[derive(Debug, Clone, Copy)]
struct Part {
    count: f64,
    of: f64,
}

/// A comparison of the two sides by one property of answers.
#[derive(Debug)]
struct Comparison {
    /// Standard deviations by which the old side's rate is taken to be higher.
    deviations: f64,
    margin: f64,
    measure: &'static str,
    new: Part,
    old: Part,
}

/// Judges the new version by the answers of all instances that the tally has.
/// [`RolloutTally::mark`] is called before.
pub fn judge(tally: &RolloutTally) -> RolloutVerdict {
    let windows = windows_of(tally);
    let Some(all) = windows.last() else {
        return RolloutVerdict::Open;
    };
    let old_all = sums_of(tally);
    for window in &windows {
        let ended = ended_group(window);
        for (route, counts) in window {
            let old = old_all.get(route).map(|counts| &counts.old);
            for comparison in comparisons(tally.is_draining(), counts, old, ended) {
                if comparison.is_error_below(ERROR_RATE_TEST) {
                    let route = route.clone();
                    let reason = comparison.reason(route.as_deref());
                    return RolloutVerdict::Bad { reason, route };
                }
            }
        }
    }
    let answers = all.get(&None).map_or(0, |counts| counts.new.answers);
    let later_half = windows.iter().find(|window| {
        let counts = window.get(&None);
        counts.is_some_and(|counts| counts.new.answers >= answers.div_ceil(2))
    });
    let is_good =
        answers >= GOOD_ANSWERS_MIN && is_shown_good(all) && later_half.is_some_and(is_shown_good);
    match is_good {
        true => RolloutVerdict::Good,
        false => RolloutVerdict::Open,
    }
}

/// Counts by route of a span of time, and those of all routes under `None`.
type ScopeCounts = BTreeMap<Option<SmolStr>, RouteCounts>;

/// Returns the counts since the order.
fn sums_of(tally: &RolloutTally) -> ScopeCounts {
    let mut sums = ScopeCounts::new();
    for (route, counts) in tally.sums() {
        sums.entry(None).or_default().add(counts);
        sums.insert(Some(route.clone()), *counts);
    }
    sums
}

/// Returns the counts since each mark, newest first, and last those since the order.
fn windows_of(tally: &RolloutTally) -> Vec<ScopeCounts> {
    let mut windows: Vec<ScopeCounts> = Vec::new();
    for route in tally.sums().keys() {
        for (index, counts) in tally.since_marks(route).enumerate() {
            if windows.len() <= index {
                windows.push(ScopeCounts::new());
            }
            let total = windows[index].entry(None).or_default();
            total.add(&counts);
            windows[index].insert(Some(route.clone()), counts);
        }
    }
    windows
}

fn ended_group(window: &ScopeCounts) -> Option<usize> {
    window.get(&None).and_then(|total| total.new.ended_group())
}

/// Returns true if the answers show that the version does not fail [`EXCESS_BAD`] more than the old
/// one, and if no test doubts it.
fn is_shown_good(window: &ScopeCounts) -> bool {
    let ended = ended_group(window);
    window.iter().all(|(route, counts)| {
        let error_rate = match route {
            None => ERROR_RATE_GOOD,
            Some(_) if counts.new.answers >= ROUTE_ANSWERS_MIN => ERROR_RATE_GOOD_ROUTE,
            Some(_) => 1.0,
        };
        let failures = counts.failures(ended);
        let bad_rate = (failures.old.rate_below() + EXCESS_BAD).min(1.0);
        let is_good = failures.new.lower_tail(bad_rate) <= error_rate;
        let doubt = match route {
            None => ERROR_RATE_DOUBT,
            Some(_) => ERROR_RATE_DOUBT_OTHER,
        };
        let mut others = comparisons(false, counts, None, ended).into_iter();
        is_good
            && !failures.is_error_below(doubt)
            && !others.any(|test| test.is_error_below(ERROR_RATE_DOUBT_OTHER))
    })
}

/// Returns the comparisons of the sides over a span of time. `old_all` is the old side since the
/// order, which is compared with while the old version gets no calls; `ended` is that of
/// [`SideCounts::ended_group`].
fn comparisons(
    is_draining: bool,
    counts: &RouteCounts,
    old_all: Option<&SideCounts>,
    ended: Option<usize>,
) -> Vec<Comparison> {
    let mut comparisons = vec![counts.failures(ended)];
    if is_draining {
        for comparison in &mut comparisons {
            comparison.margin = DRAINING_MARGIN;
            comparison.old =
                old_all.map_or(comparison.old, |old| Part::new(old.failures, old.answers));
        }
        return comparisons;
    }
    if counts.old.answers < OLD_ANSWERS_MIN {
        return comparisons;
    }
    comparisons.push(Comparison {
        deviations: DELAY_DEVIATIONS,
        margin: SLOW_MARGIN,
        measure: "were slow",
        new: Part::new(counts.new.slow, counts.new.answers),
        old: Part::new(counts.old.slow, counts.old.answers),
    });
    let median = median_delay(&counts.old.delays);
    for (classes, margin) in DELAY_MARGINS {
        comparisons.push(Comparison {
            deviations: DELAY_DEVIATIONS,
            margin,
            measure: "took several times the old side's median",
            new: part_over(&counts.new.delays, median + classes),
            old: part_over(&counts.old.delays, median + classes),
        });
    }
    comparisons
}

impl Comparison {
    /// Returns true if a version as good as the old one, plus the margin, would have as many such
    /// answers with a chance below `error_rate`.
    fn is_error_below(&self, error_rate: f64) -> bool {
        let rate = self.old.rate_above(self.deviations) + self.margin;
        rate < 1.0 && self.new.count > rate * self.new.of && self.new.tail_bound(rate) < error_rate
    }

    fn reason(&self, route: Option<&str>) -> SmolStr {
        let Self {
            measure, new, old, ..
        } = self;
        let scope = route.map_or_else(|| "all routes".into(), |route| format!("route {route}"));
        let reason = format!(
            "{scope}: {:.0} of {:.0} answers {measure}, of the old version {:.0} of {:.0}",
            new.count, new.of, old.count, old.of
        );
        reason.into()
    }
}

impl Part {
    fn new(count: u32, of: u32) -> Self {
        Self {
            count: f64::from(count),
            of: f64::from(of),
        }
    }

    /// Bound on the chance that a binomial count with `rate` is as far from its mean as this one.
    fn tail_bound(&self, rate: f64) -> f64 {
        if self.of <= 0.0 {
            return 1.0;
        }
        let shown = self.count / self.of;
        let term = |part: f64, expected: f64| match part > 0.0 {
            true => part * (part / expected).ln(),
            false => 0.0,
        };
        let divergence = term(shown, rate) + term(1.0 - shown, 1.0 - rate);
        (-self.of * divergence).exp()
    }

    /// Chance that a binomial count with `rate` is at most this one.
    fn lower_tail(&self, rate: f64) -> f64 {
        if rate >= 1.0 {
            return f64::from(self.count >= self.of);
        }
        let mut log_term = self.of * (1.0 - rate).ln();
        let mut tail = log_term.exp();
        for count in 1..=self.count as u32 {
            let count = f64::from(count);
            log_term += ((self.of - count + 1.0) / count * rate / (1.0 - rate)).ln();
            tail += log_term.exp();
        }
        tail.min(1.0)
    }

    /// Rate that the true one hardly exceeds; 1 if there are few answers.
    fn rate_above(&self, deviations: f64) -> f64 {
        let half = deviations * deviations / 2.0;
        let spread = deviations * (self.count + half / 2.0).sqrt();
        match self.of > 0.0 {
            true => ((self.count + half + spread) / self.of).min(1.0),
            false => 1.0,
        }
    }

    /// Rate that the true one is seldom below; 0 if there are few answers.
    fn rate_below(&self) -> f64 {
        let spread = 2.0 * self.count.sqrt();
        match self.of > 0.0 {
            true => ((self.count - spread) / self.of).max(0.0),
            false => 0.0,
        }
    }
}

impl RouteCounts {
    /// Compares failures, without those that the end of a server of the new side explains: all
    /// calls at a server that ends are broken at once, whatever its version.
    fn failures(&self, ended: Option<usize>) -> Comparison {
        let broken = ended.map_or(0, |group| self.new.excess_of(group));
        Comparison {
            deviations: FAILURE_DEVIATIONS,
            margin: FAILURE_MARGIN,
            measure: "failed",
            new: Part::new(self.new.failures.saturating_sub(broken), self.new.answers),
            old: Part::new(self.old.failures, self.old.answers),
        }
    }
}

impl SideCounts {
    /// Returns the group of the server whose end explains most failures; `None` if no server has
    /// clearly more than the others. To be determined over all routes.
    fn ended_group(&self) -> Option<usize> {
        let groups = 0..self.failures_by_server.len();
        let most = groups.max_by_key(|group| self.failures_by_server[*group])?;
        (self.excess_of(most) >= BROKEN_AT_ONCE_MIN).then_some(most)
    }

    /// Failures of a group of servers over the mean of the other groups that have failures, as far
    /// as one server runs so many calls at once.
    fn excess_of(&self, group: usize) -> u32 {
        let of_group = self.failures_by_server[group];
        let failing = self.failures_by_server.iter().filter(|count| **count > 0);
        let others = (failing.count() as u32).saturating_sub(u32::from(of_group > 0));
        let total: u32 = self.failures_by_server.iter().sum();
        let mean = (total - of_group).div_ceil(others.max(1));
        of_group.saturating_sub(mean).min(BROKEN_AT_ONCE_MAX)
    }
}

/// Median of delays, in classes; between the bounds of a class it is interpolated.
fn median_delay(delays: &[u32; DELAY_CLASSES]) -> f64 {
    let half = f64::from(delays.iter().sum::<u32>()) / 2.0;
    let mut before = 0.0;
    for (class, count) in delays.iter().enumerate() {
        let count = f64::from(*count);
        if count > 0.0 && before + count >= half {
            return class as f64 + (half - before) / count;
        }
        before += count;
    }
    DELAY_CLASSES as f64
}

/// Part of the delays over a bound in classes, which may lie within a class.
fn part_over(delays: &[u32; DELAY_CLASSES], bound: f64) -> Part {
    let mut part = Part::new(0, delays.iter().sum());
    for (class, count) in delays.iter().enumerate() {
        let over = (class as f64 + 1.0 - bound).clamp(0.0, 1.0);
        part.count += over * f64::from(*count);
    }
    part
}
