//! The digest that each instance sends to its peers a few times a second, in one datagram.

use super::*;

use prost::Message;

/// State that an instance sends to a peer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PeerDigest {
    /// Data centre of the sender.
    pub data_centre: DataCentreName,
    /// Admitted and requested units by account.
    pub demands: HashMap<AccountName, AccountDemand>,
    /// Send time of the last digest that the sender received from this receiver.
    pub echoed: Option<Duration>,
    /// Sender.
    pub instance: InstanceName,
    /// True while the sender is stopping.
    pub leaving: bool,
    /// Start time of the sender's process in milliseconds since 1970; identifies its incarnation.
    pub life: u64,
    /// Load that the sender puts on each server.
    pub loads: HashMap<ServerName, ServerLoad>,
    /// Time since the sender's policy was proven to be the newest.
    pub policy_age: Option<Duration>,
    /// Version of the sender's policy; 0 if it has none.
    pub policy_version: PolicyVersion,
    /// Prompt tokens per second sent to each service.
    pub prefill_rates: HashMap<ServiceName, f64>,
    /// Send time by the sender's [`boot_time`], which also advances while the machine is suspended.
    pub sent: Duration,
    /// Sender's estimate of the time since 1970 in milliseconds.
    pub unix_ms: u64,
    /// Calls that began to run, by window and account.
    pub usage: BTreeMap<UsageWindow, UsageCounts>,
}

impl PeerDigest {
    /// Encodes the digest.
    pub fn encode(&self) -> Vec<u8> {
        wire::PeerDigest::from(self).encode_to_vec()
    }

    /// Decodes a datagram.
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
            running: load.running,
            server: server.to_string(),
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
        let work = digest
            .prefill_rates
            .iter()
            .map(|(service, rate)| wire::ServiceWork {
                prefill_tokens_per_s: *rate,
                service: service.to_string(),
            });
        Self {
            data_centre: digest.data_centre.to_string(),
            demands: demands.collect(),
            echoed_ms: digest.echoed.map_or(0, |echoed| echoed.as_millis() as u64),
            instance: digest.instance.to_string(),
            leaving: digest.leaving,
            life: digest.life,
            loads: loads.collect(),
            policy_age_ms: digest.policy_age.map(|age| age.as_millis() as u64),
            policy_version: digest.policy_version,
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
            let backlog = millis(u64::from(load.backlog_ms));
            let running = load.running;
            loads.insert(load.server.into(), ServerLoad { backlog, running });
        }
        let demands = wire.demands.into_iter();
        let work = wire.work.into_iter();
        Self {
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
            instance: wire.instance.into(),
            leaving: wire.leaving,
            life: wire.life,
            loads,
            policy_age: wire.policy_age_ms.map(millis),
            policy_version: wire.policy_version,
            prefill_rates: work
                .map(|work| (work.service.into(), work.prefill_tokens_per_s))
                .collect(),
            sent: millis(wire.sent_ms),
            unix_ms: wire.unix_ms,
            usage: wire.usage.into_iter().map(decode_usage).collect(),
        }
    }
}

/// Encodes the counts of a window.
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

/// Decodes the counts of a window.
pub fn decode_usage(wire: wire::UsageWindowCounts) -> (UsageWindow, UsageCounts) {
    let counts = wire.counts.into_iter();
    let counts = counts.map(|count| (count.account.into(), count.calls));
    (wire.window, counts.collect())
}
