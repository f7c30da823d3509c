//! Chooses when calls that were rejected for lack of capacity come back.
//!
//! The load pattern that this is designed for: in a burst of some seconds, hundreds of calls per
//! second are rejected, and each caller retries once, after the `Retry-After` of its rejection. If
//! all came back at the time at which the wait falls below the limit, they would exceed it at once
//! and be rejected for good. The calls that an instance rejects therefore come back one after the
//! other, at the rate at which its share of the capacity becomes free.

use super::*;

/// Shortest time after which a rejected call comes back; shorter ones are lost in the delay of what
/// instances know of each other's load.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// Part of a caller's time left up to which it honours a `Retry-After`.
const RETRY_AFTER_PART: f64 = 1.0 / 3.0;

/// Rejected call that may come back.
#[derive(Debug, Clone, PartialEq)]
pub struct ReturnQuery<'a> {
    /// Time that the call's own prefill takes.
    pub own_prefill: Duration,
    /// Service that the call was addressed to.
    pub service: &'a ServiceName,
    /// Target latency of the call's route.
    pub target: Duration,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Prompt tokens that have to be prefilled.
    pub tokens: f64,
    /// Expected time until the answer would have begun.
    pub wait: Duration,
}

/// Times at which the calls that one instance rejected come back.
#[derive(Debug, Default)]
pub struct OverloadReturns {
    services: HashMap<ServiceName, ServiceReturns>,
}

#[derive(Debug, Default)]
struct ServiceReturns {
    /// Time at which the next rejected call may come back.
    next_at: Duration,
    /// This instance's share of the service's capacity in prompt tokens per second; 0 if it is not
    /// known.
    share_tokens_per_s: f64,
}

impl OverloadReturns {
    /// Sets the share of a service's capacity that this instance has, in prompt tokens per second.
    pub fn set_share(&mut self, service: &ServiceName, tokens_per_s: f64) {
        let returns = self.services.entry(service.clone()).or_default();
        returns.share_tokens_per_s = tokens_per_s;
    }

    /// Returns the time after which a rejected call comes back, as its wait was over `limit`. Calls
    /// that would have to come back later than their callers honour come back as late as these do,
    /// in the order of their arrival.
    pub fn retry_after(
        &mut self,
        now: Duration,
        query: &ReturnQuery<'_>,
        limit: Duration,
    ) -> Duration {
        let honoured = query.time_left.mul_f64(RETRY_AFTER_PART);
        let on_time = query.target.saturating_sub(limit);
        let longest = honoured.min(on_time).max(RETRY_AFTER_MIN);
        let until_free = query.wait.saturating_sub(limit).max(RETRY_AFTER_MIN);
        let returns = self.services.entry(query.service.clone()).or_default();
        let return_at = (now + until_free).max(returns.next_at);
        if return_at > now + longest {
            return longest;
        }
        let share_time_s = query.tokens / returns.share_tokens_per_s;
        let share_time = Duration::try_from_secs_f64(share_time_s).unwrap_or_default();
        returns.next_at = return_at + share_time.min(longest);
        return_at - now
    }

    /// Returns the time until the backlog is gone, for a call that cannot come back in time.
    pub fn until_backlog_is_gone(query: &ReturnQuery<'_>) -> Duration {
        let backlog = query.wait.saturating_sub(query.own_prefill);
        backlog.max(RETRY_AFTER_MIN)
    }
}
