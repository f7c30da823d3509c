//! The digest that each instance sends to its peers, the other instances, a few times a second in
//! one datagram. It contains loads, demand, usage and the age of the sender's policy, the
//! operators' configuration of routes, services and accounts.

use super::*;

use prost::Message;

/// State that an instance sends to one peer; in one round only `echoed` differs between peers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PeerDigest {
    /// Reports of servers that crashed as they began to answer a request, with times by the
    /// sender's clock, as in `sent`.
    pub crash_reports: Vec<CrashReport>,
    /// Calls of all instances of the sender's data centre that began to run in the newest windows, as
    /// far as the sender knows; empty unless both collect the usage of their data centres.
    pub centre_usage: BTreeMap<UsageWindow, UsageCounts>,
    /// Data centre of the sender; the arrival of the digest shows that it can be reached.
    pub data_centre: DataCentreName,
    /// Units (calls or tokens, as the account's limit counts them) that the sender admitted and
    /// that callers requested from it, by account.
    pub demands: HashMap<AccountName, AccountDemand>,
    /// Send time in the last digest that the sender received from this receiver, by the receiver's
    /// clock; `None` if it received none. Proves how recent `policy_age` is.
    pub echoed: Option<Duration>,
    /// True while the sender holds the duties, so that collectors send it the usage.
    pub holds_duties: bool,
    /// Name of the sender; an instance ignores its own digests.
    pub instance: InstanceName,
    /// True once the sender has started to stop.
    pub leaving: bool,
    /// Servers whose answers to the sender have said within the last seconds that they are leaving.
    pub leaving_servers: Vec<LeavingServer>,
    /// Start time of the sender's process in milliseconds since 1970; distinguishes it from earlier
    /// processes of the same instance.
    pub life: u64,
    /// What the last answers of servers to the sender said about their limits, with times by the
    /// sender's clock, as in `sent`.
    pub limits: Vec<LimitReport>,
    /// Load that the sender's own calls put on each server; servers without any are left out.
    pub loads: HashMap<ServerName, ServerLoad>,
    /// Time since the sender's policy was last proven to be the newest; `None` if it never was.
    pub policy_age: Option<Duration>,
    /// Version of the policy that the sender applies; 0 if it has none.
    pub policy_version: PolicyVersion,
    /// Sums of data centres; `None` where all instances send each other a digest in every round.
    pub room: Option<RoomReport>,
    /// Newest rollout records that the sender knows.
    pub rollout_knowledge: Vec<RolloutKnowledge>,
    /// Reports on rollouts that run, with times by the sender's clock, as in `sent`.
    pub rollout_reports: Vec<RolloutReport>,
    /// Send time by the sender's [`boot_time`], which also advances while the machine is suspended.
    pub sent: Duration,
    /// Sender's estimate of the time since 1970 in milliseconds, without corrections by its peers.
    pub unix_ms: u64,
    /// Calls of the sender that began to run in the newest windows, by window and account; empty if
    /// the receiver does not collect them.
    pub usage: BTreeMap<UsageWindow, UsageCounts>,
    /// What the sender sends to each service.
    pub work: HashMap<ServiceName, ServiceWork>,
}

impl PeerDigest {
    /// Encodes the digest as a datagram; durations are truncated to milliseconds.
    pub fn encode(&self) -> Vec<u8> {
        wire::PeerDigest::from(self).encode_to_vec()
    }

    /// Decodes a datagram; fails with [`Error::Peer`] if it is not a protobuf message of this type.
    pub fn decode(datagram: &[u8]) -> Result<Self> {
        let wire = wire::PeerDigest::decode(datagram).map_err(|error| Error::Peer {
            address: "datagram".to_owned(),
            reason: error.to_string(),
        })?;
        Ok(Self::from(wire))
    }
}

impl From<&PeerDigest> for wire::PeerDigest {
    fn from(digest: &PeerDigest) -> Self {
        let loads = digest.loads.iter().map(|(server, load)| wire::ServerUse {
            backlog_ms: load.backlog.as_millis() as u32,
            queued_tokens: encode_queued(load.queued_tokens),
            running: load.running,
            server: server.to_string(),
            speed_answers_percent: (load.speed.answers * 100.0) as u32,
            speed_expected_ms: load.speed.expected_ms as u32,
            speed_measured_ms: load.speed.measured_ms as u32,
        });
        let demands = digest
            .demands
            .iter()
            .map(|(account, demand)| wire::AccountDemand {
                account: account.to_string(),
                admitted: demand.admitted,
                asked_per_s: demand.asked_per_s,
            });
        let usage = digest
            .usage
            .iter()
            .map(|(window, counts)| encode_usage(*window, counts));
        let crash_reports = digest.crash_reports.iter();
        let crash_reports = crash_reports.map(|report| report.to_wire(digest.sent));
        let limits = digest.limits.iter();
        let limits = limits.map(|report| report.to_wire(digest.sent));
        let work = digest.work.iter().map(|(service, work)| wire::ServiceWork {
            engine_fixed_ms: work.estimate.map_or(0.0, |estimate| estimate.fixed_ms),
            engine_tokens_per_ms: work.estimate.map_or(0.0, |e| e.tokens_per_ms),
            prefill_tokens_per_s: work.prefill_tokens_per_s,
            service: service.to_string(),
        });
        let centre_usage = digest.centre_usage.iter();
        Self {
            centre_usage: centre_usage
                .map(|(window, counts)| encode_usage(*window, counts))
                .collect(),
            crash_reports: crash_reports.collect(),
            data_centre: digest.data_centre.to_string(),
            demands: demands.collect(),
            echoed_ms: digest.echoed.map_or(0, |echoed| echoed.as_millis() as u64),
            holds_duties: digest.holds_duties,
            instance: digest.instance.to_string(),
            leaving: digest.leaving,
            leaving_servers: digest.leaving_servers.iter().map(Into::into).collect(),
            life: digest.life,
            limits: limits.collect(),
            loads: loads.collect(),
            policy_age_ms: digest.policy_age.map(|age| age.as_millis() as u64),
            policy_version: digest.policy_version,
            room: digest.room.as_ref().map(Into::into),
            rollout_knowledge: digest.rollout_knowledge.iter().map(Into::into).collect(),
            rollout_reports: digest
                .rollout_reports
                .iter()
                .map(|report| report.to_wire(digest.sent))
                .collect(),
            sent_ms: digest.sent.as_millis() as u64,
            unix_ms: digest.unix_ms,
            usage: usage.collect(),
            work: work.collect(),
        }
    }
}

impl From<wire::PeerDigest> for PeerDigest {
    fn from(wire: wire::PeerDigest) -> Self {
        let millis = Duration::from_millis;
        let mut loads = HashMap::new();
        for load in wire.loads {
            let of_server = ServerLoad {
                backlog: millis(u64::from(load.backlog_ms)),
                queued_tokens: decode_queued(&load.queued_tokens),
                running: load.running,
                speed: SpeedSums {
                    answers: load.speed_answers_percent as f32 / 100.0,
                    expected_ms: load.speed_expected_ms as f32,
                    measured_ms: load.speed_measured_ms as f32,
                },
            };
            loads.insert(load.server.into(), of_server);
        }
        let crash_reports = wire.crash_reports.into_iter();
        let demands = wire.demands.into_iter();
        let limits = wire.limits.into_iter();
        let sent = millis(wire.sent_ms);
        let work = wire.work.into_iter();
        let centre_usage = wire.centre_usage.into_iter();
        Self {
            centre_usage: centre_usage.map(decode_usage).collect(),
            crash_reports: crash_reports
                .map(|wire| CrashReport::from_wire(sent, wire))
                .collect(),
            data_centre: wire.data_centre.into(),
            demands: demands
                .map(|wire| {
                    let demand = AccountDemand {
                        admitted: wire.admitted,
                        asked_per_s: wire.asked_per_s,
                    };
                    (wire.account.into(), demand)
                })
                .collect(),
            echoed: (wire.echoed_ms > 0).then(|| millis(wire.echoed_ms)),
            holds_duties: wire.holds_duties,
            instance: wire.instance.into(),
            leaving: wire.leaving,
            leaving_servers: wire.leaving_servers.into_iter().map(Into::into).collect(),
            life: wire.life,
            limits: limits
                .map(|wire| LimitReport::from_wire(sent, wire))
                .collect(),
            loads,
            policy_age: wire.policy_age_ms.map(millis),
            policy_version: wire.policy_version,
            room: wire.room.map(Into::into),
            rollout_knowledge: wire.rollout_knowledge.into_iter().map(Into::into).collect(),
            rollout_reports: wire
                .rollout_reports
                .into_iter()
                .map(|report| RolloutReport::from_wire(sent, report))
                .collect(),
            sent,
            unix_ms: wire.unix_ms,
            usage: wire.usage.into_iter().map(decode_usage).collect(),
            work: work
                .map(|work| {
                    let estimate = PrefillEstimate {
                        fixed_ms: work.engine_fixed_ms,
                        tokens_per_ms: work.engine_tokens_per_ms,
                    };
                    let of_service = ServiceWork {
                        estimate: (work.engine_tokens_per_ms > 0.0).then_some(estimate),
                        prefill_tokens_per_s: work.prefill_tokens_per_s,
                    };
                    (work.service.into(), of_service)
                })
                .collect(),
        }
    }
}

/// Encodes the calls of a window, by account, for digests and usage reports.
pub fn encode_usage(window: UsageWindow, counts: &UsageCounts) -> wire::UsageWindowCounts {
    let counts = counts.iter().map(|(account, calls)| wire::UsageCount {
        account: account.to_string(),
        calls: *calls,
    });
    wire::UsageWindowCounts {
        counts: counts.collect(),
        window,
    }
}

/// Decodes a window and its calls by account, as written by [`encode_usage`].
pub fn decode_usage(wire: wire::UsageWindowCounts) -> (UsageWindow, UsageCounts) {
    let counts = wire.counts.into_iter();
    let counts = counts.map(|count| (count.account.into(), count.calls));
    (wire.window, counts.collect())
}
