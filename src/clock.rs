//! Reads the boot-time clock and the system clock. Timeouts that must also run while the process or
//! machine is suspended use [`boot_time`].

use super::*;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use tokio::time::Instant as TokioInstant;
use tokio::time::timeout_at;

/// Returns the time since the machine booted. Unlike the monotonic clock, it includes the time for
/// which the machine was suspended; both include the time for which the process was stopped.
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        time.tv_sec.unsigned_abs(),
        time.tv_nsec.unsigned_abs() as u32,
    )
}

/// Awaits `future` until `deadline`; returns `None` once it has passed. `timeout_at` alone never fails
/// if the future is ready each time, as a read is from a server that sends without a pause.
pub(crate) async fn before<F: Future>(deadline: TokioInstant, future: F) -> Option<F::Output> {
    if TokioInstant::now() >= deadline {
        return None;
    }
    timeout_at(deadline, future).await.ok()
}

/// Returns the system time in milliseconds since the Unix epoch; 0 if the clock is set to an
/// earlier time.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
