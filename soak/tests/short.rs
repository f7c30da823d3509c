//! Simulates 8 to 300 schedules of each world, with fixed seeds.

use ebonyspread_soak::World;
use ebonyspread_soak::report::Report;
use ebonyspread_soak::run;

#[yare::parameterized(
    orders = { World::Orders, 300 },
    edits = { World::Edits, 60 },
    members = { World::Members, 8 },
    routing = { World::Routing, 100 },
)]
fn finds_no_violation(world: World, schedule_count: u64) {
    let mut report = Report::default();
    for seed in 1..=schedule_count {
        run(world, seed, &mut report);
    }
    assert_eq!(report.violation_count, 0, "{:#?}", report.violations);
}
