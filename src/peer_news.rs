//! What instances tell each other, a few times a second, in one datagram each.

use super::*;

use prost::Message;

/// What an instance tells a peer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PeerNews {
    /// Data centre of the sender.
    pub data_centre: DataCentreName,
    /// What was admitted and asked for, by account.
    pub demands: HashMap<AccountName, AccountDemand>,
    /// The receiver's time of sending that the sender heard last.
    pub echoed: Option<Duration>,
    /// Sender.
    pub instance: InstanceName,
    /// True once the sender is stopping.
    pub leaving: bool,
    /// Start of the sender's life in milliseconds since 1970.
    pub life: u64,
    /// Calls at each server.
    pub loads: HashMap<ServerName, ServerLoad>,
    /// Time since the sender's policy was proved to be the newest.
    pub policy_age: Option<Duration>,
    /// Version of the sender's policy; 0 if it has none.
    pub policy_version: PolicyVersion,
    /// Prompt tokens a second sent to each service.
    pub prefill_rates: HashMap<ServiceName, f64>,
    /// Sender's running clock.
    pub sent: Duration,
    /// Sender's estimate of the time since 1970 in milliseconds.
    pub unix_ms: u64,
    /// Calls that began to run, by window and account.
    pub usage: BTreeMap<UsageWindow, UsageCounts>,
}

impl PeerNews {
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

impl From<&PeerNews> for wire::PeerDigest {
    fn from(digest: &PeerNews) -> Self {
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
            .map(|(window, counts)| usage_wire(*window, counts));
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

impl From<wire::PeerDigest> for PeerNews {
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
            usage: wire.usage.into_iter().map(usage_counts).collect(),
        }
    }
}

/// Encodes the counts of a window.
pub fn usage_wire(window: UsageWindow, counts: &UsageCounts) -> wire::UsageWindowCounts {
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
pub fn usage_counts(wire: wire::UsageWindowCounts) -> (UsageWindow, UsageCounts) {
    let counts = wire.counts.into_iter();
    let counts = counts.map(|count| (count.account.into(), count.calls));
    (wire.window, counts.collect())
}
