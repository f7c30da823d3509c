//! The clock for whatever must not outlive a pause of the process or its machine.

use super::*;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Time since the machine was started. Unlike the monotonic clock it counts the time for which
/// the machine was suspended; both count the time for which the process was stopped.
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        time.tv_sec.unsigned_abs(),
        time.tv_nsec.unsigned_abs() as u32,
    )
}

/// Time of day as the machine has it, in milliseconds since 1970; 0 on a clock before that.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
