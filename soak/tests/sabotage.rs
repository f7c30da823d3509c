//! Each safeguard, switched off, is missed by some check.

use ebonyspread::sabotage::SAFEGUARDS;
use ebonyspread::sabotage::Safeguard;
use ebonyspread::sabotage::set_disabled;
use ebonyspread_soak::World;
use ebonyspread_soak::report::Report;
use ebonyspread_soak::run;

/// Schedules within which a missing safeguard has to show.
const SCHEDULES: u64 = 200;

/// World whose checks watch over a safeguard.
fn world_of(safeguard: Safeguard) -> World {
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

// One test, because the switches are the process's.
#[test]
fn every_safeguard_is_missed_when_it_is_off() {
    for safeguard in SAFEGUARDS {
        set_disabled(safeguard, true);
        let mut report = Report::default();
        let mut seed = 0;
        while report.violation_count == 0 && seed < SCHEDULES {
            seed += 1;
            run(world_of(safeguard), seed, &mut report);
        }
        set_disabled(safeguard, false);
        println!("{safeguard:?}: missed at seed {seed}");
        assert!(report.violation_count > 0, "{safeguard:?} is not missed");
    }
}
