//! Fault injection: disables single safeguards, so that tests can verify that the checks detect the
//! resulting faults. The table is the operators' list of backend servers, models, routes and client
//! accounts; the policy is the operators' configuration of routes, services and accounts on the
//! platform. Without the feature `sabotage` every safeguard is always enabled.

/// A rule of the program that a test can disable; a check must then detect that it is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u32)]
pub enum Safeguard {
    /// A claim (the reservation of an idempotency key for one call) is rejected if the key is
    /// already claimed.
    FirstClaimWins,
    /// A key whose timestamp is older than the claim window, or too far in the future, is rejected.
    KeyWindow,
    /// A call that may have been sent is not sent again.
    SentIsUnknown,
    /// A claim whose grant arrives late is not used, and a claim is held for a minimum time before
    /// it is released.
    LateGrant,
    /// A call whose claim was not granted in time is not reported as "not run" if an earlier call
    /// with its key may have run.
    NotRunNeedsProof,
    /// A table edit is accepted only if it is based on the newest accepted version.
    EditBase,
    /// A snapshot of the table is used only after another log record confirms it.
    SnapshotConfirmed,
    /// A table or policy that is not newer than the one that the instance applies is ignored.
    VersionMonotone,
    /// A failed attempt is retried only if the retry budget allows it.
    RetryBudget,
    /// A backend server that itself, the platform or an operator reported as leaving receives no
    /// new calls.
    Leaving,
    /// Content that was running on several servers when they crashed is rejected.
    Quarantine,
    /// Traffic is split between the variants (model versions or route rows) that can serve a
    /// request by their accumulated credit, which their weights determine.
    Shares,
    /// An account's token bucket limits its rate of requests or usage units.
    AccountLimit,
    /// An entry instance that sends no heartbeats is probed before it is declared dead.
    AskBeforeDeath,
    /// Updates of the membership (the list of entry instances) that do not take precedence over the
    /// known state are ignored: those of an earlier epoch, or of the same epoch and an earlier
    /// state.
    EpochOrder,
}

/// All safeguards, for runs that disable each in turn.
pub const SAFEGUARDS: [Safeguard; 15] = [
    Safeguard::FirstClaimWins,
    Safeguard::KeyWindow,
    Safeguard::SentIsUnknown,
    Safeguard::LateGrant,
    Safeguard::NotRunNeedsProof,
    Safeguard::EditBase,
    Safeguard::SnapshotConfirmed,
    Safeguard::VersionMonotone,
    Safeguard::RetryBudget,
    Safeguard::Leaving,
    Safeguard::Quarantine,
    Safeguard::Shares,
    Safeguard::AccountLimit,
    Safeguard::AskBeforeDeath,
    Safeguard::EpochOrder,
];

#[cfg(feature = "sabotage")]
mod switches {
    use super::Safeguard;

    use std::sync::atomic::AtomicU32;
    use std::sync::atomic::Ordering;

    static DISABLED: AtomicU32 = AtomicU32::new(0);

    /// Disables or enables a safeguard for the whole process.
    pub fn set_disabled(safeguard: Safeguard, disabled: bool) {
        let bit = 1 << safeguard as u32;
        match disabled {
            true => DISABLED.fetch_or(bit, Ordering::Relaxed),
            false => DISABLED.fetch_and(!bit, Ordering::Relaxed),
        };
    }

    /// Returns true if [`set_disabled`] disabled the safeguard; each call reads the current state.
    pub fn is_disabled(safeguard: Safeguard) -> bool {
        DISABLED.load(Ordering::Relaxed) & (1 << safeguard as u32) != 0
    }
}

#[cfg(not(feature = "sabotage"))]
mod switches {
    use super::Safeguard;

    /// Always false: safeguards can only be disabled with the feature `sabotage`.
    pub const fn is_disabled(_: Safeguard) -> bool {
        false
    }
}

pub use switches::*;
