//! What one attempt of a call says about the version of its server.
//!
//! The fault pattern that this is designed for: servers of both sides are reclaimed, refuse calls
//! for a while and lose callers while a version is judged; none of that is the version's fault.

use super::*;

use actix_http::StatusCode;

/// Part of a route's target latency that a call without a prompt is expected to take to its first
/// byte; placement only estimates the load of the server for it.
const PLAIN_EXPECTED_FRACTION: f64 = 0.25;

/// Attempt that is counted while it runs, and whose answer may be a sample for the verdict.
pub(crate) struct RolloutAttempt {
    counted: CountedAttempt,
    expected: Duration,
    failed: bool,
    first_byte: Option<Duration>,
    /// True if the server said why it refused the call: it is leaving or wants none for a while.
    has_notice: bool,
    /// True if this is the first attempt of its call. Others have less time left and, while a version
    /// is observed, go to the old side only.
    is_first: bool,
    /// True if the server is of a version that is being observed.
    is_observed: bool,
    route: SmolStr,
    server: ServerName,
}

impl RolloutAttempt {
    /// Begins to count an attempt; `None` if there are no rollouts.
    pub(crate) fn begin(
        serving: &ServingState,
        service: &ServiceName,
        route: &PolicyRoute,
        placed: &PlacedAttempt,
        is_first: bool,
    ) -> Option<Self> {
        let rollouts = serving.rollouts.as_ref()?;
        let version = serving.fleet.borrow().version_of(&placed.server);
        let usual = match route.call_kind {
            CallKind::Stream { .. } => Duration::ZERO,
            CallKind::AtMostOnce | CallKind::Idempotent => {
                route.target_latency.mul_f64(PLAIN_EXPECTED_FRACTION)
            }
        };
        let placement = rollouts.borrow().placement_of(service, &version);
        if let Some((step, side)) = placement {
            let side = match side {
                RolloutSide::New => "new",
                RolloutSide::Old => "old",
            };
            serving.metrics.rollout_attempt(step_name(step), side);
        }
        Some(Self {
            counted: rollouts.borrow_mut().begin_attempt(service, version),
            expected: expected_time(placed).max(usual),
            failed: false,
            first_byte: None,
            has_notice: false,
            is_first,
            is_observed: placement == Some((RolloutStep::Observing, RolloutSide::New)),
            route: route.name.clone(),
            server: placed.server.clone(),
        })
    }

    /// Returns true if the server is of a version that is being observed. Its times do not count for
    /// the estimate of the service's engines, which would hide that it is slow.
    pub(crate) fn is_observed(&self) -> bool {
        self.is_observed
    }

    /// Records the head of the answer, which arrived after `elapsed`.
    pub(crate) fn record_head(&mut self, elapsed: Duration, status: StatusCode, has_notice: bool) {
        self.first_byte = Some(elapsed);
        self.failed = status.is_server_error();
        self.has_notice = has_notice;
    }

    /// Records that the answer stalled or did not come in time.
    pub(crate) fn mark_failed(&mut self) {
        self.failed = true;
    }

    /// Ends the attempt with an outcome.
    pub(crate) fn end(self, serving: &ServingState, outcome: AttemptOutcome) {
        let Some(rollouts) = &serving.rollouts else {
            return;
        };
        let is_leaving = serving.fleet.borrow().process_of(&self.server).is_none();
        let sample = self.sample(outcome, is_leaving);
        let mut rollouts = rollouts.borrow_mut();
        rollouts.end_attempt(&self.counted, &self.route, &self.server, sample);
    }

    fn sample(&self, outcome: AttemptOutcome, is_leaving: bool) -> Option<AnswerSample> {
        if !self.is_first {
            return None;
        }
        let failed = (!is_leaving && !self.has_notice).then_some(AnswerSample::Failed);
        match outcome {
            AttemptOutcome::Broken | AttemptOutcome::Refused => failed,
            AttemptOutcome::Unreachable | AttemptOutcome::WrongServer => None,
            AttemptOutcome::Abandoned | AttemptOutcome::Completed if self.failed => failed,
            AttemptOutcome::Abandoned | AttemptOutcome::Completed => {
                self.first_byte.map(|first_byte| AnswerSample::Answered {
                    expected: self.expected,
                    first_byte,
                })
            }
        }
    }
}

/// Returns the time that placement expected until the answer begins. The learned speed of the server
/// is left out of it, since it would hide that a version is slow.
fn expected_time(placed: &PlacedAttempt) -> Duration {
    match placed.queue_ticket {
        Some(_) => placed.prefill_at_mean_speed,
        None => placed.wait_estimate,
    }
}
