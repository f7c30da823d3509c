//! Membership over a network that loses one message in twenty: deaths are found in time, nobody
//! who lives is called dead, restarts and cuts heal.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ebonyspread::member::Member;
use ebonyspread::member::MemberMessage;
use ebonyspread::membership::Membership;
use ebonyspread::membership::TICK_INTERVAL;
use rand::RngExt;

use crate::report::Report;
use crate::schedule::Schedule;

const LOSS: f64 = 0.05;
const DETECT_WITHIN: Duration = Duration::from_secs(3);
const SETTLE_WITHIN: Duration = Duration::from_secs(30);
/// Time in which a new member is known to all; faults come after it.
const START_TIME: Duration = Duration::from_secs(15);
/// Ticks and messages of a node in a second, several times what it sends at rest.
const EVENTS_PER_NODE_S: u64 = 60;

/// Longest delay of a message of an old life.
const STALE_WITHIN: Duration = Duration::from_secs(20);

#[derive(Debug, Clone)]
enum Event {
    Tick {
        node: usize,
        life: u64,
    },
    Deliver {
        to: SocketAddr,
        message: MemberMessage,
    },
    Kill {
        node: usize,
    },
    Restart {
        node: usize,
    },
    Cut {
        centre: usize,
    },
    Heal,
    /// The death of a node has to be known.
    Due {
        node: usize,
        life: u64,
    },
    /// Everybody has to know everybody.
    Settled,
}

struct Node {
    address: SocketAddr,
    centre: usize,
    epoch: u64,
    is_alive: bool,
    life: u64,
    members: Membership,
    started_at: Duration,
}

struct MembersWorld<'a> {
    cut: Option<usize>,
    /// True while deaths are expected only of the killed.
    is_undisturbed: bool,
    nodes: Vec<Node>,
    report: &'a mut Report,
    schedule: Schedule<Event>,
    by_address: BTreeMap<SocketAddr, usize>,
    end: Duration,
}

/// Runs one schedule.
pub fn run(seed: u64, report: &mut Report) {
    let mut schedule = Schedule::new(seed);
    let is_large = seed.is_multiple_of(16);
    let (centres, nodes) = match is_large {
        true => (1, 41),
        false => (
            schedule.rng.random_range(1..4),
            schedule.rng.random_range(3..13),
        ),
    };
    let end = match is_large {
        true => Duration::from_secs(600),
        false => schedule.millis(60_000, 300_000),
    };
    let mut world = MembersWorld {
        cut: None,
        is_undisturbed: true,
        nodes: Vec::new(),
        report,
        schedule,
        by_address: BTreeMap::new(),
        end,
    };
    world.plan(centres, nodes, is_large);
    let allowed = EVENTS_PER_NODE_S * world.nodes.len() as u64 * (world.end.as_secs() + 1);
    while let Some(event) = world.schedule.pop() {
        world.step(event);
        if world.schedule.count() > allowed {
            break;
        }
    }
    let count = world.schedule.count();
    report.check(
        "members: messages stay within their budget",
        count <= allowed,
        || format!("{count} events"),
    );
}

fn address_of(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + node as u16))
}

impl MembersWorld<'_> {
    fn plan(&mut self, centres: usize, nodes: usize, is_large: bool) {
        for node in 0..nodes {
            self.by_address.insert(address_of(node), node);
            let centre = node % centres;
            let epoch = self.schedule.rng.random_range(1..1_000);
            self.nodes.push(Node {
                address: address_of(node),
                centre,
                epoch,
                is_alive: true,
                life: 1,
                members: new_members(node, centre, epoch),
                started_at: Duration::ZERO,
            });
            let wait = self.schedule.millis(0, 250);
            self.schedule.after(wait, Event::Tick { node, life: 1 });
        }
        let end_ms = self.end.as_millis() as u64;
        let settle_ms = SETTLE_WITHIN.as_millis() as u64;
        if is_large {
            self.schedule.after(self.end, Event::Settled);
            return;
        }
        // Deaths and restarts far enough apart to be judged, and perhaps one cut that heals.
        let mut at = START_TIME + self.schedule.millis(0, 3_000);
        while at < self.end {
            let node = self.schedule.below(nodes);
            self.schedule.after(at, Event::Kill { node });
            let down = self.schedule.millis(100, 8_000);
            self.schedule.after(at + down, Event::Restart { node });
            at += START_TIME + down + self.schedule.millis(0, 10_000);
        }
        if centres > 1 && self.schedule.chance(0.5) {
            let at = self.schedule.millis(0, end_ms);
            let centre = self.schedule.below(centres);
            let healed = at + self.schedule.millis(1_000, 200_000);
            self.schedule.after(at, Event::Cut { centre });
            self.schedule.after(healed, Event::Heal);
            self.end = self.end.max(healed);
        }
        self.end += Duration::from_millis(settle_ms);
        self.schedule.after(self.end, Event::Settled);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Tick { node, life } => self.tick(node, life),
            Event::Deliver { to, message } => self.deliver(to, message),
            Event::Kill { node } => self.kill(node),
            Event::Restart { node } => self.restart(node),
            Event::Cut { centre } => {
                self.report.fault("data centre cut off");
                self.cut = Some(centre);
            }
            Event::Heal => self.cut = None,
            Event::Due { node, life } => self.due(node, life),
            Event::Settled => self.settled(),
        }
    }

    fn tick(&mut self, node: usize, life: u64) {
        if self.nodes[node].life != life
            || !self.nodes[node].is_alive
            || self.schedule.now > self.end
        {
            return;
        }
        let uptime = self.uptime(node);
        let sends = self.nodes[node].members.tick(uptime);
        self.send(node, sends);
        self.schedule
            .after(TICK_INTERVAL, Event::Tick { node, life });
        self.check_no_false_death(node);
    }

    /// Each life counts its own time.
    fn uptime(&self, node: usize) -> Duration {
        self.schedule
            .now
            .saturating_sub(self.nodes[node].started_at)
    }

    fn send(&mut self, from: usize, sends: ebonyspread::member::OutboundMessages) {
        for send in sends {
            let Some(to) = self.by_address.get(&send.to).copied() else {
                continue;
            };
            let (a, b) = (self.nodes[from].centre, self.nodes[to].centre);
            let is_cut = a != b && self.cut.is_some_and(|cut| cut == a || cut == b);
            if is_cut || self.schedule.chance(LOSS) {
                continue;
            }
            let wait = match self.schedule.below(500) {
                0 => self.schedule.millis(1_000, STALE_WITHIN.as_millis() as u64),
                _ => self.schedule.millis(1, 20),
            };
            let event = Event::Deliver {
                to: send.to,
                message: send.message,
            };
            self.schedule.after(wait, event);
        }
    }

    fn deliver(&mut self, to: SocketAddr, message: MemberMessage) {
        let node = self.by_address[&to];
        if !self.nodes[node].is_alive {
            return;
        }
        let before = self.epochs(node);
        let uptime = self.uptime(node);
        let sends = self.nodes[node].members.receive(uptime, message);
        self.send(node, sends);
        for (instance, epoch) in self.epochs(node) {
            let known = before.get(&instance).copied().unwrap_or(0);
            self.report.check(
                "members: an earlier life never returns",
                epoch >= known,
                || format!("{instance}: {known} to {epoch}"),
            );
        }
    }

    fn epochs(&self, node: usize) -> BTreeMap<String, u64> {
        let live = self.nodes[node].members.live();
        live.map(|member| (member.instance.to_string(), member.epoch))
            .collect()
    }

    /// A member that runs may never be called dead by a member of its data centre, once both have
    /// been up long enough to have met.
    fn check_no_false_death(&mut self, node: usize) {
        let now = self.schedule.now;
        let is_known = |node: &Node| now.saturating_sub(node.started_at) >= START_TIME;
        if !self.is_undisturbed || !is_known(&self.nodes[node]) {
            return;
        }
        for other in &self.nodes {
            if other.centre != self.nodes[node].centre || !other.is_alive || !is_known(other) {
                continue;
            }
            let name = other.members.own().instance.clone();
            let is_own = other.address == self.nodes[node].address;
            let is_live = is_own || self.nodes[node].members.live().any(|m| m.instance == name);
            self.report.check("members: no false death", is_live, || {
                format!("{name} in the view of node {node} at {now:?}")
            });
        }
    }

    fn kill(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        if !state.is_alive {
            return;
        }
        self.report.fault("instance killed");
        state.is_alive = false;
        let life = state.life;
        self.schedule
            .after(DETECT_WITHIN, Event::Due { node, life });
    }

    fn restart(&mut self, node: usize) {
        let now = self.schedule.now;
        let state = &mut self.nodes[node];
        if state.is_alive {
            return;
        }
        self.report.fault("instance restarted");
        state.life += 1;
        // The new life's clock may be behind the old one's.
        let is_behind = self.schedule.rng.random_bool(0.2);
        state.epoch = match is_behind {
            true => state.epoch.saturating_sub(500),
            false => state.epoch + 1 + self.schedule.rng.random_range(0..1_000),
        };
        state.is_alive = true;
        state.started_at = now;
        state.members = new_members(node, state.centre, state.epoch);
        let life = state.life;
        self.schedule
            .after(Duration::from_millis(1), Event::Tick { node, life });
    }

    fn due(&mut self, node: usize, life: u64) {
        if self.nodes[node].life != life || self.nodes[node].is_alive {
            return;
        }
        let name = self.nodes[node].members.own().instance.clone();
        for other in &self.nodes {
            let is_near = other.centre == self.nodes[node].centre && other.is_alive;
            if !is_near || self.schedule.now.saturating_sub(other.started_at) < START_TIME {
                continue;
            }
            let is_known = other.members.live().all(|member| member.instance != name);
            self.report
                .check("members: death known within 3 s", is_known, || {
                    format!("{name} in the view of {}", other.members.own().instance)
                });
        }
    }

    fn settled(&mut self) {
        let live: Vec<(usize, SocketAddr)> = self
            .nodes
            .iter()
            .filter(|node| node.is_alive)
            .map(|node| (node.centre, node.address))
            .collect();
        for node in self.nodes.iter().filter(|node| node.is_alive) {
            let wanted = live
                .iter()
                .filter(|(centre, _)| *centre == node.centre)
                .count();
            let known = 1 + node.members.live().count();
            self.report
                .check("members: views agree after faults", known == wanted, || {
                    format!("{} knows {known} of {wanted}", node.members.own().instance)
                });
            let all = node.members.live_count() as usize;
            self.report.check(
                "members: data centres count each other",
                all == live.len(),
                || {
                    format!(
                        "{} counts {all} of {}",
                        node.members.own().instance,
                        live.len()
                    )
                },
            );
        }
    }
}

fn new_members(node: usize, centre: usize, epoch: u64) -> Membership {
    let own = Member {
        data_centre: format!("centre-{centre}").into(),
        dead: false,
        epoch,
        instance: format!("node-{node}").into(),
        leaving: false,
        peer_address: address_of(node),
    };
    Membership::new(own, (0..4).map(address_of).collect())
}
