//! Membership of the entry instances, the processes that accept callers' requests: tracks which
//! members are live, in this data centre and in the others.
//!
//! Within a data centre every member sends heartbeats to its monitors, the members that follow it
//! on a hash ring. A monitor that receives none probes the member directly, asks the other monitors
//! for the last heartbeat that they received, and broadcasts the member's death if no probe is
//! answered. SWIM also asks other members before it declares a death, but it probes random members
//! and has the others probe in turn.
//!
//! Between data centres, two members of each act as relays and exchange summaries of their data
//! centre's state. Each heartbeat contains a hash of the sender's directory, the complete state
//! that it knows; a receiver with a different hash sends its own directory, which repairs state
//! that was missed because messages were lost. Wall clocks are never compared: a member that learns
//! of its own death raises its epoch, the number that orders its updates.

use super::*;

use std::cmp::Reverse;

/// Interval at which a member sends heartbeats to each of its monitors.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which [`Membership::tick`] must be called.
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Number of members that watch each member; fewer in data centres with fewer members.
pub const MONITOR_COUNT: usize = 3;

/// Time without a sign of life after which the monitors probe a member.
const PROBE_AFTER: Duration = Duration::from_millis(1_750);

/// Time after the first probe at which a member is declared dead if no probe was answered.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Latency tolerated for each heartbeat and probe answer. It also compensates for clock drift.
const LATENCY_TOLERANCE: Duration = Duration::from_millis(250);

/// Minimum interval between two directories sent to the same member.
const DIRECTORY_MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between join requests to seeds (the addresses in the settings) that are not known
/// members, during the first attempts.
const JOIN_FAST_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between join requests after [`JOIN_FAST_ATTEMPTS`]. Only relays and members that know
/// no other send them, to one seed at a time. They reconnect the sides of a network partition that
/// have already removed each other's members.
const JOIN_SLOW_INTERVAL: Duration = Duration::from_secs(10);

/// Number of join attempts at [`JOIN_FAST_INTERVAL`] before [`JOIN_SLOW_INTERVAL`] applies.
const JOIN_FAST_ATTEMPTS: u32 = 10;

/// Time after a member's death is recorded at which its record is removed.
const DEAD_RETENTION: Duration = Duration::from_secs(60);

/// Newest accepted record of a member, and what is needed to detect its death.
#[derive(Debug)]
pub(crate) struct KnownMember {
    pub(crate) directory_sent_at: Option<Duration>,
    pub(crate) heard_at: Duration,
    pub(crate) heard_uptime: Duration,
    pub(crate) member: Member,
    pub(crate) probed_at: Option<Duration>,
}

impl KnownMember {
    /// Records that the member was alive at `uptime` by its own clock. A delayed message proves
    /// this for the time at which it was sent, not for the time of its arrival.
    fn record_liveness(&mut self, now: Duration, uptime: Duration) {
        if uptime <= self.heard_uptime {
            return;
        }
        let since = uptime - self.heard_uptime;
        self.heard_uptime = uptime;
        self.heard_at = now.min(self.heard_at + since + LATENCY_TOLERANCE);
        if now.saturating_sub(self.heard_at) < PROBE_AFTER {
            self.probed_at = None;
        }
    }
}

/// Membership as seen by one instance. It sends nothing itself: its methods take the current time
/// and return the messages to send.
#[derive(Debug)]
pub struct Membership {
    pub(crate) centres: BTreeMap<DataCentreName, KnownCentre>,
    pub(crate) join_attempts: u32,
    pub(crate) known: BTreeMap<InstanceName, KnownMember>,
    pub(crate) next_heartbeat_at: Duration,
    pub(crate) next_join_at: Duration,
    pub(crate) next_own_update_at: Duration,
    pub(crate) next_summary_at: Duration,
    pub(crate) own: Member,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) summary_sequence: u64,
    pub(crate) table_version: TableVersion,
    pub(crate) was_relay: bool,
}

impl Membership {
    /// Creates the view of an instance that knows no other member. Join requests go to `seeds`,
    /// except to the instance's own address.
    pub fn new(own: Member, seeds: Vec<SocketAddr>) -> Self {
        let seeds = seeds
            .into_iter()
            .filter(|seed| *seed != own.peer_address)
            .collect();
        Self {
            centres: BTreeMap::new(),
            join_attempts: 0,
            known: BTreeMap::new(),
            next_heartbeat_at: Duration::ZERO,
            next_join_at: Duration::ZERO,
            next_own_update_at: Duration::ZERO,
            next_summary_at: Duration::ZERO,
            own,
            seeds,
            summary_sequence: 0,
            table_version: 0,
            was_relay: false,
        }
    }

    /// Returns the record that this instance sends about itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Sets the version that heartbeats and summaries carry from now on: that of the table (the
    /// operators' list of backend servers, models, routes and client accounts) which this instance
    /// applies.
    pub fn set_table_version(&mut self, version: TableVersion) {
        self.table_version = version;
    }

    /// Marks this instance as leaving, so that members choose it for no new work, and returns the
    /// messages that tell them.
    pub fn set_leaving(&mut self) -> OutboundMessages {
        self.own.leaving = true;
        let mut outbound = OutboundMessages::new();
        self.broadcast(&self.own, &mut outbound);
        outbound
    }

    /// Returns the members of this data centre that were not declared dead, except this one;
    /// leaving members are included.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.known
            .values()
            .map(|known| &known.member)
            .filter(|member| !member.dead)
    }

    /// Returns the live members of this data centre that are not leaving, including this instance
    /// unless it is leaving itself.
    pub fn active(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own)
            .chain(self.live())
            .filter(|member| !member.leaving)
    }

    /// Returns the summaries of the other data centres that are not cut off.
    pub fn centres(&self) -> impl Iterator<Item = &CentreSummary> {
        let summaries = self.centres.values().map(|known| &known.summary);
        summaries.filter(|summary| !summary.cut_off)
    }

    /// Returns the number of live instances, including this one, in all data centres that are not
    /// cut off. The counts of other data centres come from their summaries.
    pub fn live_count(&self) -> u32 {
        let here = 1 + self.live().count() as u32;
        here + self
            .centres()
            .map(|summary| summary.live_count)
            .sum::<u32>()
    }

    /// Returns the home data centre of a name, such as that of a claim partition (a log stream with
    /// reservations of idempotency keys): the one that handles its requests, chosen by rendezvous
    /// hashing over this data centre and those that are not cut off.
    pub fn home_centre(&self, name: &str) -> DataCentreName {
        let mut best = (rank(name, &self.own.data_centre), &self.own.data_centre);
        for summary in self.centres() {
            let ranked = (rank(name, &summary.data_centre), &summary.data_centre);
            best = best.max(ranked);
        }
        best.1.clone()
    }

    /// Returns the home of a name in this data centre: the active member that handles its requests,
    /// chosen by rendezvous hashing after skipping the `skip` highest-ranked members; `None` if
    /// fewer members are active.
    pub fn home(&self, name: &str, skip: usize) -> Option<&Member> {
        let mut ranked: Vec<(u64, &Member)> = Vec::new();
        for member in self.active() {
            ranked.push((rank(name, &member.instance), member));
        }
        ranked.sort_by_key(|(rank, _)| Reverse(*rank));
        ranked.get(skip).map(|(_, member)| *member)
    }

    /// Returns true if this instance is among the first `count` homes of a name: fewer than `count`
    /// active members rank above it.
    pub fn is_home(&self, name: &str, count: usize) -> bool {
        let own_rank = rank(name, &self.own.instance);
        let above = self
            .active()
            .filter(|member| rank(name, &member.instance) > own_rank)
            .count();
        above < count
    }

    /// Performs all periodic work that is due and returns the messages to send: join requests,
    /// heartbeats, probes, death notices and summaries.
    pub fn tick(&mut self, now: Duration) -> OutboundMessages {
        let mut outbound = OutboundMessages::new();
        self.join_if_due(now, &mut outbound);
        if self.send_heartbeats_if_due(now, &mut outbound) {
            self.announce_to_dead_members(&mut outbound);
        }
        self.detect_failures(now, &mut outbound);
        self.send_summary_if_due(now, &mut outbound);
        self.detect_cut_off_centres(now, &mut outbound);
        self.remove_expired_dead(now);
        outbound
    }

    /// Applies a received message and returns the messages to send in response.
    pub fn receive(&mut self, now: Duration, message: MemberMessage) -> OutboundMessages {
        let mut outbound = OutboundMessages::new();
        match message {
            MemberMessage::Beat {
                directory_hash,
                epoch,
                instance,
                uptime,
                ..
            } => {
                let is_current =
                    self.receive_heartbeat(now, &instance, epoch, uptime, &mut outbound);
                if is_current && directory_hash != self.directory_hash() {
                    self.send_directory(now, &instance, &mut outbound);
                }
            }
            MemberMessage::Directory { centres, members } => {
                for member in members {
                    self.receive_update(now, member, false, &mut outbound);
                }
                for summary in centres {
                    self.receive_relayed_summary(now, summary);
                }
            }
            MemberMessage::Note(member) => self.receive_update(now, member, true, &mut outbound),
            MemberMessage::Summary(summary) if summary.data_centre == self.own.data_centre => {
                self.join_contacts(&summary, &mut outbound);
            }
            MemberMessage::Summary(summary) if summary.revision > 0 => {
                self.receive_relayed_summary(now, summary);
            }
            MemberMessage::Summary(summary) => self.receive_summary(now, summary, &mut outbound),
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
                if let Some(answer) = self.answer_vouch_request(now, &instance, question) {
                    outbound.push(OutboundMessage {
                        message: answer,
                        to: asker,
                    });
                }
            }
        }
        outbound
    }

    /// Returns a hash of the state on which all members of a data centre converge: its live
    /// members, and the revisions of other data centres' summaries.
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
            // Dead members are removed at different times on different instances, so they are
            // excluded.
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

    fn join_if_due(&mut self, now: Duration, outbound: &mut OutboundMessages) {
        if now < self.next_join_at {
            return;
        }
        self.join_attempts += 1;
        if self.join_attempts <= JOIN_FAST_ATTEMPTS {
            self.next_join_at = now + JOIN_FAST_INTERVAL;
            for seed in &self.seeds {
                self.send_join_request(*seed, outbound);
            }
            return;
        }
        self.next_join_at = now + JOIN_SLOW_INTERVAL;
        let is_alone = self.live().next().is_none();
        if self.seeds.is_empty() || !(is_alone || self.is_relay()) {
            return;
        }
        let turn = self.join_attempts as usize % self.seeds.len();
        self.send_join_request(self.seeds[turn], outbound);
    }

    /// Sends a join request to a seed that is not a known member. While this instance knows nobody
    /// in its own data centre, it also asks seeds that other data centres list as their contacts;
    /// these can name the members to join.
    fn send_join_request(&self, seed: SocketAddr, outbound: &mut OutboundMessages) {
        let is_alone = self.live().next().is_none();
        let is_member = self.live().any(|member| member.peer_address == seed);
        let mut contacts = self.centres().flat_map(|summary| &summary.contacts);
        let is_contact = contacts.any(|contact| contact.peer_address == seed);
        if is_member || (is_contact && !is_alone) {
            return;
        }
        outbound.push(OutboundMessage {
            message: MemberMessage::Note(self.own.clone()),
            to: seed,
        });
    }

    /// If this instance is a relay, sends its record to the addresses of dead members: an instance
    /// that restarts there may be unable to reach any of its seeds if its data centre is cut off.
    fn announce_to_dead_members(&self, outbound: &mut OutboundMessages) {
        if !self.is_relay() {
            return;
        }
        for known in self.known.values().filter(|known| known.member.dead) {
            outbound.push(OutboundMessage {
                message: MemberMessage::Note(self.own.clone()),
                to: known.member.peer_address,
            });
        }
    }

    /// Sends heartbeats to this instance's monitors. Returns false if none is due yet.
    fn send_heartbeats_if_due(&mut self, now: Duration, outbound: &mut OutboundMessages) -> bool {
        if now < self.next_heartbeat_at {
            return false;
        }
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
        let directory_hash = self.directory_hash();
        for monitor in self.monitors_of(&self.own.instance) {
            outbound.push(OutboundMessage {
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

    /// Returns the monitors of a member: the [`MONITOR_COUNT`] live members that follow it on the
    /// ring.
    fn monitors_of(&self, instance: &InstanceName) -> SmallVec<[&Member; MONITOR_COUNT]> {
        let from = ring_position(instance);
        let mut others: Vec<(u64, &Member)> = Vec::new();
        for member in std::iter::once(&self.own).chain(self.live()) {
            if member.instance != *instance {
                others.push((ring_position(&member.instance).wrapping_sub(from), member));
            }
        }
        others.sort_by_key(|(distance, _)| *distance);
        others
            .into_iter()
            .take(MONITOR_COUNT)
            .map(|(_, member)| member)
            .collect()
    }

    fn is_monitor_of(&self, instance: &InstanceName) -> bool {
        let monitors = self.monitors_of(instance);
        monitors
            .iter()
            .any(|monitor| monitor.instance == self.own.instance)
    }

    /// Probes the silent members that this instance monitors and broadcasts the deaths of those
    /// for which no probe was answered.
    fn detect_failures(&mut self, now: Duration, outbound: &mut OutboundMessages) {
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
            let mut probe_targets: SmallVec<[SocketAddr; MONITOR_COUNT]> = SmallVec::new();
            for monitor in monitors {
                if monitor.instance != self.own.instance {
                    probe_targets.push(monitor.peer_address);
                }
            }
            let Some(known) = self.known.get_mut(&instance) else {
                continue;
            };
            if now.saturating_sub(known.heard_at) < PROBE_AFTER {
                known.probed_at = None;
                continue;
            }
            let probed_at = *known.probed_at.get_or_insert(now);
            let probe_timed_out = now.saturating_sub(probed_at) >= PROBE_TIMEOUT;
            if probe_timed_out || is_disabled(Safeguard::AskBeforeDeath) {
                known.member.dead = true;
                known.heard_at = now;
                dead.push(known.member.clone());
                continue;
            }
            probe_targets.push(known.member.peer_address);
            for to in probe_targets {
                outbound.push(OutboundMessage {
                    message: MemberMessage::VouchRequest {
                        asker: self.own.peer_address,
                        instance: instance.clone(),
                        question: probed_at.as_millis() as u64,
                    },
                    to,
                });
            }
        }
        for member in dead {
            warn!(
                "member instance={} epoch={} declared dead",
                member.instance, member.epoch
            );
            self.broadcast(&member, outbound);
            // If the member is alive after all, this notice makes it raise its epoch.
            outbound.push(OutboundMessage {
                to: member.peer_address,
                message: MemberMessage::Note(member),
            });
        }
    }

    fn remove_expired_dead(&mut self, now: Duration) {
        self.known.retain(|_, known| {
            !known.member.dead || now.saturating_sub(known.heard_at) < DEAD_RETENTION
        });
    }

    /// Handles a heartbeat. Returns true if the sender is a known live member and the heartbeat
    /// carries its known epoch.
    fn receive_heartbeat(
        &mut self,
        now: Duration,
        instance: &InstanceName,
        epoch: Epoch,
        uptime: Duration,
        outbound: &mut OutboundMessages,
    ) -> bool {
        let Some(known) = self.known.get_mut(instance) else {
            return false;
        };
        let is_current = epoch == known.member.epoch && !known.member.dead;
        if !is_current {
            // The sender has an old epoch, does not know that it was declared dead, or has an epoch
            // whose update was lost. The known record makes it broadcast its state again.
            outbound.push(OutboundMessage {
                message: MemberMessage::Note(known.member.clone()),
                to: known.member.peer_address,
            });
            return false;
        }
        known.record_liveness(now, uptime);
        true
    }

    /// Sends the directory to a known member, at most once per [`DIRECTORY_MIN_INTERVAL`].
    fn send_directory(
        &mut self,
        now: Duration,
        to: &InstanceName,
        outbound: &mut OutboundMessages,
    ) {
        let directory = self.directory();
        let Some(known) = self.known.get_mut(to) else {
            return;
        };
        let sent_at = known.directory_sent_at;
        if sent_at.is_some_and(|sent_at| now.saturating_sub(sent_at) < DIRECTORY_MIN_INTERVAL) {
            return;
        }
        known.directory_sent_at = Some(now);
        outbound.push(OutboundMessage {
            message: directory,
            to: known.member.peer_address,
        });
    }

    /// Handles an update of a member. If `forward` is set, it broadcasts joins to the data centre,
    /// and also deaths of members that this instance monitors.
    fn receive_update(
        &mut self,
        now: Duration,
        member: Member,
        forward: bool,
        outbound: &mut OutboundMessages,
    ) {
        if member.instance == self.own.instance {
            self.refute(now, &member, outbound);
            return;
        }
        if member.data_centre != self.own.data_centre {
            self.receive_remote_member(now, member, outbound);
            return;
        }
        let known = self.known.get_mut(&member.instance);
        let is_new = match &known {
            Some(known) if is_disabled(Safeguard::EpochOrder) => member != known.member,
            Some(known) => member.precedence() > known.member.precedence(),
            None => !member.dead,
        };
        if !is_new {
            self.answer_stale_update(now, &member, forward, outbound);
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
                directory_sent_at: Some(now),
                heard_at: now,
                heard_uptime: Duration::ZERO,
                member: member.clone(),
                probed_at: None,
            },
        );
        if !forward {
            return;
        }
        let is_monitored_here = member.dead && self.is_monitor_of(&member.instance);
        if is_monitored_here {
            // Every monitor broadcasts the death, so that one lost message does not hide it.
            self.broadcast(&member, outbound);
        }
        if is_join && !member.dead {
            outbound.push(OutboundMessage {
                message: self.directory(),
                to,
            });
            self.broadcast(&member, outbound);
        }
    }

    /// Answers an update that is older than the known record: a live member has to raise its epoch,
    /// and one that asks to join again needs the directory.
    fn answer_stale_update(
        &mut self,
        now: Duration,
        member: &Member,
        is_from_member: bool,
        outbound: &mut OutboundMessages,
    ) {
        let Some(known) = self.known.get_mut(&member.instance) else {
            return;
        };
        let is_behind = member.epoch < known.member.epoch && is_from_member;
        let is_known_dead = member.epoch == known.member.epoch && known.member.dead && !member.dead;
        if is_behind || is_known_dead {
            outbound.push(OutboundMessage {
                message: MemberMessage::Note(known.member.clone()),
                to: member.peer_address,
            });
            return;
        }
        if is_from_member && member.epoch == known.member.epoch {
            self.send_directory(now, &member.instance, outbound);
        }
    }

    /// Handles an update about this instance. A report of its death, or of an epoch above its own,
    /// is refuted by raising the epoch.
    fn refute(&mut self, now: Duration, update: &Member, outbound: &mut OutboundMessages) {
        if update.epoch == self.own.epoch && !update.dead {
            return;
        }
        if update.epoch < self.own.epoch {
            // The sender missed this instance's current epoch.
            if now >= self.next_own_update_at {
                self.next_own_update_at = now + DIRECTORY_MIN_INTERVAL;
                self.broadcast(&self.own, outbound);
            }
            return;
        }
        self.own.epoch = update.epoch + 1;
        // Members that rejected the old epoch may not know this instance until it joins again.
        self.next_join_at = now;
        info!(
            "member instance={} raised its epoch to {}",
            self.own.instance, self.own.epoch
        );
        self.broadcast(&self.own, outbound);
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
        let pending_probe = known
            .probed_at
            .map(|probed_at| probed_at.as_millis() as u64);
        if pending_probe == Some(question) && epoch >= known.member.epoch && !known.member.dead {
            known.record_liveness(now, uptime);
        }
    }

    /// Answers a probe with the uptime at which the member was last known to be alive.
    fn answer_vouch_request(
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

    fn broadcast(&self, update: &Member, outbound: &mut OutboundMessages) {
        for member in self.live() {
            if member.instance == update.instance {
                continue;
            }
            outbound.push(OutboundMessage {
                message: MemberMessage::Note(update.clone()),
                to: member.peer_address,
            });
        }
    }
}

fn rank(name: &str, of: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), xxh3_64(of.as_bytes()))
}

pub(crate) fn ring_position(instance: &str) -> u64 {
    xxh3_64(instance.as_bytes())
}
