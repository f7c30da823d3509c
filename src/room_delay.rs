//! Time that digests spent on their way or in the socket of a receiver that was frozen.
//!
//! The fault pattern that this is designed for: an instance is frozen for seconds and resumes. Its
//! socket has kept the digests that came meanwhile, and without a correction their contents would be
//! taken for new. Clocks of instances have no common start, so the delay is measured against the
//! fastest digest of the same process.

use super::*;

/// Time without digests after which a peer is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Rate, in milliseconds per second, at which the fastest digest's delay is raised, so that clocks
/// which drift apart do not look like a growing delay. Clocks drift by less than a tenth of it.
const DRIFT_MS_PER_S: f64 = 1.0;

#[derive(Debug)]
struct Fastest {
    life: u64,
    /// Difference between the clocks of receiver and sender in milliseconds, plus the delay of the
    /// fastest digest.
    offset_ms: f64,
    seen_at: Duration,
}

/// Delays of the digests of all peers.
#[derive(Debug, Default)]
pub struct ArrivalDelays {
    fastest: HashMap<InstanceName, Fastest>,
}

impl ArrivalDelays {
    /// Returns the time at which a digest that is read at `now` would have arrived without a delay.
    /// `sent` is its send time by the clock of the peer's process, which `life` identifies.
    pub fn arrived_at(
        &mut self,
        now: Duration,
        peer: &InstanceName,
        life: u64,
        sent: Duration,
    ) -> Duration {
        let offset_ms = (now.as_secs_f64() - sent.as_secs_f64()) * 1_000.0;
        let seen = Fastest {
            life,
            offset_ms,
            seen_at: now,
        };
        let Some(fastest) = self.fastest.get_mut(peer) else {
            self.fastest.insert(peer.clone(), seen);
            return now;
        };
        if fastest.life != life {
            *fastest = seen;
            return now;
        }
        let elapsed = now.saturating_sub(fastest.seen_at).as_secs_f64();
        fastest.offset_ms += elapsed * DRIFT_MS_PER_S;
        fastest.offset_ms = fastest.offset_ms.min(offset_ms);
        fastest.seen_at = now;
        let delay_ms = offset_ms - fastest.offset_ms;
        now.saturating_sub(Duration::from_secs_f64(delay_ms / 1_000.0))
    }

    /// Forgets the peers that sent nothing for a minute.
    pub fn expire(&mut self, now: Duration) {
        self.fastest
            .retain(|_, fastest| now.saturating_sub(fastest.seen_at) < FORGET_AFTER);
    }
}
