//! Switches single safeguards off, so that tests can show that their checks find it. Without the
//! feature `sabotage` every safeguard is always on.

/// A safeguard that a check has to miss when it is off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u32)]
pub enum Safeguard {
    /// A second claim for a key is refused.
    FirstClaimWins,
    /// Keys older than the window are refused.
    KeyWindow,
    /// A call whose sending is in doubt is not sent again.
    SentIsUnknown,
    /// A grant that comes late is not used, and a claim is kept before it is released.
    LateGrant,
    /// A refusal before the grant is not called "not run".
    NotRunNeedsProof,
    /// An edit counts only against the version in force.
    EditBase,
    /// A snapshot counts only when confirmed.
    SnapshotConfirmed,
    /// An older version from a peer is not taken.
    VersionMonotone,
    /// A retry needs budget.
    RetryBudget,
    /// A leaving server gets no new work.
    Leaving,
    /// Content that crashed servers is refused.
    Quarantine,
    /// Shares follow the ledgers.
    Shares,
    /// An account's bucket bounds its requests.
    AccountLimit,
    /// A silent member is asked about before it is called dead.
    AskBeforeDeath,
    /// News of an earlier life is not taken.
    EpochOrder,
}

/// All safeguards, for runs that switch off each in turn.
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

    static OFF: AtomicU32 = AtomicU32::new(0);

    /// Switches a safeguard off or on.
    pub fn set_off(safeguard: Safeguard, off: bool) {
        let bit = 1 << safeguard as u32;
        match off {
            true => OFF.fetch_or(bit, Ordering::Relaxed),
            false => OFF.fetch_and(!bit, Ordering::Relaxed),
        };
    }

    /// True if a safeguard is off.
    pub fn is_off(safeguard: Safeguard) -> bool {
        OFF.load(Ordering::Relaxed) & (1 << safeguard as u32) != 0
    }
}

#[cfg(not(feature = "sabotage"))]
mod switches {
    use super::Safeguard;

    /// True if a safeguard is off; never, without the feature.
    pub const fn is_off(_: Safeguard) -> bool {
        false
    }
}

pub use switches::*;
