//! Membership of the entry instances: who is live, in this data centre and in the others.
//!
//! Within a data centre every member beats to its monitors, the next members on a ring. A monitor
//! that hears nothing asks the member and its other monitors, and without a word from any of them
//! tells all members of the death. Between data centres two relays exchange summaries. Lost
//! messages are made good by the directory hash in each beat. No wall clocks are compared: a
//! member that hears of its own death takes a higher epoch.

use super::*;

use std::cmp::Reverse;

/// Interval of beats.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which [`Members::tick`] is to be called.
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Monitors of a member.
pub const MONITORS: usize = 3;

/// Relays of a data centre.
pub const RELAYS: usize = 2;

/// A member not heard of for this long is asked about.
const ASK_AFTER: Duration = Duration::from_millis(1_750);

/// A member is dead if no word of it comes for this long after it was first asked about.
const ANSWER_WITHIN: Duration = Duration::from_millis(500);

/// Interval of summaries to other data centres.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(2);

/// A data centre without a summary for this long counts as cut off.
const CENTRE_TIMEOUT: Duration = Duration::from_secs(10);

/// Least time between two directories to the same member.
const DIRECTORY_PAUSE: Duration = Duration::from_secs(1);

/// Interval at which seeds that are not known are asked, at first.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// The same after [`JOIN_FAST_TRIES`]; it heals partitions that outlasted all other contact.
const JOIN_SLOW_INTERVAL: Duration = Duration::from_secs(10);

/// Tries at the first interval.
const JOIN_FAST_TRIES: u32 = 10;

/// Dead members are forgotten after this long.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Contacts named in a summary.
const CONTACTS: usize = 4;

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
    fn news(&self) -> (Epoch, bool, bool) {
        (self.epoch, self.dead, self.leaving)
    }
}

/// Summary of another data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CentreSummary {
    /// Some of its members, relays first.
    pub contacts: Vec<Member>,
    /// Its name.
    pub data_centre: DataCentreName,
    /// Member that made the summary.
    pub from: InstanceName,
    /// Its live members.
    pub live_count: u32,
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
    /// Summary of the sender's data centre.
    Summary(CentreSummary),
    /// The member was heard of.
    Vouch {
        /// Its life.
        epoch: Epoch,
        /// The member.
        instance: InstanceName,
    },
    /// Is the member alive?
    VouchRequest {
        /// Where the answer goes.
        asker: SocketAddr,
        /// The member.
        instance: InstanceName,
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

#[derive(Debug)]
struct KnownMember {
    asked_at: Option<Duration>,
    directory_sent_at: Option<Duration>,
    heard_at: Duration,
    member: Member,
}

#[derive(Debug)]
struct KnownCentre {
    heard_at: Duration,
    summary: CentreSummary,
}

/// What one instance knows of all.
#[derive(Debug)]
pub struct Members {
    beat_at: Duration,
    centres: BTreeMap<DataCentreName, KnownCentre>,
    join_at: Duration,
    join_tries: u32,
    known: BTreeMap<InstanceName, KnownMember>,
    own: Member,
    seeds: Vec<SocketAddr>,
    summary_at: Duration,
    summary_sequence: u64,
    table_version: TableVersion,
}

impl Members {
    /// Creates the view of an instance that has met nobody. `seeds` are asked to join.
    pub fn new(own: Member, seeds: Vec<SocketAddr>) -> Self {
        let seeds = seeds
            .into_iter()
            .filter(|seed| *seed != own.peer_address)
            .collect();
        Self {
            beat_at: Duration::ZERO,
            centres: BTreeMap::new(),
            join_at: Duration::ZERO,
            join_tries: 0,
            known: BTreeMap::new(),
            own,
            seeds,
            summary_at: Duration::ZERO,
            summary_sequence: 0,
            table_version: 0,
        }
    }

    /// This instance.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Sets the table version that beats and summaries carry.
    pub fn set_table_version(&mut self, version: TableVersion) {
        self.table_version = version;
    }

    /// Tells all members that this instance is stopping.
    pub fn set_leaving(&mut self) -> MemberSends {
        self.own.leaving = true;
        let mut sends = MemberSends::new();
        self.broadcast(&self.own, &mut sends);
        sends
    }

    /// Live members of this data centre but this one.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.known
            .values()
            .map(|known| &known.member)
            .filter(|member| !member.dead)
    }

    /// Live and not stopping members of this data centre, this one included.
    pub fn staying(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own)
            .chain(self.live())
            .filter(|member| !member.leaving)
    }

    /// Summaries of the other data centres that are not cut off.
    pub fn centres(&self, now: Duration) -> impl Iterator<Item = &CentreSummary> {
        let reachable =
            move |known: &&KnownCentre| now.saturating_sub(known.heard_at) < CENTRE_TIMEOUT;
        self.centres
            .values()
            .filter(reachable)
            .map(|known| &known.summary)
    }

    /// Live instances in all data centres that are not cut off.
    pub fn live_count(&self, now: Duration) -> u32 {
        let here = 1 + self.live().count() as u32;
        here + self
            .centres(now)
            .map(|summary| summary.live_count)
            .sum::<u32>()
    }

    /// Data centre that is home to a name, such as a partition's.
    pub fn home_centre(&self, now: Duration, name: &str) -> DataCentreName {
        let mut best = (rank(name, &self.own.data_centre), &self.own.data_centre);
        for summary in self.centres(now) {
            let ranked = (rank(name, &summary.data_centre), &summary.data_centre);
            best = best.max(ranked);
        }
        best.1.clone()
    }

    /// Member of this data centre that is home to a name; the next one for each `skip`.
    pub fn home(&self, name: &str, skip: usize) -> Option<&Member> {
        let mut ranked: Vec<(u64, &Member)> = Vec::new();
        for member in self.staying() {
            ranked.push((rank(name, &member.instance), member));
        }
        ranked.sort_by_key(|(rank, _)| Reverse(*rank));
        ranked.get(skip).map(|(_, member)| *member)
    }

    /// True if this instance is among the first `count` homes of a name.
    pub fn is_home(&self, name: &str, count: usize) -> bool {
        let own_rank = rank(name, &self.own.instance);
        let above = self
            .staying()
            .filter(|member| rank(name, &member.instance) > own_rank)
            .count();
        above < count
    }

    /// Does what is due: beats, questions, deaths, summaries.
    pub fn tick(&mut self, now: Duration) -> MemberSends {
        let mut sends = MemberSends::new();
        self.join_if_due(now, &mut sends);
        self.beat_if_due(now, &mut sends);
        self.watch(now, &mut sends);
        self.summarize_if_due(now, &mut sends);
        self.forget(now);
        sends
    }

    /// Takes a message.
    pub fn receive(&mut self, now: Duration, message: MemberMessage) -> MemberSends {
        let mut sends = MemberSends::new();
        match message {
            MemberMessage::Beat {
                directory_hash,
                epoch,
                instance,
                ..
            } => self.receive_beat(now, &instance, epoch, directory_hash, &mut sends),
            MemberMessage::Directory { centres, members } => {
                for member in members {
                    self.receive_note(now, member, false, &mut sends);
                }
                for summary in centres {
                    self.receive_summary(now, summary);
                }
            }
            MemberMessage::Note(member) => self.receive_note(now, member, true, &mut sends),
            MemberMessage::Summary(summary) => self.receive_summary(now, summary),
            MemberMessage::Vouch { epoch, instance } => self.receive_vouch(now, &instance, epoch),
            MemberMessage::VouchRequest { asker, instance } => {
                self.answer_vouch(now, &instance, asker, &mut sends);
            }
        }
        sends
    }

    /// Hash of what all members of the data centre should agree on.
    pub fn directory_hash(&self) -> u64 {
        let mut text = String::new();
        let mut add = |member: &Member| {
            let _ = writeln!(
                text,
                "{} {} {} {}",
                member.instance, member.epoch, member.dead, member.leaving
            );
        };
        let mut is_own_added = false;
        for (instance, known) in &self.known {
            if !is_own_added && *instance > self.own.instance {
                add(&self.own);
                is_own_added = true;
            }
            // Dead members are forgotten at different times, so they do not count.
            if !known.member.dead {
                add(&known.member);
            }
        }
        if !is_own_added {
            add(&self.own);
        }
        for centre in self.centres.keys() {
            text.push_str(centre);
        }
        xxh3_64(text.as_bytes())
    }

    fn join_if_due(&mut self, now: Duration, sends: &mut MemberSends) {
        if now < self.join_at {
            return;
        }
        self.join_tries += 1;
        self.join_at = match self.join_tries <= JOIN_FAST_TRIES {
            true => now + JOIN_INTERVAL,
            false => now + JOIN_SLOW_INTERVAL,
        };
        for seed in &self.seeds {
            let is_member = self.live().any(|member| member.peer_address == *seed);
            let contacts = self.centres(now).flat_map(|summary| &summary.contacts);
            let is_contact = contacts
                .into_iter()
                .any(|contact| contact.peer_address == *seed);
            if is_member || is_contact {
                continue;
            }
            sends.push(MemberSend {
                message: MemberMessage::Note(self.own.clone()),
                to: *seed,
            });
        }
    }

    fn beat_if_due(&mut self, now: Duration, sends: &mut MemberSends) {
        if now < self.beat_at {
            return;
        }
        self.beat_at = now + BEAT_INTERVAL;
        let directory_hash = self.directory_hash();
        for monitor in self.monitors_of(&self.own.instance) {
            sends.push(MemberSend {
                message: MemberMessage::Beat {
                    directory_hash,
                    epoch: self.own.epoch,
                    instance: self.own.instance.clone(),
                    table_version: self.table_version,
                },
                to: monitor.peer_address,
            });
        }
    }

    /// Monitors of a member: the next live members after it on the ring.
    fn monitors_of(&self, instance: &InstanceName) -> SmallVec<[&Member; MONITORS]> {
        let from = ring_place(instance);
        let mut others: Vec<(u64, &Member)> = Vec::new();
        for member in std::iter::once(&self.own).chain(self.live()) {
            if member.instance != *instance {
                others.push((ring_place(&member.instance).wrapping_sub(from), member));
            }
        }
        others.sort_by_key(|(distance, _)| *distance);
        others
            .into_iter()
            .take(MONITORS)
            .map(|(_, member)| member)
            .collect()
    }

    /// Asks about silent members that this instance monitors, and tells of the dead.
    fn watch(&mut self, now: Duration, sends: &mut MemberSends) {
        let mut dead = Vec::new();
        let instances: Vec<InstanceName> = self.live().map(|m| m.instance.clone()).collect();
        for instance in instances {
            let monitors = self.monitors_of(&instance);
            if !monitors
                .iter()
                .any(|monitor| monitor.instance == self.own.instance)
            {
                continue;
            }
            let mut to_ask: SmallVec<[SocketAddr; MONITORS]> = SmallVec::new();
            for monitor in monitors {
                if monitor.instance != self.own.instance {
                    to_ask.push(monitor.peer_address);
                }
            }
            let Some(known) = self.known.get_mut(&instance) else {
                continue;
            };
            if now.saturating_sub(known.heard_at) < ASK_AFTER {
                known.asked_at = None;
                continue;
            }
            let asked_at = *known.asked_at.get_or_insert(now);
            if now.saturating_sub(asked_at) >= ANSWER_WITHIN {
                known.member.dead = true;
                known.heard_at = now;
                dead.push(known.member.clone());
                continue;
            }
            to_ask.push(known.member.peer_address);
            for to in to_ask {
                sends.push(MemberSend {
                    message: MemberMessage::VouchRequest {
                        asker: self.own.peer_address,
                        instance: instance.clone(),
                    },
                    to,
                });
            }
        }
        for member in dead {
            warn!(
                "member instance={} epoch={} is dead",
                member.instance, member.epoch
            );
            self.broadcast(&member, sends);
            // A member that is alive after all hears of it and takes a higher epoch.
            sends.push(MemberSend {
                to: member.peer_address,
                message: MemberMessage::Note(member),
            });
        }
    }

    fn summarize_if_due(&mut self, now: Duration, sends: &mut MemberSends) {
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
    fn is_relay(&self) -> bool {
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
            data_centre: self.own.data_centre.clone(),
            from: self.own.instance.clone(),
            live_count: 1 + self.live().count() as u32,
            sequence: self.summary_sequence,
            table_version: self.table_version,
        }
    }

    fn forget(&mut self, now: Duration) {
        self.known.retain(|_, known| {
            !known.member.dead || now.saturating_sub(known.heard_at) < FORGET_AFTER
        });
    }

    fn receive_beat(
        &mut self,
        now: Duration,
        instance: &InstanceName,
        epoch: Epoch,
        directory_hash: u64,
        sends: &mut MemberSends,
    ) {
        let own_hash = self.directory_hash();
        let Some(known) = self.known.get_mut(instance) else {
            return;
        };
        let to = known.member.peer_address;
        if epoch < known.member.epoch || (epoch == known.member.epoch && known.member.dead) {
            // An old life, or one that does not know of its death.
            sends.push(MemberSend {
                message: MemberMessage::Note(known.member.clone()),
                to,
            });
            return;
        }
        known.heard_at = now;
        known.asked_at = None;
        let may_send = known
            .directory_sent_at
            .is_none_or(|sent_at| now.saturating_sub(sent_at) >= DIRECTORY_PAUSE);
        if directory_hash != own_hash && may_send {
            known.directory_sent_at = Some(now);
            sends.push(MemberSend {
                message: self.directory(now),
                to,
            });
        }
    }

    /// Takes news of a member. `tell_on` passes news of a join on to the data centre.
    fn receive_note(
        &mut self,
        now: Duration,
        member: Member,
        tell_on: bool,
        sends: &mut MemberSends,
    ) {
        if member.instance == self.own.instance {
            self.refute(&member, sends);
            return;
        }
        if member.data_centre != self.own.data_centre {
            self.receive_foreign(now, member, sends);
            return;
        }
        let known = self.known.get_mut(&member.instance);
        let is_new = match &known {
            Some(known) => member.news() > known.member.news(),
            None => !member.dead,
        };
        if !is_new {
            self.answer_old_news(now, &member, tell_on, sends);
            return;
        }
        let is_join = match &known {
            Some(known) => member.epoch > known.member.epoch,
            None => true,
        };
        let to = member.peer_address;
        self.known.insert(
            member.instance.clone(),
            KnownMember {
                asked_at: None,
                directory_sent_at: Some(now),
                heard_at: now,
                member: member.clone(),
            },
        );
        if !tell_on {
            return;
        }
        if is_join && !member.dead {
            sends.push(MemberSend {
                message: self.directory(now),
                to,
            });
            self.broadcast(&member, sends);
        }
    }

    /// Answers news that is older than what is known: a member that is alive has to take a higher
    /// epoch, and one that asks to join again has to meet the others.
    fn answer_old_news(
        &mut self,
        now: Duration,
        member: &Member,
        is_from_member: bool,
        sends: &mut MemberSends,
    ) {
        let Some(known) = self.known.get_mut(&member.instance) else {
            return;
        };
        let is_behind = member.epoch < known.member.epoch && is_from_member;
        let is_said_dead = member.epoch == known.member.epoch && known.member.dead && !member.dead;
        if is_behind || is_said_dead {
            sends.push(MemberSend {
                message: MemberMessage::Note(known.member.clone()),
                to: member.peer_address,
            });
            return;
        }
        let pause_is_over = known
            .directory_sent_at
            .is_none_or(|sent_at| now.saturating_sub(sent_at) >= DIRECTORY_PAUSE);
        if is_from_member && pause_is_over && member.epoch == known.member.epoch {
            known.directory_sent_at = Some(now);
            sends.push(MemberSend {
                message: self.directory(now),
                to: member.peer_address,
            });
        }
    }

    /// A member of another data centre that asks to join meets this data centre by its summary.
    fn receive_foreign(&mut self, now: Duration, member: Member, sends: &mut MemberSends) {
        if member.dead || member.leaving {
            return;
        }
        let to = member.peer_address;
        if !self.centres.contains_key(&member.data_centre) {
            let summary = CentreSummary {
                contacts: vec![member.clone()],
                data_centre: member.data_centre,
                from: member.instance,
                live_count: 1,
                sequence: 0,
                table_version: 0,
            };
            self.receive_summary(now, summary);
        }
        sends.push(MemberSend {
            message: MemberMessage::Summary(self.own_summary()),
            to,
        });
    }

    /// News of this instance: an equal or later life than its own, or its death, is not true.
    fn refute(&mut self, told: &Member, sends: &mut MemberSends) {
        if told.epoch < self.own.epoch || (told.epoch == self.own.epoch && !told.dead) {
            return;
        }
        self.own.epoch = told.epoch + 1;
        info!(
            "member instance={} takes epoch {}",
            self.own.instance, self.own.epoch
        );
        self.broadcast(&self.own, sends);
    }

    fn receive_summary(&mut self, now: Duration, summary: CentreSummary) {
        if summary.data_centre == self.own.data_centre {
            return;
        }
        match self.centres.get_mut(&summary.data_centre) {
            Some(known) => {
                // Two relays take turns; within one of them an older summary changes nothing, but
                // a new life of it counts from 0 again.
                let is_older = summary.from == known.summary.from
                    && summary.sequence <= known.summary.sequence;
                let is_silent = now.saturating_sub(known.heard_at) >= CENTRE_TIMEOUT;
                if !is_older || is_silent {
                    known.heard_at = now;
                    known.summary = summary;
                }
            }
            None => {
                let name = summary.data_centre.clone();
                let heard_at = now;
                self.centres.insert(name, KnownCentre { heard_at, summary });
            }
        }
    }

    fn receive_vouch(&mut self, now: Duration, instance: &InstanceName, epoch: Epoch) {
        let Some(known) = self.known.get_mut(instance) else {
            return;
        };
        if epoch >= known.member.epoch && !known.member.dead {
            known.asked_at = None;
            // Heard at second hand: it is asked about again soon if it stays silent.
            known.heard_at = known.heard_at.max(now.saturating_sub(ASK_AFTER / 2));
        }
    }

    fn answer_vouch(
        &self,
        now: Duration,
        instance: &InstanceName,
        asker: SocketAddr,
        sends: &mut MemberSends,
    ) {
        let epoch = if *instance == self.own.instance {
            Some(self.own.epoch)
        } else {
            let known = self.known.get(instance);
            let fresh = known.filter(|known| {
                !known.member.dead && now.saturating_sub(known.heard_at) < ASK_AFTER
            });
            fresh.map(|known| known.member.epoch)
        };
        if let Some(epoch) = epoch {
            sends.push(MemberSend {
                message: MemberMessage::Vouch {
                    epoch,
                    instance: instance.clone(),
                },
                to: asker,
            });
        }
    }

    fn directory(&self, now: Duration) -> MemberMessage {
        let mut members = vec![self.own.clone()];
        members.extend(self.known.values().map(|known| known.member.clone()));
        MemberMessage::Directory {
            centres: self.centres(now).cloned().collect(),
            members,
        }
    }

    fn broadcast(&self, news: &Member, sends: &mut MemberSends) {
        for member in self.live() {
            if member.instance == news.instance {
                continue;
            }
            sends.push(MemberSend {
                message: MemberMessage::Note(news.clone()),
                to: member.peer_address,
            });
        }
    }
}

fn rank(name: &str, of: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), xxh3_64(of.as_bytes()))
}

fn ring_place(instance: &str) -> u64 {
    xxh3_64(instance.as_bytes())
}
