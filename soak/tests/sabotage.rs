//! Verifies that a check detects each disabled safeguard.

use ebonyspread::sabotage::SAFEGUARDS;
use ebonyspread::sabotage::Safeguard;
use ebonyspread::sabotage::set_disabled;
use ebonyspread_soak::World;
use ebonyspread_soak::report::Report;
use ebonyspread_soak::run;

/// Maximum number of schedules within which a disabled safeguard must cause a violation.
const SCHEDULES_MAX: u64 = 200;

/// Returns the world whose checks cover a safeguard.
fn world_for(safeguard: Safeguard) -> World {
    match safeguard {
        Safeguard::FirstClaimWins
        | Safeguard::KeyWindow
        | Safeguard::LateGrant
        | Safeguard::NotRunNeedsProof
        | Safeguard::SentIsUnknown => World::Orders,
        Safeguard::EditBase | Safeguard::SnapshotConfirmed | Safeguard::VersionMonotone => {
            World::Edits
        }
        Safeguard::AskBeforeDeath | Safeguard::EpochOrder => World::Members,
        Safeguard::AccountLimit
        | Safeguard::Leaving
        | Safeguard::Quarantine
        | Safeguard::RetryBudget
        | Safeguard::Shares => World::Routing,
    }
}

// A single test, because safeguards are enabled and disabled for the whole process.
#[test]
fn checks_detect_every_disabled_safeguard() {
    for safeguard in SAFEGUARDS {
        set_disabled(safeguard, true);
        let mut report = Report::default();
        let mut seed = 0;
        while report.violation_count == 0 && seed < SCHEDULES_MAX {
            seed += 1;
            run(world_for(safeguard), seed, &mut report);
        }
        set_disabled(safeguard, false);
        println!("{safeguard:?}: detected at seed {seed}");
        assert!(
            report.violation_count > 0,
            "{safeguard:?} was disabled, but no check failed"
        );
    }
}
