//! Simulates membership over a network that loses one message in twenty. Checks that dead members
//! are detected in time, that no live member is declared dead, and that views converge after
//! restarts and partitions.

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

const LOSS_RATE: f64 = 0.05;
const DETECTION_TIMEOUT: Duration = Duration::from_secs(3);
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time within which all members know a new member. Kills start after it.
const JOIN_TIME: Duration = Duration::from_secs(15);
/// Maximum ticks and messages per node and second, several times the rate of an idle node.
const EVENTS_PER_NODE_S: u64 = 60;

/// Maximum delay of a message, long enough to arrive in a later incarnation.
const DELAY_MAX: Duration = Duration::from_secs(20);

#[derive(Debug, Clone)]
enum Event {
    Tick {
        node: usize,
        incarnation: u64,
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
    Disconnect {
        centre: usize,
    },
    Heal,
    /// The death of a node must be known by now.
    CheckDetection {
        node: usize,
        incarnation: u64,
    },
    /// All views must agree by now.
    CheckConvergence,
}

struct Node {
    address: SocketAddr,
    centre: usize,
    epoch: u64,
    incarnation: u64,
    is_alive: bool,
    membership: Membership,
    started_at: Duration,
}

struct MembersWorld<'a> {
    by_address: BTreeMap<SocketAddr, usize>,
    /// True if no live member may be declared dead.
    checks_false_deaths: bool,
    disconnected_centre: Option<usize>,
    end: Duration,
    nodes: Vec<Node>,
    report: &'a mut Report,
    schedule: Schedule<Event>,
}

/// Simulates one schedule and records its checks in the report.
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
        by_address: BTreeMap::new(),
        checks_false_deaths: true,
        disconnected_centre: None,
        end,
        nodes: Vec::new(),
        report,
        schedule,
    };
    world.schedule_workload(centres, nodes, is_large);
    let allowed = EVENTS_PER_NODE_S * world.nodes.len() as u64 * (world.end.as_secs() + 1);
    while let Some(event) = world.schedule.pop() {
        world.step(event);
        if world.schedule.count() > allowed {
            break;
        }
    }
    let count = world.schedule.count();
    report.check(
        "members: event rate within its bound",
        count <= allowed,
        || format!("{count} events"),
    );
}

fn address_of(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + node as u16))
}

impl MembersWorld<'_> {
    fn schedule_workload(&mut self, centres: usize, nodes: usize, is_large: bool) {
        for node in 0..nodes {
            self.by_address.insert(address_of(node), node);
            let centre = node % centres;
            let epoch = self.schedule.rng.random_range(1..1_000);
            self.nodes.push(Node {
                address: address_of(node),
                centre,
                epoch,
                incarnation: 1,
                is_alive: true,
                membership: new_membership(node, centre, epoch),
                started_at: Duration::ZERO,
            });
            let wait = self.schedule.millis(0, 250);
            self.schedule.after(
                wait,
                Event::Tick {
                    node,
                    incarnation: 1,
                },
            );
        }
        let end_ms = self.end.as_millis() as u64;
        let convergence_ms = CONVERGENCE_TIMEOUT.as_millis() as u64;
        if is_large {
            self.schedule.after(self.end, Event::CheckConvergence);
            return;
        }
        // Kills and restarts are far enough apart to be checked one by one; a data centre may be
        // disconnected once and reconnected.
        let mut at = JOIN_TIME + self.schedule.millis(0, 3_000);
        while at < self.end {
            let node = self.schedule.below(nodes);
            self.schedule.after(at, Event::Kill { node });
            let down = self.schedule.millis(100, 8_000);
            self.schedule.after(at + down, Event::Restart { node });
            at += JOIN_TIME + down + self.schedule.millis(0, 10_000);
        }
        if centres > 1 && self.schedule.chance(0.5) {
            let at = self.schedule.millis(0, end_ms);
            let centre = self.schedule.below(centres);
            let heal_at = at + self.schedule.millis(1_000, 200_000);
            self.schedule.after(at, Event::Disconnect { centre });
            self.schedule.after(heal_at, Event::Heal);
            self.end = self.end.max(heal_at);
        }
        self.end += Duration::from_millis(convergence_ms);
        self.schedule.after(self.end, Event::CheckConvergence);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Tick { node, incarnation } => self.tick(node, incarnation),
            Event::Deliver { to, message } => self.deliver(to, message),
            Event::Kill { node } => self.kill(node),
            Event::Restart { node } => self.restart(node),
            Event::Disconnect { centre } => {
                self.report.fault("data centre cut off");
                self.disconnected_centre = Some(centre);
            }
            Event::Heal => self.disconnected_centre = None,
            Event::CheckDetection { node, incarnation } => self.check_detection(node, incarnation),
            Event::CheckConvergence => self.check_convergence(),
        }
    }

    fn tick(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation != incarnation
            || !self.nodes[node].is_alive
            || self.schedule.now > self.end
        {
            return;
        }
        let uptime = self.uptime(node);
        let outbound = self.nodes[node].membership.tick(uptime);
        self.send(node, outbound);
        self.schedule
            .after(TICK_INTERVAL, Event::Tick { node, incarnation });
        self.check_no_false_death(node);
    }

    /// Returns the time since the start of the node's current incarnation.
    fn uptime(&self, node: usize) -> Duration {
        self.schedule
            .now
            .saturating_sub(self.nodes[node].started_at)
    }

    fn send(&mut self, from: usize, outbound: ebonyspread::member::OutboundMessages) {
        for message in outbound {
            let Some(to) = self.by_address.get(&message.to).copied() else {
                continue;
            };
            let (a, b) = (self.nodes[from].centre, self.nodes[to].centre);
            let is_disconnected = a != b
                && self
                    .disconnected_centre
                    .is_some_and(|centre| centre == a || centre == b);
            if is_disconnected || self.schedule.chance(LOSS_RATE) {
                continue;
            }
            let wait = match self.schedule.below(500) {
                0 => self.schedule.millis(1_000, DELAY_MAX.as_millis() as u64),
                _ => self.schedule.millis(1, 20),
            };
            let event = Event::Deliver {
                to: message.to,
                message: message.message,
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
        let outbound = self.nodes[node].membership.receive(uptime, message);
        self.send(node, outbound);
        for (instance, epoch) in self.epochs(node) {
            let known = before.get(&instance).copied().unwrap_or(0);
            self.report.check(
                "members: an earlier incarnation never returns",
                epoch >= known,
                || format!("{instance}: {known} to {epoch}"),
            );
        }
    }

    fn epochs(&self, node: usize) -> BTreeMap<String, u64> {
        let live = self.nodes[node].membership.live();
        live.map(|member| (member.instance.to_string(), member.epoch))
            .collect()
    }

    /// Checks that no member declares a live member of its data centre dead, once both have run for
    /// `JOIN_TIME`.
    fn check_no_false_death(&mut self, node: usize) {
        let now = self.schedule.now;
        let is_known = |node: &Node| now.saturating_sub(node.started_at) >= JOIN_TIME;
        if !self.checks_false_deaths || !is_known(&self.nodes[node]) {
            return;
        }
        for other in &self.nodes {
            if other.centre != self.nodes[node].centre || !other.is_alive || !is_known(other) {
                continue;
            }
            let name = other.membership.own().instance.clone();
            let is_own = other.address == self.nodes[node].address;
            let is_live = is_own
                || self.nodes[node]
                    .membership
                    .live()
                    .any(|m| m.instance == name);
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
        let incarnation = state.incarnation;
        self.schedule.after(
            DETECTION_TIMEOUT,
            Event::CheckDetection { node, incarnation },
        );
    }

    fn restart(&mut self, node: usize) {
        let now = self.schedule.now;
        let state = &mut self.nodes[node];
        if state.is_alive {
            return;
        }
        self.report.fault("instance restarted");
        state.incarnation += 1;
        // The epoch comes from the clock, which may be behind that of the previous incarnation.
        let is_clock_behind = self.schedule.rng.random_bool(0.2);
        state.epoch = match is_clock_behind {
            true => state.epoch.saturating_sub(500),
            false => state.epoch + 1 + self.schedule.rng.random_range(0..1_000),
        };
        state.is_alive = true;
        state.started_at = now;
        state.membership = new_membership(node, state.centre, state.epoch);
        let incarnation = state.incarnation;
        self.schedule
            .after(Duration::from_millis(1), Event::Tick { node, incarnation });
    }

    fn check_detection(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation != incarnation || self.nodes[node].is_alive {
            return;
        }
        let name = self.nodes[node].membership.own().instance.clone();
        for other in &self.nodes {
            let is_observer = other.centre == self.nodes[node].centre && other.is_alive;
            if !is_observer || self.schedule.now.saturating_sub(other.started_at) < JOIN_TIME {
                continue;
            }
            let is_known = other
                .membership
                .live()
                .all(|member| member.instance != name);
            self.report
                .check("members: death known within 3 s", is_known, || {
                    format!("{name} in the view of {}", other.membership.own().instance)
                });
        }
    }

    fn check_convergence(&mut self) {
        let live: Vec<(usize, SocketAddr)> = self
            .nodes
            .iter()
            .filter(|node| node.is_alive)
            .map(|node| (node.centre, node.address))
            .collect();
        for node in self.nodes.iter().filter(|node| node.is_alive) {
            let expected = live
                .iter()
                .filter(|(centre, _)| *centre == node.centre)
                .count();
            let known = 1 + node.membership.live().count();
            self.report.check(
                "members: views converge after faults",
                known == expected,
                || {
                    format!(
                        "{} knows {known} of {expected}",
                        node.membership.own().instance
                    )
                },
            );
            let counted = node.membership.live_count() as usize;
            self.report.check(
                "members: live counts include all data centres",
                counted == live.len(),
                || {
                    format!(
                        "{} counts {counted} of {}",
                        node.membership.own().instance,
                        live.len()
                    )
                },
            );
        }
    }
}

fn new_membership(node: usize, centre: usize, epoch: u64) -> Membership {
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
