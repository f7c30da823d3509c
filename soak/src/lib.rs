//! Long randomised runs of the product's own decisions with a virtual clock and small fakes for
//! the log, the peers and the backend servers. A schedule is a seed: it decides the work, the
//! latencies and the faults, so that a violation can be run again.

pub mod edits;
pub mod fake_log;
pub mod members;
pub mod orders;
pub mod report;
pub mod routing;
pub mod schedule;

use crate::report::Report;

/// What a schedule is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum World {
    /// Calls that may not be repeated.
    Orders,
    /// Table edits.
    Edits,
    /// Membership.
    Members,
    /// Limits, shares, placement, retries, quarantine.
    Routing,
}

/// All worlds.
pub const WORLDS: [World; 4] = [World::Orders, World::Edits, World::Members, World::Routing];

/// Runs one schedule of a world.
pub fn run(world: World, seed: u64, report: &mut Report) {
    report.begin(world, seed);
    match world {
        World::Orders => orders::run(seed, report),
        World::Edits => edits::run(seed, report),
        World::Members => members::run(seed, report),
        World::Routing => routing::run(seed, report),
    }
}
