//! The other data centres in an instance's view of the membership.
//!
//! Two relays of each data centre exchange summaries with the relays of the others and tell their
//! own members of changes only.

use super::*;

/// Interval of summaries to other data centres.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(4);

/// A data centre without a summary for this long counts as cut off.
const CENTRE_TIMEOUT: Duration = Duration::from_secs(20);

/// Contacts named in a summary.
const CONTACTS: usize = 3;

/// Relays of a data centre.
pub const RELAYS: usize = 2;

/// Another data centre as this instance knows it.
#[derive(Debug)]
pub(crate) struct KnownCentre {
    pub(crate) heard_at: Duration,
    pub(crate) summary: CentreSummary,
}

impl KnownCentre {
    /// True if a summary says something that members have to hear of.
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

impl Members {
    pub(crate) fn summarize_if_due(&mut self, now: Duration, sends: &mut MemberSends) {
        if now < self.summary_at {
            return;
        }
        self.summary_at = now + SUMMARY_INTERVAL;
        if !self.is_relay() {
            return;
        }
        self.summary_sequence += 1;
        let summary = self.own_summary();
        let mut targets: Vec<SocketAddr> = Vec::new();
        for known in self.centres.values() {
            // The relays come first among contacts; the second is told in turn with the first.
            let turn = self.summary_sequence as usize % RELAYS;
            let contacts = &known.summary.contacts;
            if let Some(contact) = contacts.get(turn).or(contacts.first()) {
                targets.push(contact.peer_address);
            }
        }
        for to in targets {
            sends.push(MemberSend {
                message: MemberMessage::Summary(summary.clone()),
                to,
            });
        }
    }

    /// Relays are the first members of the ring.
    pub(crate) fn is_relay(&self) -> bool {
        let own = ring_place(&self.own.instance);
        let before = self
            .staying()
            .filter(|member| ring_place(&member.instance) < own)
            .count();
        before < RELAYS
    }

    /// Summary of this data centre.
    pub fn own_summary(&self) -> CentreSummary {
        let mut contacts: Vec<Member> = self.staying().cloned().collect();
        contacts.sort_by_key(|member| ring_place(&member.instance));
        contacts.truncate(CONTACTS);
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

    /// A member of another data centre that asks to join meets this data centre by its summary.
    pub(crate) fn receive_foreign(
        &mut self,
        now: Duration,
        member: Member,
        sends: &mut MemberSends,
    ) {
        if member.dead || member.leaving {
            return;
        }
        let to = member.peer_address;
        let reachable = self
            .centres()
            .find(|known| known.data_centre == member.data_centre);
        if let Some(known) = reachable {
            // The member may have met nobody of its own data centre yet.
            sends.push(MemberSend {
                message: MemberMessage::Summary(CentreSummary {
                    revision: 0,
                    ..known.clone()
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
            self.receive_summary(now, summary, sends);
        }
        sends.push(MemberSend {
            message: MemberMessage::Summary(self.own_summary()),
            to,
        });
    }

    /// Joins the members of this data centre that another one knows and this instance does not.
    pub(crate) fn join_through(&self, summary: &CentreSummary, sends: &mut MemberSends) {
        for contact in &summary.contacts {
            let is_own = contact.instance == self.own.instance;
            if is_own || self.known.contains_key(&contact.instance) {
                continue;
            }
            sends.push(MemberSend {
                message: MemberMessage::Note(self.own.clone()),
                to: contact.peer_address,
            });
        }
    }

    /// Takes a summary from another data centre. Relays keep the time; the others pass it to them.
    pub(crate) fn receive_summary(
        &mut self,
        now: Duration,
        summary: CentreSummary,
        sends: &mut MemberSends,
    ) {
        let is_new = !self.centres.contains_key(&summary.data_centre);
        if !self.is_relay() && !is_new {
            self.pass_to_relays(&summary, sends);
            return;
        }
        let known = self.centres.get_mut(&summary.data_centre);
        let (revision, is_news) = match &known {
            Some(known) => {
                // Two relays take turns; within one of them an older summary changes nothing, but
                // a new life of it counts from 0 again.
                let is_older = summary.from == known.summary.from
                    && summary.sequence <= known.summary.sequence
                    && now.saturating_sub(known.heard_at) < CENTRE_TIMEOUT;
                if is_older {
                    return;
                }
                (known.summary.revision, known.differs(&summary))
            }
            None => (0, true),
        };
        let revision = revision + u64::from(is_news);
        let summary = CentreSummary {
            revision,
            ..summary
        };
        if is_news {
            self.tell_here(&summary, sends);
        }
        let name = summary.data_centre.clone();
        let heard_at = now;
        self.centres.insert(name, KnownCentre { heard_at, summary });
    }

    /// Takes what a relay of this data centre knows of another one.
    pub(crate) fn receive_inner_summary(&mut self, now: Duration, summary: CentreSummary) {
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

    pub(crate) fn pass_to_relays(&self, summary: &CentreSummary, sends: &mut MemberSends) {
        let mut relays: Vec<&Member> = self.staying().collect();
        relays.sort_by_key(|member| ring_place(&member.instance));
        for relay in relays.into_iter().take(RELAYS) {
            sends.push(MemberSend {
                message: MemberMessage::Summary(summary.clone()),
                to: relay.peer_address,
            });
        }
    }

    pub(crate) fn tell_here(&self, summary: &CentreSummary, sends: &mut MemberSends) {
        for member in self.live() {
            sends.push(MemberSend {
                message: MemberMessage::Summary(summary.clone()),
                to: member.peer_address,
            });
        }
    }

    /// As a relay, notices data centres that have fallen silent and tells the members.
    pub(crate) fn watch_centres(&mut self, now: Duration, sends: &mut MemberSends) {
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
            self.tell_here(&summary, sends);
        }
    }
}
