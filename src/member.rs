//! Member records, data centre summaries and the messages that carry them.

use super::*;

/// Incarnation number of a process; a restarted process has a higher one.
pub type Epoch = u64;

/// Record of an entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Data centre of the instance.
    pub data_centre: DataCentreName,
    /// True if the instance was declared dead in this epoch.
    pub dead: bool,
    /// Incarnation that this record describes.
    pub epoch: Epoch,
    /// Name of the instance.
    pub instance: InstanceName,
    /// True while the instance is stopping.
    pub leaving: bool,
    /// Address of the instance's peer listener.
    pub peer_address: SocketAddr,
}

impl Member {
    /// Precedence of updates of one member: a higher epoch overrides a lower one; within an epoch,
    /// dead overrides leaving, which overrides live.
    pub(crate) fn precedence(&self) -> (Epoch, bool, bool) {
        (self.epoch, self.dead, self.leaving)
    }
}

/// Summary of a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CentreSummary {
    /// Some of the data centre's members, relays first.
    pub contacts: Vec<Member>,
    /// True if the relays receive no summaries from the data centre. Set only in messages within
    /// the receiving data centre.
    pub cut_off: bool,
    /// Name of the data centre.
    pub data_centre: DataCentreName,
    /// Member that produced the summary.
    pub from: InstanceName,
    /// Number of live members.
    pub live_count: u32,
    /// Number of changes that the relays have seen in this summary; 0 in messages between data
    /// centres.
    pub revision: u64,
    /// Increases with every summary from the same member.
    pub sequence: u64,
    /// Newest table version in the data centre.
    pub table_version: TableVersion,
}

/// A membership message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberMessage {
    /// Heartbeat to a monitor.
    Beat {
        /// Hash of the sender's directory.
        directory_hash: u64,
        /// Sender's epoch.
        epoch: Epoch,
        /// Sender.
        instance: InstanceName,
        /// Sender's table version.
        table_version: TableVersion,
        /// Time since the sender's start, by its own clock.
        uptime: Duration,
    },
    /// Complete membership state of the sender.
    Directory {
        /// Other data centres.
        centres: Vec<CentreSummary>,
        /// Members of the sender's data centre.
        members: Vec<Member>,
    },
    /// Update of one member.
    Note(Member),
    /// Summary of the sender's data centre or, within a data centre, of another one.
    Summary(CentreSummary),
    /// Answer to a probe: tells when the sender last knew the member to be alive.
    Vouch {
        /// Epoch of the member.
        epoch: Epoch,
        /// Member that was probed.
        instance: InstanceName,
        /// Identifier of the probe that this answers.
        question: u64,
        /// Uptime of the member at that time, by the member's clock.
        uptime: Duration,
    },
    /// Probe: asks the receiver when it last knew a member to be alive.
    VouchRequest {
        /// Address that receives the answer.
        asker: SocketAddr,
        /// Member that is probed.
        instance: InstanceName,
        /// Identifier of the probe.
        question: u64,
    },
}

/// A message with its destination.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutboundMessage {
    /// Message to send.
    pub message: MemberMessage,
    /// Address to send it to.
    pub to: SocketAddr,
}

/// Messages to send.
pub type OutboundMessages = Vec<OutboundMessage>;
