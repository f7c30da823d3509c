//! Records of the topic of rollouts, one for each service: the newest step of its rollouts, and what
//! has to be known of earlier ones.
//!
//! The fault pattern that this is designed for: the holder of the duties ends at any time, and the
//! next one continues from the record alone; and the log is restored from an older copy, after which
//! an order that was handled appears once more at a higher offset.

use super::*;

use prost::Message;

/// Topic that holds the newest step of each service's rollouts; the key is the service.
pub const ROLLOUTS_TOPIC: &str = "keyed.rollouts";

/// Operators' record that orders a rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRecord {
    /// Offset of the record.
    pub offset: LogOffset,
    /// The order, or why it is refused.
    pub order: Result<RolloutOrder, OrderRefusal>,
    /// Service that the record's key names.
    pub service: ServiceName,
    /// Version that the record names, also if the order is refused; empty if it names none.
    pub target: ServerVersion,
}

/// Refusal of the newest order of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedOrder {
    /// Why the order was refused.
    pub reason: SmolStr,
    /// Version that was ordered; empty if the order named none.
    pub target: ServerVersion,
}

/// Newest record of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRecord {
    /// Versions that get no calls: those that were rolled back or refused since `base` is in force.
    pub barred: SmallVec<[ServerVersion; 2]>,
    /// Version that was in force before the order, if a rollout had made it so.
    pub base: Option<ServerVersion>,
    /// Time from the order to its deadline.
    pub duration: Duration,
    /// Offset of the newest order that was accepted or refused.
    pub handled: LogOffset,
    /// The newest order, if it was refused.
    pub refused: Option<RefusedOrder>,
    /// Time since 1970 at which the order was written, as its first holder saw it.
    pub started_unix: Duration,
    /// The newest step.
    pub step: NumberedStep,
    /// Version to which the traffic moves; empty if no order was accepted yet.
    pub target: ServerVersion,
}

impl RolloutRecord {
    /// Creates the record of a service without rollouts, to which orders that are refused are added.
    pub fn empty() -> Self {
        Self {
            barred: SmallVec::new(),
            base: None,
            duration: Duration::ZERO,
            handled: 0,
            refused: None,
            started_unix: Duration::ZERO,
            step: NumberedStep {
                number: 0,
                order: 0,
                reason: SmolStr::default(),
                step: RolloutStep::RolledBack,
            },
            target: ServerVersion::default(),
        }
    }

    /// Returns true if a rollout of the service has not ended.
    pub fn is_running(&self) -> bool {
        !self.step.step.is_final()
    }

    /// Returns the order that was accepted last; `None` if there was none.
    pub fn order(&self, service: &ServiceName) -> Option<RolloutOrder> {
        (!self.target.is_empty()).then(|| RolloutOrder {
            duration: self.duration,
            service: service.clone(),
            target: self.target.clone(),
        })
    }

    /// Returns true if an order was accepted or refused before. After a restore of the log, an order
    /// with the same content as the newest one is taken for it.
    pub fn has_handled(&self, order: &OrderRecord) -> bool {
        if order.offset <= self.handled {
            return true;
        }
        if era_of(order.offset) == era_of(self.handled) || self.step.number == 0 {
            return false;
        }
        match (&self.refused, &order.order) {
            (Some(refused), _) => refused.target == order.target,
            (None, Ok(order)) => order.target == self.target && order.duration == self.duration,
            (None, Err(_)) => false,
        }
    }

    /// Returns the record of the first step of an order that was written at `started_unix`.
    pub fn begin(
        &self,
        order: &RolloutOrder,
        started_unix: Duration,
        step: NumberedStep,
    ) -> RolloutRecord {
        let mut record = self.clone();
        match self.step.step {
            RolloutStep::Completed => {
                record.base = Some(self.target.clone());
                record.barred.clear();
            }
            _ => record.bar(&self.target.clone()),
        }
        record.barred.retain(|version| *version != order.target);
        record.duration = order.duration;
        record.handled = step.order;
        record.refused = None;
        record.started_unix = started_unix;
        record.step = step;
        record.target = order.target.clone();
        record
    }

    /// Returns the record after an order that changes nothing: one that is refused, or one of the
    /// rollout that runs (`None`). `versions` are those of the servers that may get calls. The target
    /// of a refused order gets none, unless it is in force.
    pub fn with_handled(
        &self,
        order: &OrderRecord,
        refused: Option<RefusedOrder>,
        versions: &[ServerVersion],
    ) -> Self {
        let mut record = self.clone();
        record.handled = order.offset;
        record.step.number += 1;
        if let Some(refused) = refused {
            let in_use = match self.step.step {
                RolloutStep::RolledBack => self.base.as_ref(),
                _ => Some(&self.target),
            };
            let is_in_use = [in_use, self.base.as_ref()].contains(&Some(&refused.target));
            // If all servers have the version, it was in force before the order.
            if !is_in_use && versions.iter().any(|version| *version != refused.target) {
                record.bar(&refused.target);
            }
            record.refused = Some(refused);
        }
        record
    }

    /// Returns the record of the next step of the same order. An order that was refused while the
    /// rollout ran is no longer told of after its end.
    pub fn with_step(&self, step: NumberedStep) -> Self {
        Self {
            refused: None,
            step,
            ..self.clone()
        }
    }

    /// Time since 1970 from which an instance that cannot tell whether this record is the newest
    /// sends nothing to servers of other versions than the target.
    pub fn not_before_unix(&self) -> Duration {
        self.started_unix + not_before(self.duration)
    }

    /// Returns the rule for calls that are not to reach the target: the version before it, or all
    /// versions that were not barred.
    pub fn old_side(&self) -> VersionRule {
        match &self.base {
            Some(base) => VersionRule::Only(base.clone()),
            None => {
                let mut versions = self.barred.clone();
                if !self.target.is_empty() {
                    versions.push(self.target.clone());
                }
                VersionRule::Except(versions)
            }
        }
    }

    /// Returns the rule for calls once no rollout runs: the target after it was completed, and
    /// otherwise the old side.
    pub fn final_rule(&self) -> VersionRule {
        match self.step.step {
            RolloutStep::Completed => VersionRule::Only(self.target.clone()),
            _ => self.old_side(),
        }
    }

    /// Decodes the value of a record. Fails with [`Error::Parse`] if it is not a message of this
    /// type or has a step that this program does not know.
    pub fn decode(value: Bytes) -> Result<Self> {
        let invalid = |reason: String| Error::Parse {
            what: "rollout record",
            reason,
        };
        let wire =
            wire::RolloutRecord::decode(value).map_err(|error| invalid(error.to_string()))?;
        Self::try_from(wire).map_err(invalid)
    }

    /// Encodes the value of the record.
    pub fn encode(&self) -> Bytes {
        wire::RolloutRecord::from(self).encode_to_vec().into()
    }

    fn bar(&mut self, version: &ServerVersion) {
        if !version.is_empty() && !self.barred.contains(version) {
            self.barred.push(version.clone());
        }
    }
}

impl From<&RolloutRecord> for wire::RolloutRecord {
    fn from(record: &RolloutRecord) -> Self {
        let step = match record.step.step {
            RolloutStep::Observing => wire::RolloutStepKind::Observing,
            RolloutStep::Draining => wire::RolloutStepKind::Draining,
            RolloutStep::Completed => wire::RolloutStepKind::Completed,
            RolloutStep::RolledBack => wire::RolloutStepKind::RolledBack,
        };
        let refused = record.refused.as_ref();
        Self {
            order: record.step.order,
            target: record.target.to_string(),
            duration_ms: record.duration.as_millis() as u64,
            started_unix_ms: record.started_unix.as_millis() as u64,
            number: record.step.number,
            step: step.into(),
            not_before_unix_ms: record.not_before_unix().as_millis() as u64,
            reason: record.step.reason.to_string(),
            base: record.base.as_ref().map(ToString::to_string),
            barred: record.barred.iter().map(ToString::to_string).collect(),
            handled: record.handled,
            refused_target: refused.map_or(String::new(), |refused| refused.target.to_string()),
            refused_reason: refused.map_or(String::new(), |refused| refused.reason.to_string()),
        }
    }
}

impl TryFrom<wire::RolloutRecord> for RolloutRecord {
    type Error = String;

    fn try_from(wire: wire::RolloutRecord) -> Result<Self, String> {
        let step = match wire.step() {
            wire::RolloutStepKind::Observing => RolloutStep::Observing,
            wire::RolloutStepKind::Draining => RolloutStep::Draining,
            wire::RolloutStepKind::Completed => RolloutStep::Completed,
            wire::RolloutStepKind::RolledBack => RolloutStep::RolledBack,
            wire::RolloutStepKind::Unknown => {
                return Err(format!("step {} is unknown; update the program", wire.step));
            }
        };
        if wire.target.is_empty() && !step.is_final() {
            return Err("the record of a rollout that runs has no target".to_owned());
        }
        let refused = (!wire.refused_reason.is_empty()).then(|| RefusedOrder {
            reason: wire.refused_reason.into(),
            target: wire.refused_target.into(),
        });
        Ok(Self {
            barred: wire.barred.into_iter().map(Into::into).collect(),
            base: wire.base.map(Into::into),
            duration: Duration::from_millis(wire.duration_ms),
            handled: wire.handled,
            refused,
            started_unix: Duration::from_millis(wire.started_unix_ms),
            step: NumberedStep {
                number: wire.number,
                order: wire.order,
                reason: wire.reason.into(),
                step,
            },
            target: wire.target.into(),
        })
    }
}

/// State of a service's newest order, as operators and the platform see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Why the order was refused or the version rolled back; empty otherwise.
    pub reason: SmolStr,
    /// Service of the order.
    pub service: ServiceName,
    /// State of the rollout; that of a refused order is `RolledBack`.
    pub state: RolloutProgress,
    /// Version that was ordered.
    pub target: ServerVersion,
}

/// State of a rollout, as its status gives it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutProgress {
    /// All traffic has moved, and nothing runs at servers of the version before.
    Completed,
    /// The version gets no calls, or the order was refused.
    RolledBack,
    /// The rollout has not ended.
    Running,
}

impl RolloutStatus {
    /// Returns the status that belongs to a record. While a rollout runs, an order that was refused
    /// meanwhile is not part of it.
    pub fn of(service: &ServiceName, record: &RolloutRecord) -> Self {
        let (state, reason, target) = match (&record.refused, record.step.step) {
            (_, RolloutStep::Observing | RolloutStep::Draining) => {
                (RolloutProgress::Running, SmolStr::default(), &record.target)
            }
            (Some(refused), _) => return Self::refused(service, refused),
            (None, RolloutStep::Completed) => (
                RolloutProgress::Completed,
                SmolStr::default(),
                &record.target,
            ),
            (None, RolloutStep::RolledBack) => (
                RolloutProgress::RolledBack,
                record.step.reason.clone(),
                &record.target,
            ),
        };
        Self {
            reason,
            service: service.clone(),
            state,
            target: target.clone(),
        }
    }

    /// Returns the status of an order that was refused.
    pub fn refused(service: &ServiceName, refused: &RefusedOrder) -> Self {
        Self {
            reason: refused.reason.clone(),
            service: service.clone(),
            state: RolloutProgress::RolledBack,
            target: refused.target.clone(),
        }
    }
}
