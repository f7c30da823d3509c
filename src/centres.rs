//! State of the other data centres in the membership: the list of entry instances, which accept
//! callers' requests and are called its members.
//!
//! Two members of each data centre act as relays: they exchange summaries of their data centre's
//! state with the relays of the other data centres and broadcast only changes to the members of
//! their own.

use super::*;

/// Interval at which a relay sends a summary to each other data centre.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(4);

/// Time without a summary after which relays declare a data centre cut off.
const CENTRE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of members that a summary lists as contacts, to which other data centres can send
/// messages.
const SUMMARY_CONTACTS_MAX: usize = 3;

/// Relays per data centre; summaries from other data centres alternate between them.
pub const RELAY_COUNT: usize = 2;

/// Newest accepted summary of another data centre. Only relays use `heard_at`, to detect that the
/// data centre is silent.
#[derive(Debug)]
pub(crate) struct KnownCentre {
    pub(crate) heard_at: Duration,
    pub(crate) summary: CentreSummary,
}

impl KnownCentre {
    /// Returns true if the members of this data centre must receive `summary`: the known one is
    /// marked as cut off, or the live counts or contacts differ.
    fn differs(&self, summary: &CentreSummary) -> bool {
        let names = |summary: &CentreSummary| -> Vec<(InstanceName, Epoch)> {
            let contacts = summary.contacts.iter();
            contacts
                .map(|contact| (contact.instance.clone(), contact.epoch))
                .collect()
        };
        self.summary.cut_off
            || self.summary.live_count != summary.live_count
            || names(&self.summary) != names(summary)
    }
}

impl Membership {
    pub(crate) fn send_summary_if_due(&mut self, now: Duration, outbound: &mut OutboundMessages) {
        if now < self.next_summary_at {
            return;
        }
        self.next_summary_at = now + SUMMARY_INTERVAL;
        if !self.is_relay() {
            return;
        }
        self.summary_sequence += 1;
        let summary = self.own_summary();
        let mut targets: Vec<SocketAddr> = Vec::new();
        for known in self.centres.values() {
            // A data centre's contacts start with its relays; successive summaries go to each in
            // turn.
            let turn = self.summary_sequence as usize % RELAY_COUNT;
            let contacts = &known.summary.contacts;
            if let Some(contact) = contacts.get(turn).or(contacts.first()) {
                targets.push(contact.peer_address);
            }
        }
        for to in targets {
            outbound.push(OutboundMessage {
                message: MemberMessage::Summary(summary.clone()),
                to,
            });
        }
    }

    /// Returns true if this instance is a relay: the relays are the [`RELAY_COUNT`] active members
    /// with the lowest positions on the hash ring.
    pub(crate) fn is_relay(&self) -> bool {
        let own = ring_position(&self.own.instance);
        let before = self
            .active()
            .filter(|member| ring_position(&member.instance) < own)
            .count();
        before < RELAY_COUNT
    }

    /// Builds a summary of this data centre as this instance knows it. Contacts are active members,
    /// relays first.
    pub fn own_summary(&self) -> CentreSummary {
        let mut contacts: Vec<Member> = self.active().cloned().collect();
        contacts.sort_by_key(|member| ring_position(&member.instance));
        contacts.truncate(SUMMARY_CONTACTS_MAX);
        CentreSummary {
            contacts,
            cut_off: false,
            data_centre: self.own.data_centre.clone(),
            from: self.own.instance.clone(),
            live_count: 1 + self.live().count() as u32,
            revision: 0,
            sequence: self.summary_sequence,
            table_version: self.table_version,
        }
    }

    /// Answers a join request from a member of another data centre with the summary of this one,
    /// and with that of the member's data centre if that is known and not cut off. If it is not,
    /// the request is handled as a summary that lists only this member.
    pub(crate) fn receive_remote_member(
        &mut self,
        now: Duration,
        member: Member,
        outbound: &mut OutboundMessages,
    ) {
        if member.dead || member.leaving {
            return;
        }
        let to = member.peer_address;
        let reachable = self
            .centres()
            .find(|summary| summary.data_centre == member.data_centre);
        if let Some(summary) = reachable {
            // The member may not know anyone in its own data centre yet.
            outbound.push(OutboundMessage {
                message: MemberMessage::Summary(CentreSummary {
                    revision: 0,
                    ..summary.clone()
                }),
                to,
            });
        } else {
            let summary = CentreSummary {
                contacts: vec![member.clone()],
                cut_off: false,
                data_centre: member.data_centre,
                from: member.instance,
                live_count: 1,
                revision: 0,
                sequence: 0,
                table_version: 0,
            };
            self.receive_summary(now, summary, outbound);
        }
        outbound.push(OutboundMessage {
            message: MemberMessage::Summary(self.own_summary()),
            to,
        });
    }

    /// Sends join requests to those members of this data centre that another data centre knows and
    /// this instance does not.
    pub(crate) fn join_contacts(&self, summary: &CentreSummary, outbound: &mut OutboundMessages) {
        for contact in &summary.contacts {
            let is_own = contact.instance == self.own.instance;
            if is_own || self.known.contains_key(&contact.instance) {
                continue;
            }
            outbound.push(OutboundMessage {
                message: MemberMessage::Note(self.own.clone()),
                to: contact.peer_address,
            });
        }
    }

    /// Handles a summary that another data centre sent. Relays store it with the time of its
    /// arrival; other members forward it to the relays, but store it as well if the data centre is
    /// new to them.
    pub(crate) fn receive_summary(
        &mut self,
        now: Duration,
        summary: CentreSummary,
        outbound: &mut OutboundMessages,
    ) {
        let is_new = !self.centres.contains_key(&summary.data_centre);
        if !self.is_relay() && !is_new {
            self.forward_to_relays(&summary, outbound);
            return;
        }
        let known = self.centres.get_mut(&summary.data_centre);
        let (revision, is_change) = match &known {
            Some(known) => {
                // The two relays of the sending data centre send in turn, each with sequence
                // numbers of its own. An older summary of the same relay changes nothing, but a
                // restarted relay counts from 0 again, so a lower number is accepted after the
                // timeout.
                let is_stale = summary.from == known.summary.from
                    && summary.sequence <= known.summary.sequence
                    && now.saturating_sub(known.heard_at) < CENTRE_TIMEOUT;
                if is_stale {
                    return;
                }
                (known.summary.revision, known.differs(&summary))
            }
            None => (0, true),
        };
        let revision = revision + u64::from(is_change);
        let summary = CentreSummary {
            revision,
            ..summary
        };
        if is_change {
            self.broadcast_summary(&summary, outbound);
        }
        let name = summary.data_centre.clone();
        let heard_at = now;
        self.centres.insert(name, KnownCentre { heard_at, summary });
    }

    /// Handles a summary of another data centre that a member of this one sent. It is ignored
    /// unless its revision (the number of changes that the relays have seen) is higher, or equal
    /// and its sender's name greater.
    pub(crate) fn receive_relayed_summary(&mut self, now: Duration, summary: CentreSummary) {
        if summary.data_centre == self.own.data_centre {
            return;
        }
        let known = self.centres.get(&summary.data_centre);
        let order = |summary: &CentreSummary| (summary.revision, summary.from.clone());
        if known.is_some_and(|known| order(&summary) <= order(&known.summary)) {
            return;
        }
        let heard_at = known.map_or(now, |known| known.heard_at);
        let name = summary.data_centre.clone();
        self.centres.insert(name, KnownCentre { heard_at, summary });
    }

    pub(crate) fn forward_to_relays(
        &self,
        summary: &CentreSummary,
        outbound: &mut OutboundMessages,
    ) {
        let mut relays: Vec<&Member> = self.active().collect();
        relays.sort_by_key(|member| ring_position(&member.instance));
        for relay in relays.into_iter().take(RELAY_COUNT) {
            outbound.push(OutboundMessage {
                message: MemberMessage::Summary(summary.clone()),
                to: relay.peer_address,
            });
        }
    }

    pub(crate) fn broadcast_summary(
        &self,
        summary: &CentreSummary,
        outbound: &mut OutboundMessages,
    ) {
        for member in self.live() {
            outbound.push(OutboundMessage {
                message: MemberMessage::Summary(summary.clone()),
                to: member.peer_address,
            });
        }
    }

    /// If this instance is a relay, declares data centres cut off that have been silent for too
    /// long and broadcasts their summaries.
    pub(crate) fn detect_cut_off_centres(
        &mut self,
        now: Duration,
        outbound: &mut OutboundMessages,
    ) {
        let is_relay = self.is_relay();
        let is_new_relay = is_relay && !self.was_relay;
        self.was_relay = is_relay;
        if !is_relay {
            return;
        }
        let mut silent = Vec::new();
        for known in self.centres.values_mut() {
            if is_new_relay {
                known.heard_at = now;
            }
            let is_silent = now.saturating_sub(known.heard_at) >= CENTRE_TIMEOUT;
            if !is_silent || known.summary.cut_off {
                continue;
            }
            known.summary.cut_off = true;
            known.summary.revision += 1;
            silent.push(known.summary.clone());
        }
        for summary in silent {
            warn!("data centre {} is cut off", summary.data_centre);
            self.broadcast_summary(&summary, outbound);
        }
    }
}
