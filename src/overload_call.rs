//! Use of overload control for the first attempt of a call: gathers what the decision needs, logs
//! and counts it, and rejects the call or places it.

use super::*;

use tokio::time::Instant as TokioInstant;

/// One in this many calls that are served is logged.
const SERVED_PER_LOG_LINE: u64 = 64;

/// Age above which the demand that a peer reported is not used; a peer that is silent for longer
/// may be behind a network partition, whose side has its own servers.
const DEMAND_AGE_MAX: Duration = Duration::from_millis(1_500);

/// Number of digests of a peer that may be lost before its demand is no longer used, where digests
/// come more rarely.
const DEMAND_DIGESTS: u32 = 2;

impl Exchange {
    /// Places an attempt. The first attempt of a call is rejected before it is placed if its service
    /// lacks capacity for it.
    pub(crate) fn place_admitted(
        &self,
        now: Duration,
        query: &PlacementQuery<'_>,
    ) -> Result<PlacedAttempt> {
        let mut fleet = self.serving.fleet.borrow_mut();
        let estimate = fleet.estimate(now, query)?;
        if self.tried.is_empty() {
            self.admit(now, &mut fleet, query, &estimate)?;
        }
        Ok(fleet.commit(now, query, &estimate))
    }

    fn admit(
        &self,
        now: Duration,
        fleet: &mut Fleet,
        query: &PlacementQuery<'_>,
        estimate: &PlacementEstimate,
    ) -> Result {
        let Some(decision) = self.decide(now, fleet, query, estimate) else {
            return Ok(());
        };
        let admission = decision.admission;
        self.serving.metrics.admission(admission.outcome);
        let age = fleet.load_age(now, &estimate.server);
        self.log_admission(&decision, age);
        if admission.outcome == AdmissionOutcome::Served {
            return Ok(());
        }
        // Calls that come back were counted when they were first rejected.
        if !admission.returned {
            fleet.count_unplaced(now, query);
        }
        Err(Error::LackOfCapacity {
            reason: admission.outcome.explanation(),
            retry_after_ms: decision.retry_after.as_millis() as u64,
            subject: Subject::Service(self.service.clone()),
        })
    }

    /// Decides whether the call is sent; `None` if overload control is not in force for its service.
    fn decide(
        &self,
        now: Duration,
        fleet: &Fleet,
        query: &PlacementQuery<'_>,
        estimate: &PlacementEstimate,
    ) -> Option<OverloadDecision> {
        let policy_state = self.serving.policy.borrow();
        let policy = policy_state.in_force()?;
        let service = policy.service(&self.service)?;
        let time_left = self.deadline.saturating_duration_since(TokioInstant::now());
        let mut overload = self.serving.overload.borrow_mut();
        let prompt = match (&self.call.prompt, service.engine) {
            (Some(prompt), Some(_)) => prompt,
            (None, None) if policy.has_priorities() => {
                let calls_per_slot = fleet.fewest_calls_per_slot(now, query);
                return Some(overload.decide_plain(&self.service, calls_per_slot, time_left));
            }
            (None, _) | (Some(_), None) => return None,
        };
        let priorities = policy.service_priorities(&self.service)?;
        if !priorities.has_several() {
            return None;
        }
        let target = self.route.target_latency;
        let call = OverloadCall {
            account: &self.account.clone().unwrap_or_default(),
            admission: AdmissionQuery {
                above_share: false,
                aged: false,
                answer_time: fleet.answer_time(&self.service),
                is_most_urgent: priorities.is_most_urgent(self.priority),
                priority: self.priority,
                route: &self.route.name,
                service: &self.service,
                target,
                time_given: self.deadline.saturating_duration_since(self.received_at),
                time_left,
                urgent_target: priorities.limited_target(self.priority, target),
                wait: estimate.wait,
            },
            prompt_tokens: prompt.tokens,
            tokens: fleet.tokens_at(query, estimate),
            tokens_per_ms: fleet.prefill_estimate(&self.service).tokens_per_ms,
            units: self.units,
        };
        Some(overload.decide(now, &call, || fleet.idle_wait(now, query)))
    }

    fn log_admission(&self, decision: &OverloadDecision, age: Duration) {
        let admission = &decision.admission;
        let is_rejected = admission.outcome != AdmissionOutcome::Served;
        if !is_rejected && !self.whole.is_multiple_of(SERVED_PER_LOG_LINE) {
            return;
        }
        info!(
            "admit request={} service={} route={} account={} priority={} wait_ms={} limit_ms={} \
             returned={} above_share={} aged={} age_ms={} outcome={} reason={} retry_after_ms={}",
            self.call.request_id,
            self.service,
            self.route.name,
            self.account.as_deref().unwrap_or_default(),
            self.priority,
            decision.wait.as_millis(),
            admission.limit.as_millis(),
            admission.returned,
            decision.above_share,
            decision.aged,
            age.as_millis(),
            admission.outcome.as_str(),
            admission.outcome.reason(),
            decision.retry_after.as_millis(),
        );
    }
}

impl ServingState {
    /// Updates overload control by what is known of the demand for each service; called in each
    /// round of digests.
    pub(crate) fn update_overload(&self, now: Duration) {
        let policy_state = self.policy.borrow();
        let Some(policy) = policy_state
            .in_force()
            .filter(|policy| policy.has_priorities())
        else {
            return;
        };
        let peers = self.peers.borrow();
        let age_max = DEMAND_AGE_MAX.max(peers.digest_interval() * DEMAND_DIGESTS);
        let asked_per_s = self.limits.borrow().asked_per_s(now, age_max);
        let fleet = self.fleet.borrow();
        let mut overload = self.overload.borrow_mut();
        for service in policy.services().filter(|service| service.engine.is_some()) {
            let demand = ServiceDemand {
                accounts: &policy.accounts,
                asked_per_s: &asked_per_s,
                capacity_tokens_per_s: fleet.prefill_capacity(now, &service.name),
                instances: peers.known_count() + 1,
                own_part: fleet.own_part(now, &service.name),
            };
            overload.update(now, &service.name, &demand);
        }
    }
}
