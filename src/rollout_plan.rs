//! Steps of a rollout, which the holder of the duties decides on and every instance follows.
//!
//! The fault pattern that this is designed for: the holder changes in the middle of any step;
//! reports of instances are missing, old, or of an earlier step; instances are cut off from the
//! store or their peers; orders come twice; the store is restored from an older copy. All that a
//! holder has to know of the past is the newest record, so that the next one continues from it. A
//! step is decided here, written to the store, and acted on after that.
//!
//! The old servers are stopped at once when a rollout is completed. An instance therefore counts as
//! finished with them only if it said so after it learned that it may not use them, or if it must
//! have stopped by itself, because what it knows is too old and its calls have timed out. That needs
//! the instance to know of the order; one that was cut off before it stops when its policy is too
//! old, and calls that are served without a policy in force (of anonymous routes) are not covered.

use super::*;

/// Part of the duration after which an instance whose knowledge is too old sends nothing to old
/// servers, and for which a version is observed: it may turn bad later than at once.
pub const OBSERVE_FRACTION: f64 = 0.6;

/// Part of the duration after which a version that is neither shown to be good nor bad is rolled
/// back. The rest is needed to end the calls at the old servers.
const OPEN_FRACTION: f64 = 0.8;

/// Part of the duration after which there has to be a server of the target version.
const TARGET_FRACTION: f64 = 0.5;

/// Longest age of what an instance knows of a rollout at which it still sends calls by it.
pub const KNOWLEDGE_AGE_MAX: Duration = Duration::from_secs(2);

/// Time after a restore of the store in which no step is decided, so that newer records which the
/// store has lost arrive from the instances that know them.
const RESTORE_SETTLE: Duration = Duration::from_secs(2);

/// Time after which an instance that is cut off from the store and does not know of the order sends
/// no calls, because its policy is too old; the usual edit time is below it.
const UNAWARE_TIME: Duration = Duration::from_secs(6);

/// What the instances do in a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RolloutStep {
    /// A share of the calls goes to the new version.
    Observing,
    /// All new calls go to the new version; calls at old servers end.
    Draining,
    /// Nothing runs at an old server, and nothing will be sent there.
    Completed,
    /// All calls go to the old version; the version is not used for this order again.
    RolledBack,
}

impl RolloutStep {
    /// Returns true if no step of the same order follows.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// A step of one service, as the records hold it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NumberedStep {
    /// Number of the step, higher than those of all earlier steps of the service in any order.
    pub number: u64,
    /// Offset of the order's record.
    pub order: LogOffset,
    /// Why the version was rolled back; empty for other steps.
    pub reason: SmolStr,
    /// What the instances do.
    pub step: RolloutStep,
}

impl NumberedStep {
    /// Returns true if this step replaces `other`: it has the higher number. Two steps have the same
    /// number only if the store lost one in a restore before the other was written, and no instance
    /// that knows of it reached its peers meanwhile; then the later one in the order of
    /// [`RolloutStep`] counts, so that all agree and a rollback stays.
    pub fn replaces(&self, other: &Self) -> bool {
        (self.number, self.order, self.step) > (other.number, other.order, other.step)
    }
}

/// What an instance last reported of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepReport {
    /// Time since the instance sent the report.
    pub age: Duration,
    /// Start time of the process that sent it, in milliseconds since 1970.
    pub life: u64,
    /// Calls of the instance that run at old servers, or that were accepted and may be sent there.
    pub old_running: u32,
    /// Number of the newest step that the instance knew.
    pub step_number: u64,
}

/// An instance that may send calls to the service, as the holder knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutInstance {
    /// True if its peers have heard from it within the last 4 s.
    pub is_live: bool,
    /// Start time of its newest process that is known, in milliseconds since 1970; 0 if unknown.
    pub life: u64,
    /// Name of the instance.
    pub name: InstanceName,
    /// Its newest report; `None` if it sent none.
    pub report: Option<StepReport>,
}

/// What the next step is decided by.
#[derive(Debug, Clone)]
pub struct PlanInputs<'a> {
    /// All instances in the log and those that sent digests, including this one. One that the
    /// platform says has ended is left out.
    pub instances: &'a [RolloutInstance],
    /// Time since the start of the read of the log that listed the instances.
    pub instances_age: Duration,
    /// Longest timeout of the service's routes.
    pub longest_timeout: Duration,
    /// Time since the order was written.
    pub order_age: Duration,
    /// Time since the last restore of the store; `None` if there was none.
    pub restored_age: Option<Duration>,
    /// Time since the newest step was written.
    pub step_age: Duration,
    /// Number of servers of the target version that are not leaving.
    pub target_servers: usize,
    /// Verdict on the version so far.
    pub verdict: &'a RolloutVerdict,
}

/// Steps of one service as the holder, or any other instance, knows them.
#[derive(Debug, Default)]
pub struct RolloutPlan {
    newest: Option<NumberedStep>,
}

impl RolloutPlan {
    /// Applies a step that was read from the store or that another instance knows. Returns false
    /// and keeps the known one if that is newer or the same: step numbers never fall here.
    pub fn observe(&mut self, step: NumberedStep) -> bool {
        if let Some(newest) = &self.newest
            && !step.replaces(newest)
        {
            return false;
        }
        self.newest = Some(step);
        true
    }

    /// Returns the newest step that is known. After a restore of the store it is written again if
    /// the store holds an older one or none.
    pub fn newest(&self) -> Option<&NumberedStep> {
        self.newest.as_ref()
    }

    /// Returns the first step of an order that passed its checks; `None` if the order has been
    /// begun already, or another one has not ended.
    pub fn begin(&self, order: LogOffset) -> Option<NumberedStep> {
        let newest = self.newest.as_ref();
        if newest.is_some_and(|newest| !newest.step.is_final() || newest.order >= order) {
            return None;
        }
        Some(NumberedStep {
            number: newest.map_or(0, |newest| newest.number) + 1,
            order,
            reason: SmolStr::default(),
            step: RolloutStep::Observing,
        })
    }

    /// Decides on the step that follows the newest one; `None` if that stays in force. The caller
    /// writes it to the store, and passes it to [`observe`](Self::observe) after that.
    pub fn next_step(&self, order: &RolloutOrder, inputs: &PlanInputs<'_>) -> Option<NumberedStep> {
        let newest = self.newest.as_ref()?;
        if newest.step.is_final() {
            return None;
        }
        let is_settled = inputs.restored_age.is_none_or(|age| age >= RESTORE_SETTLE);
        if !is_settled {
            return None;
        }
        let (step, reason) = match rollback_reason(newest.step, order, inputs) {
            Some(reason) => (RolloutStep::RolledBack, reason),
            None => (following_step(newest, order, inputs)?, SmolStr::default()),
        };
        let next = NumberedStep {
            number: newest.number + 1,
            order: newest.order,
            reason,
            step,
        };
        assert!(next.number > newest.number, "step numbers grow");
        assert!(
            !newest.step.is_final(),
            "a final step is the last of its order"
        );
        Some(next)
    }
}

/// Time after the order from which an instance whose knowledge is too old sends nothing to old
/// servers.
pub fn not_before(duration: Duration) -> Duration {
    duration.mul_f64(OBSERVE_FRACTION)
}

/// Reason to go back to the old version; `None` if there is none.
fn rollback_reason(
    step: RolloutStep,
    order: &RolloutOrder,
    inputs: &PlanInputs<'_>,
) -> Option<SmolStr> {
    if let RolloutVerdict::Bad { reason, .. } = inputs.verdict {
        return Some(reason.clone());
    }
    let is_past = |fraction: f64| inputs.order_age >= order.duration.mul_f64(fraction);
    if inputs.target_servers == 0 && is_past(TARGET_FRACTION) {
        let target = &order.target;
        return Some(format!("no server of version {target}; start them and order again").into());
    }
    if step == RolloutStep::Observing
        && is_past(OPEN_FRACTION)
        && *inputs.verdict == RolloutVerdict::Open
    {
        return Some("too few answers to tell good from bad; order a longer duration".into());
    }
    None
}

fn following_step(
    newest: &NumberedStep,
    order: &RolloutOrder,
    inputs: &PlanInputs<'_>,
) -> Option<RolloutStep> {
    let not_before = not_before(order.duration);
    if newest.step == RolloutStep::Observing {
        let is_good = *inputs.verdict == RolloutVerdict::Good && inputs.target_servers > 0;
        return (is_good && inputs.order_age >= not_before).then_some(RolloutStep::Draining);
    }
    // An instance that is not in the list may have been added since.
    if inputs.instances.is_empty() || inputs.instances_age > inputs.step_age {
        return None;
    }
    let since_not_before = inputs.order_age.saturating_sub(not_before);
    let stop_time = KNOWLEDGE_AGE_MAX.saturating_add(inputs.longest_timeout);
    let unaware_time = UNAWARE_TIME.saturating_add(inputs.longest_timeout);
    let has_stop_passed =
        inputs.step_age.min(since_not_before) >= stop_time && inputs.order_age >= unaware_time;
    let mut instances = inputs.instances.iter();
    let all_finished = instances.all(|known| known.is_finished(newest.number, has_stop_passed));
    all_finished.then(|| {
        let runs_old = |known: &RolloutInstance| known.may_run_old(newest.number);
        let is_safe = has_stop_passed || !inputs.instances.iter().any(runs_old);
        assert!(
            is_safe,
            "nothing runs at an old server when a rollout is completed"
        );
        RolloutStep::Completed
    })
}

impl RolloutInstance {
    /// Returns true unless the newest process that is known reported that it knows the step and runs
    /// nothing at old servers.
    fn may_run_old(&self, number: u64) -> bool {
        let report = self.report.filter(|report| report.life >= self.life);
        report.is_none_or(|report| report.step_number < number || report.old_running > 0)
    }

    /// Returns true if the instance runs nothing at old servers and sends nothing there any more.
    /// `has_stop_passed` is true if the time has passed after which an instance that does not know
    /// the step has stopped by itself.
    ///
    /// A report that names the step stays valid while the process lives, also if the instance has
    /// been silent since: it does not go back to an earlier step. A restarted process sends nothing
    /// before it has read the records.
    fn is_finished(&self, number: u64, has_stop_passed: bool) -> bool {
        if !self.may_run_old(number) {
            return true;
        }
        let report = self.report.filter(|report| report.life >= self.life);
        let runs_old = report.is_some_and(|report| {
            let is_silent = !self.is_live || report.age >= KNOWLEDGE_AGE_MAX;
            !is_silent && report.old_running > 0
        });
        has_stop_passed && !runs_old
    }
}
