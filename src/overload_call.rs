//! Use of overload control for the first attempt of a call: gathers what the decision needs, logs
//! and counts it, and rejects the call or places it.

use super::*;

use tokio::time::Instant as TokioInstant;

/// One in this many calls that are served is logged.
const SERVED_PER_LOG_LINE: u64 = 64;

/// Shortest time after which a rejected call is asked to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

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
        let policy_state = self.serving.policy.borrow();
        let Some(policy) = policy_state.in_force() else {
            return Ok(());
        };
        let Some(service) = policy.service(&self.service) else {
            return Ok(());
        };
        let time_left = self.deadline.saturating_duration_since(TokioInstant::now());
        let mut overload = self.serving.overload.borrow_mut();
        let (wait, admission) = match (&self.call.prompt, service.engine) {
            (Some(_), Some(_)) => {
                let priorities = policy.service_priorities(&self.service);
                let Some(priorities) = priorities.filter(|known| known.has_several()) else {
                    return Ok(());
                };
                let target = self.route.target_latency;
                let admission_query = AdmissionQuery {
                    above_share: false,
                    aged: false,
                    answer_time: fleet.answer_time(&self.service),
                    is_most_urgent: priorities.is_most_urgent(self.priority),
                    route: &self.route.name,
                    target: priorities.limited_target(self.priority, target),
                    time_given: self.deadline.saturating_duration_since(self.received_at),
                    time_left,
                    wait: estimate.wait,
                };
                let admission =
                    overload.decide(now, &admission_query, || fleet.idle_wait(now, query));
                (estimate.wait, admission)
            }
            (None, None) if policy.has_priorities() => {
                let calls_per_slot = fleet.fewest_calls_per_slot(now, query);
                overload.decide_plain(&self.service, calls_per_slot, time_left)
            }
            (None, _) | (Some(_), None) => return Ok(()),
        };
        let retry_after = wait
            .saturating_sub(admission.limit)
            .min(time_left / 3)
            .max(RETRY_AFTER_MIN);
        self.serving.metrics.admission(admission.outcome);
        let age = fleet.load_age(now, &estimate.server);
        self.log_admission(wait, &admission, age, retry_after);
        if admission.outcome == AdmissionOutcome::Served {
            return Ok(());
        }
        // Calls that come back were counted when they were first rejected.
        if !admission.returned {
            fleet.count_unplaced(now, query);
        }
        Err(Error::LackOfCapacity {
            reason: admission.outcome.explanation(),
            retry_after_ms: retry_after.as_millis() as u64,
            subject: Subject::Service(self.service.clone()),
        })
    }

    fn log_admission(
        &self,
        wait: Duration,
        admission: &Admission,
        age: Duration,
        retry_after: Duration,
    ) {
        let is_rejected = admission.outcome != AdmissionOutcome::Served;
        if !is_rejected && !self.whole.is_multiple_of(SERVED_PER_LOG_LINE) {
            return;
        }
        let retry_after_ms = match is_rejected {
            true => retry_after.as_millis(),
            false => 0,
        };
        info!(
            "admit request={} service={} route={} account={} priority={} wait_ms={} limit_ms={} \
             returned={} age_ms={} outcome={} reason={} retry_after_ms={retry_after_ms}",
            self.call.request_id,
            self.service,
            self.route.name,
            self.account.as_deref().unwrap_or_default(),
            self.priority,
            wait.as_millis(),
            admission.limit.as_millis(),
            admission.returned,
            age.as_millis(),
            admission.outcome.as_str(),
            admission.outcome.reason(),
        );
    }
}
