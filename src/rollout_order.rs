//! Orders of an operator to move the traffic of a service to servers of another version, and the
//! checks that an order has to pass before its rollout starts.
//!
//! The fault pattern that this is designed for: orders that are malformed, name a service that does
//! not exist or a version that is already in force, come twice, or come while another one runs. An
//! order is refused with a reason before anything is written for it.

use super::*;

/// Longest duration that an order may name.
const DURATION_MAX: Duration = Duration::from_secs(7 * 24 * 3_600);

/// Order of an operator for one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Time from the order to its deadline.
    pub duration: Duration,
    /// Service whose traffic is moved.
    pub service: ServiceName,
    /// Version of the servers to which the traffic is moved.
    pub target: ServerVersion,
}

/// Why an order is refused; the text is logged and written to the status.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum OrderRefusal {
    /// The duration is missing, not a number, zero, negative or too long.
    #[snafu(display("durationS is {found}; give seconds above 0, at most 604800"))]
    Duration {
        /// The value in the order, as JSON.
        found: String,
    },
    /// The record is not the JSON object of an order.
    #[snafu(display("order is unreadable ({reason}); write service, target and durationS"))]
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
    /// A rollout of the service to another version has not ended.
    #[snafu(display("a rollout of {service} to {target} is running; order again after its end"))]
    Running {
        /// Service of both orders.
        service: ServiceName,
        /// Target of the rollout that runs.
        target: ServerVersion,
    },
    /// All servers of the service have the version already.
    #[snafu(display("{service} already runs {target}; order another version"))]
    TargetInForce {
        /// Service of the order.
        service: ServiceName,
        /// Version that is ordered and in force.
        target: ServerVersion,
    },
    /// The policy has no such service.
    #[snafu(display("service {service} is unknown; check the name in the policy"))]
    UnknownService {
        /// Name in the order.
        service: ServiceName,
    },
}

/// What an order is checked against.
#[derive(Debug)]
pub struct OrderContext<'a> {
    /// True if the policy in force has the service.
    pub is_known: bool,
    /// Order of the service whose rollout has not ended.
    pub running: Option<&'a RolloutOrder>,
    /// Versions of the service's servers that are not leaving; servers without a version have the
    /// empty one.
    pub versions: &'a [ServerVersion],
}

/// What to do with an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderDecision {
    /// A rollout to the same version runs already: the order changes nothing, and the status stays
    /// that of the rollout that runs. A status of `rolled_back` would end its new servers.
    Duplicate,
    /// Refuse the order, with the state `rolled_back` and the reason.
    Refuse(OrderRefusal),
    /// Start a rollout.
    Start,
}

impl RolloutOrder {
    /// Decodes the JSON text of a record of the operators' topic whose key names `service`.
    pub fn from_json(service: &str, text: &[u8]) -> Result<Self, OrderRefusal> {
        let malformed = |reason: String| OrderRefusal::Malformed { reason };
        let json: Json =
            serde_json::from_slice(text).map_err(|error| malformed(error.to_string()))?;
        let text_of = |field: &str| json.get(field).and_then(Json::as_str).unwrap_or_default();
        if text_of("service") != service {
            return Err(malformed(format!(
                "the key names service {service}, the record {:?}",
                text_of("service")
            )));
        }
        if text_of("target").is_empty() {
            return Err(malformed("target is missing or not a text".into()));
        }
        let duration = json.get("durationS");
        let duration_s = duration.and_then(Json::as_f64).unwrap_or_default();
        let duration = Duration::try_from_secs_f64(duration_s)
            .ok()
            .filter(|duration| !duration.is_zero() && *duration <= DURATION_MAX)
            .ok_or_else(|| OrderRefusal::Duration {
                found: duration
                    .map_or_else(|| "missing".into(), |value| shorten(&value.to_string())),
            })?;
        Ok(Self {
            duration,
            service: service.into(),
            target: text_of("target").into(),
        })
    }

    /// Decides whether a rollout starts.
    pub fn check(&self, context: &OrderContext<'_>) -> OrderDecision {
        let service = self.service.clone();
        if !context.is_known {
            return OrderDecision::Refuse(OrderRefusal::UnknownService { service });
        }
        if let Some(running) = context.running {
            if running.target == self.target {
                return OrderDecision::Duplicate;
            }
            let target = running.target.clone();
            return OrderDecision::Refuse(OrderRefusal::Running { service, target });
        }
        let is_in_force = |version: &ServerVersion| *version == self.target;
        if !context.versions.is_empty() && context.versions.iter().all(is_in_force) {
            let target = self.target.clone();
            return OrderDecision::Refuse(OrderRefusal::TargetInForce { service, target });
        }
        OrderDecision::Start
    }
}
