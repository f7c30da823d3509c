//! Wall-clock estimate on a machine whose system clock may step.
//!
//! The system time is read once and advanced by the boot-time clock, which never steps. It is
//! corrected by the estimates of the peers, the other instances: the median of all estimates is
//! correct as long as the clocks of most machines were correct when their instances started.

use super::*;

/// Time after its receipt for which a peer's estimate is used.
const PEER_ESTIMATE_TTL: Duration = Duration::from_secs(10);

/// Largest difference in milliseconds between the median and this instance's own estimate that is
/// not corrected, since message delay alone can cause it.
const CLOCK_TOLERANCE_MS: i64 = 50;

/// Estimate of the time since the Unix epoch, from the system time at startup and the peers'
/// estimates.
#[derive(Debug)]
pub struct WallClock {
    /// Unix time minus boot time, in milliseconds, as read at startup.
    base_ms: i64,
    /// Unix time minus boot time, in milliseconds, by each peer's estimate, with the boot time of
    /// its receipt.
    peers: HashMap<InstanceName, (Duration, i64)>,
}

impl WallClock {
    /// Creates an estimate from the system time `unix`, which was read at boot time `now`.
    pub fn new(now: Duration, unix: Duration) -> Self {
        Self {
            base_ms: unix.as_millis() as i64 - now.as_millis() as i64,
            peers: HashMap::new(),
        }
    }

    /// Replaces the estimate of a peer, which arrived at boot time `now`, and drops expired ones.
    pub fn record_peer_estimate(&mut self, now: Duration, peer: &InstanceName, unix_ms: u64) {
        let base_ms = unix_ms as i64 - now.as_millis() as i64;
        self.peers.insert(peer.clone(), (now, base_ms));
        self.peers
            .retain(|_, (received_at, _)| now.saturating_sub(*received_at) < PEER_ESTIMATE_TTL);
    }

    /// Returns the estimate to send to peers, in milliseconds. It is not corrected by theirs, so
    /// that errors do not feed back.
    pub fn local_unix_ms(&self, now: Duration) -> u64 {
        (self.base_ms + now.as_millis() as i64).max(0) as u64
    }

    /// Returns the estimate of the time since the Unix epoch: the median of all estimates, or this
    /// instance's own if it differs by at most `CLOCK_TOLERANCE_MS`.
    pub fn unix(&self, now: Duration) -> Duration {
        let mut bases: SmallVec<[i64; 16]> = self.peers.values().map(|(_, base)| *base).collect();
        bases.push(self.base_ms);
        bases.sort_unstable();
        let median = bases[bases.len() / 2];
        let base_ms = match (median - self.base_ms).abs() <= CLOCK_TOLERANCE_MS {
            true => self.base_ms,
            false => median,
        };
        Duration::from_millis((base_ms + now.as_millis() as i64).max(0) as u64)
    }
}
