//! Overload control of one instance: decides whether a call is sent while its service lacks
//! capacity, by its expected wait ([`overload_admission`]), the share of its account
//! ([`overload_shares`]) and how often calls like it were served ([`overload_ageing`]), and when a
//! rejected call comes back ([`overload_returns`]).

use super::*;

/// First attempt of a call to a service with engines, before it is sent.
#[derive(Debug, Clone, PartialEq)]
pub struct OverloadCall<'a> {
    /// Account of the call; empty if it has none.
    pub account: &'a AccountName,
    /// Properties of the call; `above_share` and `aged` are determined by the decision.
    pub admission: AdmissionQuery<'a>,
    /// Length of the whole prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that have to be prefilled.
    pub tokens: f64,
    /// Prompt tokens that a server prefills per millisecond.
    pub tokens_per_ms: f64,
    /// Units that were charged to the account's limit.
    pub units: f64,
}

/// Decision on a call, with what it was based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverloadDecision {
    /// True if the demand of the call's account is above its fair share.
    pub above_share: bool,
    /// Whether the call is served.
    pub admission: Admission,
    /// True if the call's wait is limited by its deadline alone, because calls like it were served
    /// rarely.
    pub aged: bool,
    /// Time after which the call comes back if it is rejected.
    pub retry_after: Duration,
    /// Expected time until the answer begins.
    pub wait: Duration,
}

/// State of overload control at one instance.
#[derive(Debug, Default)]
pub struct OverloadControl {
    /// Decides by the expected wait.
    pub admission: OverloadAdmission,
    ageing: OverloadAgeing,
    returns: OverloadReturns,
    shares: OverloadShares,
}

impl OverloadControl {
    /// Decides on a call of a service with engines; `idle_wait` is as of
    /// [`OverloadAdmission::decide`].
    pub fn decide(
        &mut self,
        now: Duration,
        call: &OverloadCall<'_>,
        idle_wait: impl FnOnce() -> Option<Duration>,
    ) -> OverloadDecision {
        let ageing_query = AgeingQuery {
            account: call.account,
            prompt_tokens: call.prompt_tokens,
            route: call.admission.route,
            service: call.admission.service,
        };
        let above_share = self.shares.is_above(call.admission.service, call.account);
        let aged = self.ageing.is_owed(&ageing_query);
        let query = AdmissionQuery {
            above_share,
            aged,
            ..call.admission.clone()
        };
        let admission = self.admission.decide(now, &query, idle_wait);
        let served = admission.outcome == AdmissionOutcome::Served;
        let returned = admission.returned;
        self.ageing.record(now, &ageing_query, returned, served);
        let (service, account) = (call.admission.service, call.account);
        self.shares
            .record(now, service, account, call.tokens, call.units, served);
        let return_query = ReturnQuery {
            own_prefill: duration_from_ms(call.tokens / call.tokens_per_ms),
            service,
            target: query.target,
            time_left: query.time_left,
            tokens: call.tokens,
            wait: query.wait,
        };
        let retry_after = match admission.outcome {
            AdmissionOutcome::Served => Duration::ZERO,
            AdmissionOutcome::RejectedWait => {
                self.returns
                    .retry_after(now, &return_query, admission.limit)
            }
            AdmissionOutcome::RejectedBusy | AdmissionOutcome::RejectedTimeLeft => {
                OverloadReturns::until_backlog_is_gone(&return_query)
            }
        };
        OverloadDecision {
            above_share,
            admission,
            aged,
            retry_after,
            wait: query.wait,
        }
    }

    /// Decides on a call of a service without engines, as
    /// [`OverloadAdmission::decide_plain`] does.
    pub fn decide_plain(
        &self,
        service: &ServiceName,
        calls_per_slot: f64,
        time_left: Duration,
    ) -> OverloadDecision {
        let (wait, admission) = self
            .admission
            .decide_plain(service, calls_per_slot, time_left);
        let return_query = ReturnQuery {
            own_prefill: Duration::ZERO,
            service,
            target: Duration::ZERO,
            time_left,
            tokens: 0.0,
            wait,
        };
        let retry_after = match admission.outcome {
            AdmissionOutcome::Served => Duration::ZERO,
            _ => OverloadReturns::until_backlog_is_gone(&return_query),
        };
        OverloadDecision {
            above_share: false,
            admission,
            aged: false,
            retry_after,
            wait,
        }
    }

    /// Applies what is known of the demand for a service; called a few times per second.
    pub fn update(&mut self, now: Duration, service: &ServiceName, demand: &ServiceDemand<'_>) {
        self.ageing.expire(now);
        self.shares.update(now, service, demand);
        let share = demand.capacity_tokens_per_s * demand.own_part;
        self.returns.set_share(service, share);
    }
}

/// Converts milliseconds, of which an infinite number counts as none.
fn duration_from_ms(count: f64) -> Duration {
    Duration::try_from_secs_f64(count / 1_000.0).unwrap_or_default()
}
