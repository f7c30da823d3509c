//! Measures the control traffic and CPU time of the membership protocol: its state machines run in
//! virtual time over a simulated lossless network.

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

/// Overhead of a frame sent in a TCP segment of its own: 4 bytes of length prefix and 40 bytes of
/// TCP and IP headers.
const FRAME_OVERHEAD_BYTES: usize = 4 + 40;

/// Time for the membership to converge; traffic during it is not measured.
const WARM_UP: Duration = Duration::from_secs(30);

struct SimulatedCluster {
    by_address: HashMap<SocketAddr, usize>,
    bytes_by_kind: BTreeMap<&'static str, usize>,
    is_measuring: bool,
    memberships: Vec<Membership>,
    started_at: Vec<Duration>,
    total_by_node: Vec<usize>,
}

/// Runs the benchmark for each cluster size.
pub fn run(options: &flags::Members) -> Result<(), String> {
    let centres = options.centres.unwrap_or(1);
    let seconds = options.seconds.unwrap_or(120);
    println!(
        "| nodes | data centres | sent B/s per node, mean | busiest node | CPU ms/s per node | by kind (B/s per node) |"
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

fn new_node(node: usize, centres: usize, epoch: u64) -> Membership {
    let member = Member {
        data_centre: format!("centre-{}", node % centres).into(),
        dead: false,
        epoch,
        instance: format!("centre-{}-entry-{node}", node % centres).into(),
        leaving: false,
        peer_address: address_of(node),
    };
    Membership::new(member, (0..2 * centres).map(address_of).collect())
}

fn measure(nodes_per_centre: usize, centres: usize, seconds: u64, restarts: u32) {
    let count = nodes_per_centre * centres;
    let mut cluster = SimulatedCluster {
        by_address: (0..count).map(|node| (address_of(node), node)).collect(),
        bytes_by_kind: BTreeMap::new(),
        is_measuring: false,
        memberships: (0..count).map(|node| new_node(node, centres, 1)).collect(),
        started_at: vec![Duration::ZERO; count],
        total_by_node: vec![0; count],
    };
    let mut now = Duration::ZERO;
    let end = WARM_UP + Duration::from_secs(seconds);
    let mut cpu = Duration::ZERO;
    let mut restarted = 0;
    while now < end {
        cluster.is_measuring = now >= WARM_UP;
        let restarts_due = u64::from(restarts) * now.saturating_sub(WARM_UP).as_secs() / seconds;
        if cluster.is_measuring && restarted < restarts_due {
            restarted += 1;
            let node = (restarted as usize * 7) % count;
            cluster.memberships[node] = new_node(node, centres, 1 + restarted);
            cluster.started_at[node] = now;
        }
        let started = Instant::now();
        cluster.step(now);
        if cluster.is_measuring {
            cpu += started.elapsed();
        }
        now += TICK_INTERVAL;
    }
    cluster.print(centres, seconds, cpu);
}

impl SimulatedCluster {
    fn step(&mut self, now: Duration) {
        let mut queue: VecDeque<(usize, OutboundMessages)> = VecDeque::new();
        for node in 0..self.memberships.len() {
            let uptime = now.saturating_sub(self.started_at[node]);
            queue.push_back((node, self.memberships[node].tick(uptime)));
        }
        while let Some((from, outbound)) = queue.pop_front() {
            for message in outbound {
                self.record_sent(from, Body::from(&message.message));
                let Some(to) = self.by_address.get(&message.to).copied() else {
                    continue;
                };
                let uptime = now.saturating_sub(self.started_at[to]);
                queue.push_back((to, self.memberships[to].receive(uptime, message.message)));
            }
        }
    }

    fn record_sent(&mut self, from: usize, body: Body) {
        if !self.is_measuring {
            return;
        }
        let frame = wire::Frame {
            request_id: 0,
            body: Some(body),
        };
        let bytes = frame.encoded_len() + FRAME_OVERHEAD_BYTES;
        *self.bytes_by_kind.entry(frame_kind(&frame)).or_default() += bytes;
        self.total_by_node[from] += bytes;
    }

    fn print(&self, centres: usize, seconds: u64, cpu: Duration) {
        let count = self.memberships.len();
        let per_node = |bytes: usize| bytes as f64 / count as f64 / seconds as f64;
        let total: usize = self.bytes_by_kind.values().sum();
        let busiest = self.total_by_node.iter().max().copied().unwrap_or(0) as f64 / seconds as f64;
        let cpu_ms = cpu.as_secs_f64() * 1_000.0 / count as f64 / seconds as f64;
        let kinds: Vec<String> = self
            .bytes_by_kind
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
