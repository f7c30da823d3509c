//! Simulates schedules for a given time and prints a report. The exit status is 1 if a check was
//! violated, or with `--sabotage`, if a disabled safeguard was not detected.

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
        /// Simulates the decision logic under randomised loads and faults.
        cmd ebonyspread-soak {
            /// Seconds to run for.
            required seconds: u64
            /// First seed.
            required seed: u64
            /// Run only this world: orders, edits, members or routing.
            optional --world world: String
            /// Run only the schedules of the given seed, one per world. Without --world, members is
            /// included only if the seed is a multiple of 20.
            optional --one
            /// Disable each safeguard in turn, for up to SECONDS each, and report whether a check
            /// detects it.
            optional --sabotage
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::EbonyspreadSoak::from_env_or_exit();
    if flags.sabotage {
        return sabotage(&flags);
    }
    let duration = Duration::from_secs(flags.seconds);
    let report = run_for(
        duration,
        flags.seed,
        flags.world.as_deref(),
        flags.one,
        false,
    );
    report.print();
    match report.violation_count {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// Simulates schedules of the worlds in turn until the duration has elapsed.
fn run_for(
    duration: Duration,
    seed: u64,
    world_name: Option<&str>,
    runs_one: bool,
    stops_on_violation: bool,
) -> Report {
    let started = Instant::now();
    let mut report = Report::default();
    let mut seed = seed;
    loop {
        for world in WORLDS {
            // A schedule of members takes a hundred times as long as one of another world.
            if world == World::Members && world_name.is_none() && !seed.is_multiple_of(20) {
                continue;
            }
            let name = format!("{world:?}").to_lowercase();
            if world_name.is_some_and(|wanted| wanted != name) {
                continue;
            }
            run(world, seed, &mut report);
        }
        seed = seed.wrapping_add(1);
        let has_violation = stops_on_violation && report.violation_count > 0;
        if runs_one || has_violation || started.elapsed() >= duration {
            return report;
        }
    }
}

#[cfg(feature = "sabotage")]
fn sabotage(flags: &flags::EbonyspreadSoak) -> ExitCode {
    use ebonyspread::sabotage::SAFEGUARDS;
    use ebonyspread::sabotage::set_disabled;
    let mut undetected = 0;
    for safeguard in SAFEGUARDS {
        set_disabled(safeguard, true);
        let started = Instant::now();
        let duration = Duration::from_secs(flags.seconds);
        let report = run_for(duration, flags.seed, flags.world.as_deref(), false, true);
        set_disabled(safeguard, false);
        let violation = report.violations.first();
        undetected += u32::from(violation.is_none());
        println!(
            "{:<20} {:>6.2} s  {}",
            format!("{safeguard:?}"),
            started.elapsed().as_secs_f64(),
            violation.map_or("NOT DETECTED", |text| text)
        );
    }
    match undetected {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

#[cfg(not(feature = "sabotage"))]
fn sabotage(_: &flags::EbonyspreadSoak) -> ExitCode {
    eprintln!("error: --sabotage requires a build with the feature sabotage; use scripts/soak");
    ExitCode::from(2)
}
