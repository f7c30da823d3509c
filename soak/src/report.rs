//! Counters of a run and the violations that it found.

use std::collections::BTreeMap;

use crate::World;

/// Maximum number of violations kept with their text.
const VIOLATIONS_MAX: usize = 20;

/// Counters and violations of a run.
#[derive(Debug, Default)]
pub struct Report {
    /// Number of checks by kind.
    pub checks: BTreeMap<&'static str, u64>,
    /// Number of injected faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// Number of schedules by world.
    pub schedules: BTreeMap<String, u64>,
    /// Number of violations.
    pub violation_count: u64,
    /// World, seed, kind and text of the first violations.
    pub violations: Vec<String>,
    current_schedule: String,
}

impl Report {
    /// Starts a schedule. Later violations are reported with its world and seed.
    pub fn begin(&mut self, world: World, seed: u64) {
        let world = format!("{world:?}").to_lowercase();
        *self.schedules.entry(world.clone()).or_default() += 1;
        self.current_schedule = format!("world={world} seed={seed}");
    }

    /// Counts a check and, if it does not hold, a violation. The text is kept for the first
    /// violations only.
    pub fn check(&mut self, kind: &'static str, holds: bool, text: impl FnOnce() -> String) {
        *self.checks.entry(kind).or_default() += 1;
        if holds {
            return;
        }
        self.violation_count += 1;
        if self.violations.len() < VIOLATIONS_MAX {
            self.violations
                .push(format!("{} {kind}: {}", self.current_schedule, text()));
        }
    }

    /// Counts an injected fault.
    pub fn fault(&mut self, kind: &'static str) {
        *self.faults.entry(kind).or_default() += 1;
    }

    /// Prints all counters and the violations kept.
    pub fn print(&self) {
        for (world, count) in &self.schedules {
            println!("schedules {world:<10} {count}");
        }
        for (kind, count) in &self.faults {
            println!("faults    {kind:<36} {count}");
        }
        for (kind, count) in &self.checks {
            println!("checks    {kind:<60} {count}");
        }
        println!("violations {}", self.violation_count);
        for violation in &self.violations {
            println!("VIOLATION {violation}");
        }
    }
}
