//! Distributes the table (the operators' list of backend servers, model versions, routes and client
//! accounts) between instances, independently of the log, so that new versions also reach data
//! centres that are cut off from the platform, and instances that run or start during an outage of
//! the log. The members of a data centre are the instances that run there; a summary describes the
//! members of another data centre.

use super::*;

use rand::seq::IteratorRandom;
use wire::frame::Body;

/// Number of random members of its data centre that each instance notifies of a new version.
const FANOUT: usize = 3;

/// Time after which this instance gives up a request for the table of a peer (another instance);
/// the next heartbeat or summary with a newer version starts another request.
const TABLE_TIMEOUT: Duration = Duration::from_secs(3);

impl PeerActor {
    /// Notifies some members of this data centre of a new version, and also one member (the first
    /// contact in the summary) of each other data centre that has an older version.
    pub(crate) fn announce_version(&mut self, version: TableVersion) {
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

    /// Handles the notice that another instance applies a version of the table: fetches the table
    /// from that instance if the version is newer.
    pub(crate) fn receive_table_notice(&self, notice: &wire::TableNotice) {
        if let Ok(from) = notice.peer_address.parse() {
            self.fetch_if_newer(notice.version, from);
        }
    }

    /// Fetches the table if a member's heartbeat or another data centre's summary names a newer
    /// version; this covers lost notices.
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
            let reply = links.request(from, request, TABLE_TIMEOUT).await;
            if let Some(Body::TableReply(reply)) = reply {
                table.do_send(AdoptTable {
                    rows: reply.table.unwrap_or_default(),
                    version: reply.version,
                });
            }
        });
    }

    /// Answers a peer with the newest table that this instance has read or received, if its version
    /// is newer than the peer's version `have`.
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
