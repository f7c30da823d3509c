//! Records of members (the entry instances, which accept callers' requests), data centre summaries
//! and the messages that carry them. The table, whose version they contain, is the operators' list
//! of backend servers, models, routes and client accounts.

use super::*;

/// Number that orders the updates of one instance: its start time in milliseconds since 1970,
/// raised if the instance has to refute a report about itself.
pub type Epoch = u64;

/// State of one entry instance, as it is sent between instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Data centre that the instance named in its own record.
    pub data_centre: DataCentreName,
    /// True if the instance was declared dead in this epoch.
    pub dead: bool,
    /// Epoch of the instance that this record describes.
    pub epoch: Epoch,
    /// Name under which members know the instance; the key of all state kept about it.
    pub instance: InstanceName,
    /// True once the instance has started to stop; it then receives no new work from other members.
    pub leaving: bool,
    /// Address at which the instance accepts connections of other instances.
    pub peer_address: SocketAddr,
}

impl Member {
    /// Precedence of updates of one member: a higher epoch overrides a lower one; within an epoch,
    /// dead overrides leaving, which overrides live.
    pub(crate) fn precedence(&self) -> (Epoch, bool, bool) {
        (self.epoch, self.dead, self.leaving)
    }
}

/// State of one data centre that other data centres need. Its relays, the members that talk to
/// other data centres, send it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CentreSummary {
    /// Some of the data centre's active members (live and not leaving), relays first; other data
    /// centres send their messages to them.
    pub contacts: Vec<Member>,
    /// True if the relays of the receiving data centre have heard no summary of it for too long.
    /// Set only in messages within the receiving data centre.
    pub cut_off: bool,
    /// Data centre that is summarized.
    pub data_centre: DataCentreName,
    /// Member that built the summary; it counts `sequence`.
    pub from: InstanceName,
    /// Number of live members, including those that are stopping.
    pub live_count: u32,
    /// Number of changes of this summary that the relays of the receiving data centre have seen; 0
    /// in messages between data centres.
    pub revision: u64,
    /// Increases with every summary from the same member; starts again from 0 when it restarts.
    pub sequence: u64,
    /// Table version of the member that built the summary.
    pub table_version: TableVersion,
}

/// Message between members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberMessage {
    /// Heartbeat to a monitor, a member that watches the sender.
    Beat {
        /// Hash of the sender's directory; a receiver with a different one sends its own directory.
        directory_hash: u64,
        /// Epoch of the sender; a receiver that knows another one answers with its record of the
        /// sender.
        epoch: Epoch,
        /// Name of the member that sends the heartbeat.
        instance: InstanceName,
        /// Version of the table that the sender applies; a receiver with an older one fetches it.
        table_version: TableVersion,
        /// Time since the sender's start, by its own clock.
        uptime: Duration,
    },
    /// Complete membership state of the sender, called its directory.
    Directory {
        /// Summaries of the other data centres, including those that are cut off.
        centres: Vec<CentreSummary>,
        /// Members of the sender's data centre: the sender itself and all it knows, including dead
        /// ones.
        members: Vec<Member>,
    },
    /// Record of one member: of the sender, which announces itself or asks to join, or of a member
    /// whose state changed.
    Note(Member),
    /// Summary of a data centre. Between members of one data centre it describes another data
    /// centre. To another data centre, it describes the sender's; a member that asks to join from
    /// there is also sent the known summary of its own, because it may not know anyone there yet.
    Summary(CentreSummary),
    /// Answer to a probe: tells when the sender last knew the member to be alive.
    Vouch {
        /// Epoch of the probed member that the sender knows.
        epoch: Epoch,
        /// Member that was probed.
        instance: InstanceName,
        /// Identifier of the probe that this answers; an answer to an older probe is ignored.
        question: u64,
        /// Uptime of the member when the sender last knew it to be alive, by the member's clock.
        uptime: Duration,
    },
    /// Probe: asks the receiver when it last knew a member to be alive.
    VouchRequest {
        /// Peer address of the instance that probes.
        asker: SocketAddr,
        /// Name of the silent member; the receiver may be that member or another of its monitors.
        instance: InstanceName,
        /// Identifier of the probe, which the answer repeats: its first send time in milliseconds.
        question: u64,
    },
}

/// Message that the membership asks its owner to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutboundMessage {
    /// Message that the receiver handles with [`Membership::receive`].
    pub message: MemberMessage,
    /// Peer address of the receiver.
    pub to: SocketAddr,
}

/// Messages that one step of the membership produces, in the order in which they are sent.
pub type OutboundMessages = Vec<OutboundMessage>;
