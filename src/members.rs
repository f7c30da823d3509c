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

/// A member not heard of for this long is asked about.
const ASK_AFTER: Duration = Duration::from_millis(1_750);

/// A member is dead if no word of it comes for this long after it was first asked about.
const ANSWER_WITHIN: Duration = Duration::from_millis(500);

/// Latency that is forgiven in each sign of life; it also makes good clocks that drift.
const LATENCY_SLACK: Duration = Duration::from_millis(250);

/// Least time between two directories to the same member.
const DIRECTORY_PAUSE: Duration = Duration::from_secs(1);

/// Interval at which seeds that are not known are asked, at first.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// The same after [`JOIN_FAST_TRIES`], by relays and one seed at a time; it heals partitions that
/// outlasted all other contact.
const JOIN_SLOW_INTERVAL: Duration = Duration::from_secs(10);

/// Tries at the first interval.
const JOIN_FAST_TRIES: u32 = 10;

/// Dead members are forgotten after this long.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// A member as this instance knows it.
#[derive(Debug)]
pub(crate) struct KnownMember {
    pub(crate) asked_at: Option<Duration>,
    pub(crate) directory_sent_at: Option<Duration>,
    pub(crate) heard_at: Duration,
    pub(crate) heard_uptime: Duration,
    pub(crate) member: Member,
}

impl KnownMember {
    /// Takes a sign of life that the member gave at `uptime` by its clock. A sign that was long
    /// on the way counts for when it was given, not for when it came.
    fn hear(&mut self, now: Duration, uptime: Duration) {
        if uptime <= self.heard_uptime {
            return;
        }
        let since = uptime - self.heard_uptime;
        self.heard_uptime = uptime;
        self.heard_at = now.min(self.heard_at + since + LATENCY_SLACK);
        if now.saturating_sub(self.heard_at) < ASK_AFTER {
            self.asked_at = None;
        }
    }
}

/// What one instance knows of all.
#[derive(Debug)]
pub struct Members {
    pub(crate) beat_at: Duration,
    pub(crate) centres: BTreeMap<DataCentreName, KnownCentre>,
    pub(crate) join_at: Duration,
    pub(crate) join_tries: u32,
    pub(crate) known: BTreeMap<InstanceName, KnownMember>,
    pub(crate) own: Member,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) summary_at: Duration,
    pub(crate) tell_own_at: Duration,
    pub(crate) was_relay: bool,
    pub(crate) summary_sequence: u64,
    pub(crate) table_version: TableVersion,
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
            tell_own_at: Duration::ZERO,
            was_relay: false,
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
    pub fn centres(&self) -> impl Iterator<Item = &CentreSummary> {
        let summaries = self.centres.values().map(|known| &known.summary);
        summaries.filter(|summary| !summary.cut_off)
    }

    /// Live instances in all data centres that are not cut off.
    pub fn live_count(&self) -> u32 {
        let here = 1 + self.live().count() as u32;
        here + self
            .centres()
            .map(|summary| summary.live_count)
            .sum::<u32>()
    }

    /// Data centre that is home to a name, such as a partition's.
    pub fn home_centre(&self, name: &str) -> DataCentreName {
        let mut best = (rank(name, &self.own.data_centre), &self.own.data_centre);
        for summary in self.centres() {
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
        if self.beat_if_due(now, &mut sends) {
            self.greet_dead(&mut sends);
        }
        self.watch(now, &mut sends);
        self.summarize_if_due(now, &mut sends);
        self.watch_centres(now, &mut sends);
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
                uptime,
                ..
            } => {
                let is_current = self.receive_beat(now, &instance, epoch, uptime, &mut sends);
                if is_current && directory_hash != self.directory_hash() {
                    self.send_directory(now, &instance, &mut sends);
                }
            }
            MemberMessage::Directory { centres, members } => {
                for member in members {
                    self.receive_note(now, member, false, &mut sends);
                }
                for summary in centres {
                    self.receive_inner_summary(now, summary);
                }
            }
            MemberMessage::Note(member) => self.receive_note(now, member, true, &mut sends),
            MemberMessage::Summary(summary) if summary.data_centre == self.own.data_centre => {
                self.join_through(&summary, &mut sends);
            }
            MemberMessage::Summary(summary) if summary.revision > 0 => {
                self.receive_inner_summary(now, summary);
            }
            MemberMessage::Summary(summary) => self.receive_summary(now, summary, &mut sends),
            MemberMessage::Vouch {
                epoch,
                instance,
                question,
                uptime,
            } => self.receive_vouch(now, &instance, epoch, uptime, question),
            MemberMessage::VouchRequest {
                asker,
                instance,
                question,
            } => {
                if let Some(answer) = self.vouch(now, &instance, question) {
                    sends.push(MemberSend {
                        message: answer,
                        to: asker,
                    });
                }
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
        for (centre, known) in &self.centres {
            let _ = writeln!(text, "{centre} {}", known.summary.revision);
        }
        xxh3_64(text.as_bytes())
    }

    fn join_if_due(&mut self, now: Duration, sends: &mut MemberSends) {
        if now < self.join_at {
            return;
        }
        self.join_tries += 1;
        if self.join_tries <= JOIN_FAST_TRIES {
            self.join_at = now + JOIN_INTERVAL;
            for seed in &self.seeds {
                self.ask_seed(*seed, sends);
            }
            return;
        }
        self.join_at = now + JOIN_SLOW_INTERVAL;
        let is_alone = self.live().next().is_none();
        if self.seeds.is_empty() || !(is_alone || self.is_relay()) {
            return;
        }
        let turn = self.join_tries as usize % self.seeds.len();
        self.ask_seed(self.seeds[turn], sends);
    }

    /// Asks to join through a seed that is not known already. While this instance has met nobody
    /// of its data centre, contacts of others are asked too: they know whom to join.
    fn ask_seed(&self, seed: SocketAddr, sends: &mut MemberSends) {
        let is_alone = self.live().next().is_none();
        let is_member = self.live().any(|member| member.peer_address == seed);
        let mut contacts = self.centres().flat_map(|summary| &summary.contacts);
        let is_contact = contacts.any(|contact| contact.peer_address == seed);
        if is_member || (is_contact && !is_alone) {
            return;
        }
        sends.push(MemberSend {
            message: MemberMessage::Note(self.own.clone()),
            to: seed,
        });
    }

    /// As a relay, greets the addresses of the dead: an instance that is started there again may
    /// reach none of its seeds, if its data centre is cut off.
    fn greet_dead(&self, sends: &mut MemberSends) {
        if !self.is_relay() {
            return;
        }
        for known in self.known.values().filter(|known| known.member.dead) {
            sends.push(MemberSend {
                message: MemberMessage::Note(self.own.clone()),
                to: known.member.peer_address,
            });
        }
    }

    /// Beats to the monitors. Returns false if it is not yet time to.
    fn beat_if_due(&mut self, now: Duration, sends: &mut MemberSends) -> bool {
        if now < self.beat_at {
            return false;
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
                    uptime: now,
                },
                to: monitor.peer_address,
            });
        }
        true
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

    fn is_monitor_of(&self, instance: &InstanceName) -> bool {
        let monitors = self.monitors_of(instance);
        monitors
            .iter()
            .any(|monitor| monitor.instance == self.own.instance)
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
            let is_asked = now.saturating_sub(asked_at) >= ANSWER_WITHIN;
            if is_asked || is_disabled(Safeguard::AskBeforeDeath) {
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
                        question: asked_at.as_millis() as u64,
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

    fn forget(&mut self, now: Duration) {
        self.known.retain(|_, known| {
            !known.member.dead || now.saturating_sub(known.heard_at) < FORGET_AFTER
        });
    }

    /// Takes a beat. Returns true if it is of the life that is known.
    fn receive_beat(
        &mut self,
        now: Duration,
        instance: &InstanceName,
        epoch: Epoch,
        uptime: Duration,
        sends: &mut MemberSends,
    ) -> bool {
        let Some(known) = self.known.get_mut(instance) else {
            return false;
        };
        let is_known_life = epoch == known.member.epoch && !known.member.dead;
        if !is_known_life {
            // An old life, one that does not know of its death, or one whose news was lost: what
            // the member hears of itself makes it tell of itself anew.
            sends.push(MemberSend {
                message: MemberMessage::Note(known.member.clone()),
                to: known.member.peer_address,
            });
            return false;
        }
        known.hear(now, uptime);
        true
    }

    /// Sends everything known to a member, but not too often.
    fn send_directory(&mut self, now: Duration, to: &InstanceName, sends: &mut MemberSends) {
        let directory = self.directory();
        let Some(known) = self.known.get_mut(to) else {
            return;
        };
        let sent_at = known.directory_sent_at;
        if sent_at.is_some_and(|sent_at| now.saturating_sub(sent_at) < DIRECTORY_PAUSE) {
            return;
        }
        known.directory_sent_at = Some(now);
        sends.push(MemberSend {
            message: directory,
            to: known.member.peer_address,
        });
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
            self.refute(now, &member, sends);
            return;
        }
        if member.data_centre != self.own.data_centre {
            self.receive_foreign(now, member, sends);
            return;
        }
        let known = self.known.get_mut(&member.instance);
        let is_new = match &known {
            Some(known) if is_disabled(Safeguard::EpochOrder) => member != known.member,
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
                heard_uptime: Duration::ZERO,
                member: member.clone(),
            },
        );
        if !tell_on {
            return;
        }
        let is_monitored_here = member.dead && self.is_monitor_of(&member.instance);
        if is_monitored_here {
            // Each monitor tells of a death, so that one lost message does not hide it.
            self.broadcast(&member, sends);
        }
        if is_join && !member.dead {
            sends.push(MemberSend {
                message: self.directory(),
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
        if is_from_member && member.epoch == known.member.epoch {
            self.send_directory(now, &member.instance, sends);
        }
    }

    /// News of this instance: an equal or later life than its own, or its death, is not true.
    fn refute(&mut self, now: Duration, told: &Member, sends: &mut MemberSends) {
        if told.epoch == self.own.epoch && !told.dead {
            return;
        }
        if told.epoch < self.own.epoch {
            // Somebody has missed this life.
            if now >= self.tell_own_at {
                self.tell_own_at = now + DIRECTORY_PAUSE;
                self.broadcast(&self.own, sends);
            }
            return;
        }
        self.own.epoch = told.epoch + 1;
        // Those who refused the old epoch may know this instance only now.
        self.join_at = now;
        info!(
            "member instance={} takes epoch {}",
            self.own.instance, self.own.epoch
        );
        self.broadcast(&self.own, sends);
    }

    fn receive_vouch(
        &mut self,
        now: Duration,
        instance: &InstanceName,
        epoch: Epoch,
        uptime: Duration,
        question: u64,
    ) {
        let Some(known) = self.known.get_mut(instance) else {
            return;
        };
        let asked = known.asked_at.map(|asked_at| asked_at.as_millis() as u64);
        if asked == Some(question) && epoch >= known.member.epoch && !known.member.dead {
            known.hear(now, uptime);
        }
    }

    /// What this instance knows of a member's life.
    fn vouch(
        &self,
        now: Duration,
        instance: &InstanceName,
        question: u64,
    ) -> Option<MemberMessage> {
        let (uptime, epoch) = if *instance == self.own.instance {
            (now, self.own.epoch)
        } else {
            let known = self
                .known
                .get(instance)
                .filter(|known| !known.member.dead)?;
            (known.heard_uptime, known.member.epoch)
        };
        Some(MemberMessage::Vouch {
            epoch,
            instance: instance.clone(),
            question,
            uptime,
        })
    }

    fn directory(&self) -> MemberMessage {
        let mut members = vec![self.own.clone()];
        members.extend(self.known.values().map(|known| known.member.clone()));
        MemberMessage::Directory {
            centres: self
                .centres
                .values()
                .map(|known| known.summary.clone())
                .collect(),
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

pub(crate) fn ring_place(instance: &str) -> u64 {
    xxh3_64(instance.as_bytes())
}
