//! Spreads the table between instances, beside the log: for data centres that are cut off from
//! the platform, for log outages, and for instances that start during one.

use super::*;

use rand::seq::IteratorRandom;
use wire::frame::Body;

/// Members that are told of a new version at once; each tells as many.
const FANOUT: usize = 3;

/// Time for a table from a peer.
const TABLE_TIMEOUT: Duration = Duration::from_secs(3);

impl PeerActor {
    /// Tells some members of this data centre and a contact of each other one of a new version.
    pub(crate) fn spread_version(&mut self, version: TableVersion) {
        self.table_version = version;
        self.members.set_table_version(version);
        let notice = Body::TableNotice(wire::TableNotice {
            version,
            peer_address: self.members.own().peer_address.to_string(),
        });
        let chosen = self.members.live().sample(&mut rand::rng(), FANOUT);
        for member in chosen {
            self.links.send(member.peer_address, notice.clone());
        }
        for summary in self.members.centres() {
            if summary.table_version < version
                && let Some(contact) = summary.contacts.first()
            {
                self.links.send(contact.peer_address, notice.clone());
            }
        }
    }

    /// Takes word of a version that another instance has in force.
    pub(crate) fn take_table_notice(&self, notice: &wire::TableNotice) {
        if let Ok(from) = notice.peer_address.parse() {
            self.fetch_if_newer(notice.version, from);
        }
    }

    /// Looks for a newer version in a beat or a summary: they make good what notices miss.
    pub(crate) fn fetch_newer_table(&self, message: &MemberMessage) {
        match message {
            MemberMessage::Beat {
                instance,
                table_version,
                ..
            } => {
                let from = self
                    .members
                    .live()
                    .find(|member| member.instance == *instance);
                if let Some(from) = from {
                    self.fetch_if_newer(*table_version, from.peer_address);
                }
            }
            MemberMessage::Summary(summary) => {
                if let Some(contact) = summary.contacts.first() {
                    self.fetch_if_newer(summary.table_version, contact.peer_address);
                }
            }
            _ => {}
        }
    }

    fn fetch_if_newer(&self, version: TableVersion, from: SocketAddr) {
        let Some(table) = self.table.clone() else {
            return;
        };
        if version <= self.table_version {
            return;
        }
        let links = self.links.clone();
        let have_version = self.table_version;
        actix_rt::spawn(async move {
            let request = Body::TableRequest(wire::TableRequest { have_version });
            let answer = links.request(from, request, TABLE_TIMEOUT).await;
            if let Some(Body::TableReply(reply)) = answer {
                table.do_send(AdoptTable {
                    rows: reply.table.unwrap_or_default(),
                    version: reply.version,
                });
            }
        });
    }

    /// Answers a peer with the table in force, if it is newer than the peer's.
    pub(crate) fn answer_table(&self, have: TableVersion) -> AnswerFuture {
        let Some(table) = self.table.clone() else {
            return Box::pin(std::future::ready(None));
        };
        Box::pin(async move {
            let (version, rows) = table.send(FetchTable { have }).await.ok()??;
            let table = Some(rows);
            Some(Body::TableReply(wire::TableReply { version, table }))
        })
    }
}
