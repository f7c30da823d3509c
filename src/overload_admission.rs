//! Decides whether a call is sent to a server or rejected at once while its service lacks capacity.
//!
//! The load pattern that this is designed for: calls of one kind arrive at 2.1 to 2.6 times their
//! usual rate for 5 to 7 s, while engines are slow or were reclaimed. Without admission control,
//! calls of all kinds wait at the servers until their deadline, and most work is done for answers
//! that come late. A call that cannot be answered in time is therefore rejected before it is sent,
//! and calls that are not the most urgent of their service are rejected while the wait is so long
//! that their answers might miss the route's target. Calls that come back after a rejection are
//! accepted at longer waits than new ones, so that they are not rejected again and again.
//!
//! Nothing waits here: calls wait at the servers, which order them by priority.

use super::*;

/// Part of the target up to which new calls may wait. The rest covers errors of the estimated wait,
/// which is up to a second old, and is left for calls that come back.
const NEW_CALL_PART: f64 = 0.75;

/// Part of the target up to which calls that come back may wait.
const RETURNED_CALL_PART: f64 = 1.0;

/// Factor on the limit of an account above its fair share: its calls are accepted once those of the
/// others leave capacity.
const ABOVE_SHARE_FACTOR: f64 = 0.5;

/// A call counts as one that comes back if its time left at its arrival is under this part of the
/// largest of its route: callers send the time that is left of their deadline.
const RETURNED_TIME_PART: f64 = 0.85;

/// Time after a call was rejected for its wait during which less urgent calls are not accepted at
/// longer waits than calls like it.
const URGENT_REJECTED_TIME: Duration = Duration::from_secs(4);

/// Number of seconds over which the largest time left of a route's calls is taken.
const TIME_LEFT_SECONDS: usize = 10;

/// Calls for each slot of a server without engines above which it is busy.
pub const BUSY_CALLS_PER_SLOT: f64 = 4.0;

/// Weight of one answer in the average time that a call occupies a slot.
const SLOT_TIME_WEIGHT: f64 = 0.05;

/// Call that was placed but not sent yet, with what is known of its account and its service.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionQuery<'a> {
    /// True if the demand of the call's account is above its fair share of the service.
    pub above_share: bool,
    /// True if calls of this kind were served so rarely that only the deadline limits their wait.
    pub aged: bool,
    /// Time that the server needs for the answer to begin in addition to `wait`; `None` while it is
    /// not known how fast the servers are.
    pub answer_time: Option<Duration>,
    /// True if no calls of the service are more urgent.
    pub is_most_urgent: bool,
    /// Priority of the call; 0 is the most urgent.
    pub priority: u32,
    /// Name of the route.
    pub route: &'a SmolStr,
    /// Service that the call was addressed to.
    pub service: &'a ServiceName,
    /// Time until the answer has to begin to be on time; zero if the route has no target.
    pub target: Duration,
    /// Time until the deadline when the call arrived.
    pub time_given: Duration,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Shortest target of the call and of more urgent ones, as of
    /// [`ServicePriorities::limited_target`].
    pub urgent_target: Duration,
    /// Expected time until the answer begins, with the call's own prefill.
    pub wait: Duration,
}

/// Decision on a call, with what it was based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Admission {
    /// Longest wait at which the call would have been served.
    pub limit: Duration,
    /// Whether the call is served.
    pub outcome: AdmissionOutcome,
    /// True if the call seems to come back after a rejection.
    pub returned: bool,
}

/// Whether a call is served, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// The call is sent to a server.
    Served,
    /// All servers hold many calls, and the deadline would pass before one of them is free.
    RejectedBusy,
    /// The wait leaves no time for the answer to begin before the deadline.
    RejectedTimeLeft,
    /// The wait is over the limit of calls of this priority.
    RejectedWait,
}

impl AdmissionOutcome {
    /// Value of the log field and the metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::RejectedBusy | Self::RejectedTimeLeft | Self::RejectedWait => "rejected",
        }
    }

    /// Rule by which the call was rejected, for the log and the metric label; `none` if it is
    /// served.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Served => "none",
            Self::RejectedBusy => "servers_busy",
            Self::RejectedTimeLeft => "time_left",
            Self::RejectedWait => "wait_limit",
        }
    }

    /// Why the call was rejected, in words, for its caller.
    pub fn explanation(self) -> &'static str {
        match self {
            Self::Served => "it is served",
            Self::RejectedBusy => "all servers are busy until after its deadline",
            Self::RejectedTimeLeft => "its deadline would pass before the answer begins",
            Self::RejectedWait => "more urgent calls and those within their share go first",
        }
    }
}

/// Largest time left of a route's calls within each of the last seconds.
#[derive(Debug, Default)]
struct LargestTimeLeft {
    seconds: [(u64, Duration); TIME_LEFT_SECONDS],
}

impl LargestTimeLeft {
    /// Adds a call, and returns the largest time left of the last seconds.
    fn observe(&mut self, now: Duration, time_left: Duration) -> Duration {
        let second = now.as_secs();
        let entry = &mut self.seconds[second as usize % TIME_LEFT_SECONDS];
        match entry.0 == second {
            true => entry.1 = entry.1.max(time_left),
            false => *entry = (second, time_left),
        }
        let is_recent = |entry: &&(u64, Duration)| entry.0 + TIME_LEFT_SECONDS as u64 > second;
        let recent = self.seconds.iter().filter(is_recent);
        recent
            .map(|(_, largest)| *largest)
            .max()
            .unwrap_or(time_left)
    }
}

/// Decides on the calls of one instance.
#[derive(Debug, Default)]
pub struct OverloadAdmission {
    /// Time at which a call was last rejected for its wait, by service and priority.
    rejected_at: HashMap<ServiceName, BTreeMap<u32, Duration>>,
    /// Average time that a call occupies a slot, in milliseconds, by service without engines.
    slot_times_ms: HashMap<ServiceName, f64>,
    times_left: HashMap<SmolStr, LargestTimeLeft>,
}

impl OverloadAdmission {
    /// Decides on a call of a service with engines. `idle_wait` returns the shortest wait at an idle
    /// server, and is called only if the call would be rejected: while an idle server could run it
    /// in time, it is served.
    pub fn decide(
        &mut self,
        now: Duration,
        query: &AdmissionQuery<'_>,
        idle_wait: impl FnOnce() -> Option<Duration>,
    ) -> Admission {
        let times_left = self.times_left.entry(query.route.clone()).or_default();
        let largest = times_left.observe(now, query.time_given);
        let returned = query.time_given < largest.mul_f64(RETURNED_TIME_PART);
        let answer_time = query.answer_time.unwrap_or_default();
        let deadline_limit = query.time_left.saturating_sub(answer_time);
        // Without a target no answer is late before its deadline.
        let has_deadline_only = query.is_most_urgent || query.aged || query.target.is_zero();
        let limit = match has_deadline_only {
            true => deadline_limit,
            false => self.wait_limit(now, query, returned).min(deadline_limit),
        };
        let mut outcome = match () {
            () if query.wait > deadline_limit => AdmissionOutcome::RejectedTimeLeft,
            () if query.wait > limit => AdmissionOutcome::RejectedWait,
            () => AdmissionOutcome::Served,
        };
        // Without an estimate of how fast the servers are, the prefill at an idle one may be much
        // shorter than assumed.
        if outcome != AdmissionOutcome::Served
            && let Some(idle_wait) = idle_wait()
            && (idle_wait <= deadline_limit || query.answer_time.is_none())
        {
            outcome = AdmissionOutcome::Served;
        }
        if outcome == AdmissionOutcome::RejectedWait {
            let of_service = self.rejected_at.entry(query.service.clone()).or_default();
            of_service.insert(query.priority, now);
        }
        Admission {
            limit,
            outcome,
            returned,
        }
    }

    /// Decides on a call of a service without engines, whose least busy server holds
    /// `calls_per_slot`. Returns the expected wait with the decision.
    pub fn decide_plain(
        &self,
        service: &ServiceName,
        calls_per_slot: f64,
        time_left: Duration,
    ) -> (Duration, Admission) {
        let slot_time_ms = self.slot_times_ms.get(service).copied();
        let wait_ms = calls_per_slot * slot_time_ms.unwrap_or_default();
        let wait = Duration::from_secs_f64(wait_ms / 1_000.0);
        let outcome = match calls_per_slot > BUSY_CALLS_PER_SLOT && wait > time_left {
            true => AdmissionOutcome::RejectedBusy,
            false => AdmissionOutcome::Served,
        };
        let admission = Admission {
            limit: time_left,
            outcome,
            returned: false,
        };
        (wait, admission)
    }

    /// Records how long the answer to a call of a service without engines took to begin at a server
    /// that held `calls_per_slot` with it. Calls beyond the slots wait for those before them.
    pub fn record_plain_answer(
        &mut self,
        service: &ServiceName,
        calls_per_slot: f64,
        elapsed: Duration,
    ) {
        let sample_ms = elapsed.as_secs_f64() * 1_000.0 / calls_per_slot.max(1.0);
        match self.slot_times_ms.get_mut(service) {
            Some(average_ms) => *average_ms += (sample_ms - *average_ms) * SLOT_TIME_WEIGHT,
            None => {
                self.slot_times_ms.insert(service.clone(), sample_ms);
            }
        }
    }

    /// Returns the longest wait at which a call that is not the most urgent is accepted. Calls of a
    /// longer target may wait longer as long as no more urgent ones are rejected for their wait.
    fn wait_limit(&self, now: Duration, query: &AdmissionQuery<'_>, returned: bool) -> Duration {
        let of_service = self.rejected_at.get(query.service).into_iter();
        let mut more_urgent =
            of_service.flat_map(|by_priority| by_priority.range(..query.priority));
        let target = match more_urgent.any(|(_, at)| now.saturating_sub(*at) < URGENT_REJECTED_TIME)
        {
            true => query.urgent_target,
            false => query.target,
        };
        let part = match returned {
            true => RETURNED_CALL_PART,
            false => NEW_CALL_PART,
        };
        let factor = match query.above_share {
            true => ABOVE_SHARE_FACTOR,
            false => 1.0,
        };
        target.mul_f64(part * factor)
    }
}
