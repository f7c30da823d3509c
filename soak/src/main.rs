//! Runs schedules for a time and prints what they did; exits with 1 on any violation.

use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use ebonyspread_soak::WORLDS;
use ebonyspread_soak::World;
use ebonyspread_soak::report::Report;
use ebonyspread_soak::run;

mod flags {
    #![allow(missing_docs)]
    xflags::xflags! {
        /// Runs the product's decisions under randomised schedules of faults.
        cmd ebonyspread-soak {
            /// Seconds to run for.
            required seconds: u64
            /// First seed.
            required seed: u64
            /// Run only this world: orders, edits, members or routing.
            optional --world world: String
            /// Run only this one schedule: the seed is its own.
            optional --one
            /// Switch each safeguard off in turn, for SECONDS each, and show that it is missed.
            optional --sabotage
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::EbonyspreadSoak::from_env_or_exit();
    if flags.sabotage {
        return sabotage(&flags);
    }
    let time = Duration::from_secs(flags.seconds);
    let report = run_for(time, flags.seed, flags.world.as_deref(), flags.one, false);
    report.print();
    match report.violation_count {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// Runs schedules of the worlds in turn until the time is over.
fn run_for(
    time: Duration,
    seed: u64,
    only: Option<&str>,
    is_one: bool,
    stop_early: bool,
) -> Report {
    let started = Instant::now();
    let mut report = Report::default();
    let mut seed = seed;
    loop {
        for world in WORLDS {
            // Members' schedules cost a hundred times as much as the others'.
            if world == World::Members && only.is_none() && !seed.is_multiple_of(20) {
                continue;
            }
            let name = format!("{world:?}").to_lowercase();
            if only.is_some_and(|only| only != name) {
                continue;
            }
            run(world, seed, &mut report);
        }
        seed = seed.wrapping_add(1);
        let is_found = stop_early && report.violation_count > 0;
        if is_one || is_found || started.elapsed() >= time {
            return report;
        }
    }
}

#[cfg(feature = "sabotage")]
fn sabotage(flags: &flags::EbonyspreadSoak) -> ExitCode {
    use ebonyspread::sabotage::SAFEGUARDS;
    use ebonyspread::sabotage::set_disabled;
    let mut missed = 0;
    for safeguard in SAFEGUARDS {
        set_disabled(safeguard, true);
        let started = Instant::now();
        let time = Duration::from_secs(flags.seconds);
        let report = run_for(time, flags.seed, flags.world.as_deref(), false, true);
        set_disabled(safeguard, false);
        let found = report.violations.first();
        missed += u32::from(found.is_none());
        println!(
            "{:<20} {:>6.2} s  {}",
            format!("{safeguard:?}"),
            started.elapsed().as_secs_f64(),
            found.map_or("NOT FOUND", |text| text)
        );
    }
    match missed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

#[cfg(not(feature = "sabotage"))]
fn sabotage(_: &flags::EbonyspreadSoak) -> ExitCode {
    eprintln!("error: build with the feature sabotage; scripts/soak does");
    ExitCode::from(2)
}
