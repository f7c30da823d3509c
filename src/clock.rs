//! Clocks. Timeouts that must not be extended by a suspended process or machine use
//! [`boot_time`].

use super::*;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Time since the machine booted. Unlike the monotonic clock, it includes the time for which the
/// machine was suspended; both include the time for which the process was stopped.
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        time.tv_sec.unsigned_abs(),
        time.tv_nsec.unsigned_abs() as u32,
    )
}

/// System time in milliseconds since the Unix epoch; 0 if the clock is set to an earlier time.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
