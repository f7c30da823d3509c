//! What instances report to each other of a rollout that runs: the step that they know, the calls
//! that run at old servers, and the counts of answers.
//!
//! The load pattern that this is designed for: hundreds of instances, of which the holder of the
//! duties needs a report each, while most digests reach it seconds apart. Collectors add the reports
//! of their data centre to their digests to the holder, in each round, but the counts of answers,
//! which are most of their bytes, only of a few instances.

use super::*;

/// Maximum number of other instances' reports in one digest that have counts of answers. A report of
/// five routes has about 600 bytes with them and 40 without.
pub const FORWARDED_COUNTS_MAX: usize = 8;

/// Report of one process of an instance on the rollout of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutReport {
    /// Time of the report, by the clock of the instance that holds it.
    pub at: Duration,
    /// Calls of the process that run at servers of other versions than the target.
    pub old_running: u32,
    /// Service whose version is rolled out.
    pub service: ServiceName,
    /// Number of the newest step that the process knew.
    pub step_number: u64,
    /// Name and process of the instance, and its counts for the order.
    pub tally: TallyReport,
}

impl RolloutReport {
    /// Converts the time from the clock of a peer whose digest was sent at `sent` and arrived at
    /// `now`.
    pub fn received(mut self, sent: Duration, now: Duration) -> Self {
        self.at = now.saturating_sub(sent.saturating_sub(self.at));
        self
    }

    /// Returns true if this report was made after `other` of the same instance: by a later process,
    /// or with more knowledge or later by the same one.
    pub fn replaces(&self, other: &Self) -> bool {
        let rank = |report: &Self| (report.tally.life, report.step_number, report.at);
        rank(self) >= rank(other)
    }

    /// Encodes the report for a digest that is sent at `now`: the time becomes an age.
    pub fn to_wire(&self, now: Duration) -> wire::RolloutReport {
        let routes = self.tally.routes.iter();
        let routes = routes.map(|(route, counts)| wire::RolloutRouteCounts {
            route: route.to_string(),
            new_side: Some((&counts.new).into()),
            old_side: Some((&counts.old).into()),
        });
        wire::RolloutReport {
            age_ms: now.saturating_sub(self.at).as_millis() as u32,
            instance: self.tally.instance.to_string(),
            life: self.tally.life,
            old_running: self.old_running,
            order: self.tally.order,
            routes: routes.collect(),
            service: self.service.to_string(),
            step_number: self.step_number,
        }
    }

    /// Decodes a report from a digest that was sent at `sent`.
    pub fn from_wire(sent: Duration, wire: wire::RolloutReport) -> Self {
        let routes = wire.routes.into_iter().map(|counts| {
            let of_route = RouteCounts {
                new: counts.new_side.unwrap_or_default().into(),
                old: counts.old_side.unwrap_or_default().into(),
            };
            (SmolStr::from(counts.route), of_route)
        });
        Self {
            at: sent.saturating_sub(Duration::from_millis(u64::from(wire.age_ms))),
            old_running: wire.old_running,
            service: wire.service.into(),
            step_number: wire.step_number,
            tally: TallyReport {
                instance: wire.instance.into(),
                life: wire.life,
                order: wire.order,
                routes: routes.collect(),
            },
        }
    }
}

/// Newest record of a service that an instance knows, as instances tell each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutKnowledge {
    /// Time since the record was last proven to be the newest; `None` if it never was.
    pub age: Option<Duration>,
    /// Number of the record.
    pub number: u64,
    /// Service of the record.
    pub service: ServiceName,
}

impl From<&RolloutKnowledge> for wire::RolloutKnowledge {
    fn from(known: &RolloutKnowledge) -> Self {
        Self {
            age_ms: known.age.map(|age| age.as_millis() as u32),
            number: known.number,
            service: known.service.to_string(),
        }
    }
}

impl From<wire::RolloutKnowledge> for RolloutKnowledge {
    fn from(wire: wire::RolloutKnowledge) -> Self {
        let age = wire.age_ms.map(u64::from);
        Self {
            age: age.map(Duration::from_millis),
            number: wire.number,
            service: wire.service.into(),
        }
    }
}

impl From<&SideCounts> for wire::RolloutSideCounts {
    fn from(counts: &SideCounts) -> Self {
        Self {
            answers: counts.answers,
            delays: counts.delays.to_vec(),
            failures: counts.failures,
            failures_by_server: counts.failures_by_server.to_vec(),
            slow: counts.slow,
        }
    }
}

impl From<wire::RolloutSideCounts> for SideCounts {
    fn from(wire: wire::RolloutSideCounts) -> Self {
        let mut delays = [0; DELAY_CLASSES];
        for (delay, count) in delays.iter_mut().zip(wire.delays) {
            *delay = count;
        }
        let mut failures_by_server = [0; SERVER_GROUPS];
        for (failures, count) in failures_by_server.iter_mut().zip(wire.failures_by_server) {
            *failures = count;
        }
        Self {
            answers: wire.answers,
            delays,
            failures: wire.failures,
            failures_by_server,
            slow: wire.slow,
        }
    }
}
