//! Control bytes and processor time of the membership, with the product's state machines and a
//! network without loss, in virtual time.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use ebonyspread::member::Member;
use ebonyspread::member::OutboundMessages;
use ebonyspread::membership::Membership;
use ebonyspread::membership::TICK_INTERVAL;
use ebonyspread::peer_codec::frame_kind;
use ebonyspread::wire;
use ebonyspread::wire::frame::Body;
use prost::Message;

use crate::flags;

/// Length prefix of a frame, and the TCP and IP headers of a segment of its own.
const OVERHEAD_BYTES: usize = 4 + 40;

/// Time until all know all; what is sent in it does not count.
const SETTLE: Duration = Duration::from_secs(30);

struct Nodes {
    by_address: HashMap<SocketAddr, usize>,
    bytes: BTreeMap<&'static str, usize>,
    counts: bool,
    members: Vec<Membership>,
    started_at: Vec<Duration>,
    busiest: Vec<usize>,
}

/// Measures each size asked for.
pub fn run(options: &flags::Members) -> Result<(), String> {
    let centres = options.centres.unwrap_or(1);
    let seconds = options.seconds.unwrap_or(120);
    println!(
        "| nodes | data centres | sent B/s a node, mean | busiest node | CPU ms/s a node | by kind (B/s a node) |"
    );
    println!("|---|---|---|---|---|---|");
    for nodes in &options.nodes {
        measure(*nodes, centres, seconds, options.restarts.unwrap_or(0));
    }
    Ok(())
}

fn address_of(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8], 1_000))
}

fn new_members(node: usize, centres: usize, epoch: u64) -> Membership {
    let own = Member {
        data_centre: format!("centre-{}", node % centres).into(),
        dead: false,
        epoch,
        instance: format!("centre-{}-entry-{node}", node % centres).into(),
        leaving: false,
        peer_address: address_of(node),
    };
    Membership::new(own, (0..2 * centres).map(address_of).collect())
}

fn measure(per_centre: usize, centres: usize, seconds: u64, restarts: u32) {
    let count = per_centre * centres;
    let mut nodes = Nodes {
        by_address: (0..count).map(|node| (address_of(node), node)).collect(),
        bytes: BTreeMap::new(),
        counts: false,
        members: (0..count)
            .map(|node| new_members(node, centres, 1))
            .collect(),
        started_at: vec![Duration::ZERO; count],
        busiest: vec![0; count],
    };
    let mut now = Duration::ZERO;
    let end = SETTLE + Duration::from_secs(seconds);
    let mut cpu = Duration::ZERO;
    let mut restarted = 0;
    while now < end {
        nodes.counts = now >= SETTLE;
        let due = u64::from(restarts) * now.saturating_sub(SETTLE).as_secs() / seconds;
        if nodes.counts && restarted < due {
            restarted += 1;
            let node = (restarted as usize * 7) % count;
            nodes.members[node] = new_members(node, centres, 1 + restarted);
            nodes.started_at[node] = now;
        }
        let began = Instant::now();
        nodes.step(now);
        if nodes.counts {
            cpu += began.elapsed();
        }
        now += TICK_INTERVAL;
    }
    nodes.print(centres, seconds, cpu);
}

impl Nodes {
    fn step(&mut self, now: Duration) {
        let mut queue: VecDeque<(usize, OutboundMessages)> = VecDeque::new();
        for node in 0..self.members.len() {
            let uptime = now.saturating_sub(self.started_at[node]);
            queue.push_back((node, self.members[node].tick(uptime)));
        }
        while let Some((from, sends)) = queue.pop_front() {
            for send in sends {
                self.count(from, Body::from(&send.message));
                let Some(to) = self.by_address.get(&send.to).copied() else {
                    continue;
                };
                let uptime = now.saturating_sub(self.started_at[to]);
                queue.push_back((to, self.members[to].receive(uptime, send.message)));
            }
        }
    }

    fn count(&mut self, from: usize, body: Body) {
        if !self.counts {
            return;
        }
        let frame = wire::Frame {
            request_id: 0,
            body: Some(body),
        };
        let bytes = frame.encoded_len() + OVERHEAD_BYTES;
        *self.bytes.entry(frame_kind(&frame)).or_default() += bytes;
        self.busiest[from] += bytes;
    }

    fn print(&self, centres: usize, seconds: u64, cpu: Duration) {
        let count = self.members.len();
        let per_node = |bytes: usize| bytes as f64 / count as f64 / seconds as f64;
        let total: usize = self.bytes.values().sum();
        let busiest = self.busiest.iter().max().copied().unwrap_or(0) as f64 / seconds as f64;
        let cpu_ms = cpu.as_secs_f64() * 1_000.0 / count as f64 / seconds as f64;
        let kinds: Vec<String> = self
            .bytes
            .iter()
            .map(|(kind, bytes)| format!("{kind} {:.0}", per_node(*bytes)))
            .collect();
        println!(
            "| {count} | {centres} | {:.0} | {busiest:.0} | {cpu_ms:.3} | {} |",
            per_node(total),
            kinds.join(", ")
        );
    }
}
