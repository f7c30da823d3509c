//! Randomised simulation of the decision logic with a virtual clock and small fakes for the log,
//! the peers and the backend servers. A seed determines the load, the latencies and the faults of a
//! schedule, so every violation can be reproduced.

pub mod edits;
pub mod fake_log;
pub mod members;
pub mod orders;
pub mod report;
pub mod routing;
pub mod schedule;

use crate::report::Report;

/// Simulated part of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum World {
    /// At-most-once calls.
    Orders,
    /// Table edits.
    Edits,
    /// Membership.
    Members,
    /// Account limits, traffic shares, placement, retries and quarantine.
    Routing,
}

/// All worlds.
pub const WORLDS: [World; 4] = [World::Orders, World::Edits, World::Members, World::Routing];

/// Simulates one schedule of a world.
pub fn run(world: World, seed: u64, report: &mut Report) {
    report.begin(world, seed);
    match world {
        World::Orders => orders::run(seed, report),
        World::Edits => edits::run(seed, report),
        World::Members => members::run(seed, report),
        World::Routing => routing::run(seed, report),
    }
}
