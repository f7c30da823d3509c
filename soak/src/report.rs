//! Counts of a run, and the violations found.

use std::collections::BTreeMap;

use crate::World;

/// Violations that are kept with their text.
const VIOLATIONS_KEPT: usize = 20;

/// What a run did and found.
#[derive(Debug, Default)]
pub struct Report {
    /// Checks made, by kind.
    pub checks: BTreeMap<&'static str, u64>,
    /// Faults injected, by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// Schedules run, by world.
    pub schedules: BTreeMap<String, u64>,
    /// Violations found.
    pub violation_count: u64,
    /// The first of them: world, seed and text.
    pub violations: Vec<String>,
    current: String,
}

impl Report {
    /// Starts a schedule.
    pub fn begin(&mut self, world: World, seed: u64) {
        let world = format!("{world:?}").to_lowercase();
        *self.schedules.entry(world.clone()).or_default() += 1;
        self.current = format!("world={world} seed={seed}");
    }

    /// Counts a check; records a violation with its text if it does not hold.
    pub fn check(&mut self, kind: &'static str, holds: bool, text: impl FnOnce() -> String) {
        *self.checks.entry(kind).or_default() += 1;
        if holds {
            return;
        }
        self.violation_count += 1;
        if self.violations.len() < VIOLATIONS_KEPT {
            self.violations
                .push(format!("{} {kind}: {}", self.current, text()));
        }
    }

    /// Counts an injected fault.
    pub fn fault(&mut self, kind: &'static str) {
        *self.faults.entry(kind).or_default() += 1;
    }

    /// Prints all counts and violations.
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
