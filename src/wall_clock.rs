//! Estimate of the true time of day on a machine whose clock may step.
//!
//! The time of day is taken once and carried on by the clock that never steps. Peers' estimates
//! correct it: the median of all is right as long as most machines were right when they started.

use super::*;

/// Peers' estimates older than this are not used.
const PEER_TTL: Duration = Duration::from_secs(10);

/// Differences below this are left alone: they are time on the way.
const TOLERANCE_MS: i64 = 50;

/// Estimate of the time since 1970.
#[derive(Debug)]
pub struct WallClock {
    /// Time since 1970 minus the machine's running time, in milliseconds, as read at the start.
    base_ms: i64,
    /// Peers' bases with the time when they were told.
    peers: HashMap<InstanceName, (Duration, i64)>,
}

impl WallClock {
    /// Starts an estimate from the time of day read at `now`.
    pub fn new(now: Duration, unix: Duration) -> Self {
        Self {
            base_ms: unix.as_millis() as i64 - now.as_millis() as i64,
            peers: HashMap::new(),
        }
    }

    /// Takes a peer's estimate as it arrives.
    pub fn take_peer(&mut self, now: Duration, peer: &InstanceName, unix_ms: u64) {
        let base_ms = unix_ms as i64 - now.as_millis() as i64;
        self.peers.insert(peer.clone(), (now, base_ms));
        self.peers
            .retain(|_, (told_at, _)| now.saturating_sub(*told_at) < PEER_TTL);
    }

    /// Estimate to tell peers: the own one, so that errors do not go round.
    pub fn own_unix_ms(&self, now: Duration) -> u64 {
        (self.base_ms + now.as_millis() as i64).max(0) as u64
    }

    /// Estimate of the time since 1970.
    pub fn unix(&self, now: Duration) -> Duration {
        let mut bases: SmallVec<[i64; 16]> = self.peers.values().map(|(_, base)| *base).collect();
        bases.push(self.base_ms);
        bases.sort_unstable();
        let median = bases[bases.len() / 2];
        let base_ms = match (median - self.base_ms).abs() <= TOLERANCE_MS {
            true => self.base_ms,
            false => median,
        };
        Duration::from_millis((base_ms + now.as_millis() as i64).max(0) as u64)
    }
}
