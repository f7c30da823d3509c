//! Conversions between membership messages and their protobuf types. A message with an invalid
//! address is rejected as a whole.

use super::*;

use wire::frame::Body;

impl From<&Member> for wire::Member {
    fn from(member: &Member) -> Self {
        Self {
            instance: member.instance.to_string(),
            epoch: member.epoch,
            data_centre: member.data_centre.to_string(),
            peer_address: member.peer_address.to_string(),
            leaving: member.leaving,
            dead: member.dead,
        }
    }
}

impl TryFrom<wire::Member> for Member {
    type Error = Error;

    fn try_from(member: wire::Member) -> Result<Self> {
        Ok(Self {
            data_centre: member.data_centre.into(),
            dead: member.dead,
            epoch: member.epoch,
            instance: member.instance.into(),
            leaving: member.leaving,
            peer_address: peer_address(&member.peer_address)?,
        })
    }
}

impl From<&CentreSummary> for wire::CentreSummary {
    fn from(summary: &CentreSummary) -> Self {
        Self {
            data_centre: summary.data_centre.to_string(),
            sequence: summary.sequence,
            live_count: summary.live_count,
            table_version: summary.table_version,
            contacts: summary.contacts.iter().map(wire::Member::from).collect(),
            from: summary.from.to_string(),
            revision: summary.revision,
            cut_off: summary.cut_off,
        }
    }
}

impl TryFrom<wire::CentreSummary> for CentreSummary {
    type Error = Error;

    fn try_from(summary: wire::CentreSummary) -> Result<Self> {
        Ok(Self {
            contacts: members(summary.contacts)?,
            cut_off: summary.cut_off,
            data_centre: summary.data_centre.into(),
            from: summary.from.into(),
            live_count: summary.live_count,
            revision: summary.revision,
            sequence: summary.sequence,
            table_version: summary.table_version,
        })
    }
}

impl From<&MemberMessage> for Body {
    fn from(message: &MemberMessage) -> Self {
        match message {
            MemberMessage::Beat {
                directory_hash,
                epoch,
                instance,
                table_version,
                uptime,
            } => Self::Beat(wire::Beat {
                instance: instance.to_string(),
                epoch: *epoch,
                directory_hash: *directory_hash,
                table_version: *table_version,
                uptime_ms: uptime.as_millis() as u64,
            }),
            MemberMessage::Directory { centres, members } => Self::Directory(wire::Directory {
                members: members.iter().map(wire::Member::from).collect(),
                centres: centres.iter().map(wire::CentreSummary::from).collect(),
            }),
            MemberMessage::Note(member) => Self::MemberNote(wire::MemberNote {
                member: Some(member.into()),
            }),
            MemberMessage::Summary(summary) => Self::CentreSummary(summary.into()),
            MemberMessage::Vouch {
                epoch,
                instance,
                question,
                uptime,
            } => Self::Vouch(wire::Vouch {
                instance: instance.to_string(),
                epoch: *epoch,
                uptime_ms: uptime.as_millis() as u64,
                question: *question,
            }),
            MemberMessage::VouchRequest {
                asker,
                instance,
                question,
            } => Self::VouchRequest(wire::VouchRequest {
                instance: instance.to_string(),
                asker_address: asker.to_string(),
                question: *question,
            }),
        }
    }
}

impl TryFrom<Body> for MemberMessage {
    type Error = Error;

    fn try_from(body: Body) -> Result<Self> {
        match body {
            Body::Beat(beat) => Ok(Self::Beat {
                directory_hash: beat.directory_hash,
                epoch: beat.epoch,
                instance: beat.instance.into(),
                table_version: beat.table_version,
                uptime: Duration::from_millis(beat.uptime_ms),
            }),
            Body::CentreSummary(summary) => Ok(Self::Summary(summary.try_into()?)),
            Body::Directory(directory) => {
                let mut centres = Vec::new();
                for summary in directory.centres {
                    centres.push(summary.try_into()?);
                }
                Ok(Self::Directory {
                    centres,
                    members: members(directory.members)?,
                })
            }
            Body::MemberNote(note) => Ok(Self::Note(note.member.unwrap_or_default().try_into()?)),
            Body::Vouch(vouch) => Ok(Self::Vouch {
                epoch: vouch.epoch,
                instance: vouch.instance.into(),
                question: vouch.question,
                uptime: Duration::from_millis(vouch.uptime_ms),
            }),
            Body::VouchRequest(request) => Ok(Self::VouchRequest {
                asker: peer_address(&request.asker_address)?,
                instance: request.instance.into(),
                question: request.question,
            }),
            _ => Err(Error::Peer {
                address: "frame".to_owned(),
                reason: "is not a membership message".to_owned(),
            }),
        }
    }
}

fn members(wire_members: Vec<wire::Member>) -> Result<Vec<Member>> {
    wire_members.into_iter().map(Member::try_from).collect()
}

fn peer_address(text: &str) -> Result<SocketAddr> {
    text.parse().map_err(|_| Error::Peer {
        address: shorten(text),
        reason: "is not a socket address".to_owned(),
    })
}
