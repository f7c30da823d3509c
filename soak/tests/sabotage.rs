//! Each safeguard, switched off, is missed by some check.

use ebonyspread::sabotage::SAFEGUARDS;
use ebonyspread::sabotage::set_off;
use ebonyspread_soak::WORLDS;
use ebonyspread_soak::report::Report;
use ebonyspread_soak::run;

/// Schedules of each world within which a missing safeguard has to show.
const SCHEDULES: u64 = 3_000;

// One test, because the switches are the process's.
#[test]
fn every_safeguard_is_missed_when_it_is_off() {
    for safeguard in SAFEGUARDS {
        set_off(safeguard, true);
        let mut report = Report::default();
        for seed in 1..=SCHEDULES {
            for world in WORLDS {
                run(world, seed, &mut report);
            }
            if report.violation_count > 0 {
                break;
            }
        }
        set_off(safeguard, false);
        assert!(report.violation_count > 0, "{safeguard:?} is not missed");
    }
}
