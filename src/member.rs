//! What instances tell each other of themselves and of their data centres.

use super::*;

/// Number of a process's life; the higher one is the later.
pub type Epoch = u64;

/// An entry instance as its peers know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Data centre.
    pub data_centre: DataCentreName,
    /// True if it was found dead in this epoch.
    pub dead: bool,
    /// Life.
    pub epoch: Epoch,
    /// Name.
    pub instance: InstanceName,
    /// True while it stops.
    pub leaving: bool,
    /// Address of its peers' listener.
    pub peer_address: SocketAddr,
}

impl Member {
    /// Order of news about one member: a later life beats an earlier one, and within a life
    /// death beats leaving, which beats being live.
    pub(crate) fn news(&self) -> (Epoch, bool, bool) {
        (self.epoch, self.dead, self.leaving)
    }
}

/// Summary of another data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CentreSummary {
    /// Some of its members, relays first.
    pub contacts: Vec<Member>,
    /// True if the relays hear nothing of it. Only within a data centre.
    pub cut_off: bool,
    /// Its name.
    pub data_centre: DataCentreName,
    /// Member that made the summary.
    pub from: InstanceName,
    /// Its live members.
    pub live_count: u32,
    /// The relays' count of changes to what they know of it. Only within a data centre.
    pub revision: u64,
    /// Grows with every summary of the same member.
    pub sequence: u64,
    /// Newest table version there.
    pub table_version: TableVersion,
}

/// A message between members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberMessage {
    /// Heartbeat to a monitor.
    Beat {
        /// Hash of the sender's directory.
        directory_hash: u64,
        /// Sender's life.
        epoch: Epoch,
        /// Sender.
        instance: InstanceName,
        /// Sender's table version.
        table_version: TableVersion,
        /// Time since the sender's start, by its own clock.
        uptime: Duration,
    },
    /// Everything the sender knows.
    Directory {
        /// Other data centres.
        centres: Vec<CentreSummary>,
        /// Members of the sender's data centre.
        members: Vec<Member>,
    },
    /// News of one member.
    Note(Member),
    /// Summary of the sender's data centre, or, within a data centre, of another one.
    Summary(CentreSummary),
    /// The member was heard of.
    Vouch {
        /// Its life.
        epoch: Epoch,
        /// The member.
        instance: InstanceName,
        /// Question that this answers.
        question: u64,
        /// Its uptime in the last beat that the sender knows.
        uptime: Duration,
    },
    /// Is the member alive?
    VouchRequest {
        /// Where the answer goes.
        asker: SocketAddr,
        /// The member.
        instance: InstanceName,
        /// Number of the question.
        question: u64,
    },
}

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberSend {
    /// What.
    pub message: MemberMessage,
    /// Where to.
    pub to: SocketAddr,
}

/// Messages to send.
pub type MemberSends = Vec<MemberSend>;
