//! Queues at engines that many instances estimate, replayed with the load of the customers of
//! docs/design/10-scarce-room.md.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use ebonyspread::ServerName;
use ebonyspread::ServiceName;
use ebonyspread::fleet::AttemptOutcome;
use ebonyspread::fleet::Fleet;
use ebonyspread::fleet::PlacedAttempt;
use ebonyspread::fleet::PlacementQuery;
use ebonyspread::fleet::ServerLoad;
use ebonyspread::fleet::ServerRecord;
use ebonyspread::prefill_rate::PrefillEstimate;
use ebonyspread::prompt::Prompt;
use ebonyspread::prompt::PromptPart;
use ebonyspread::server_queue::QueueClass;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const MILLI: Duration = Duration::from_millis(1);
const NOW: Duration = Duration::from_secs(100);

/// Digests are sent in rounds to this many peers.
const DIGEST_ROUND_MS: u64 = 300;
const DIGEST_PEERS: usize = 24;

/// Number of data centres.
const CENTRES: usize = 3;

/// Calls of one kind: shared and own tokens, rate and priority.
#[derive(Debug, Clone, Copy)]
struct Kind {
    own: u32,
    per_s: f64,
    priority: u32,
    shared: u32,
    /// Number of different shared parts; 0 if every prompt has one of its own.
    topics: u64,
}

/// Size and rate of a deployment.
#[derive(Debug, Clone)]
struct Deployment {
    instances: usize,
    speeds: Vec<f64>,
    tokens_per_ms: f64,
    uses_queues: bool,
}

struct Call {
    instance: usize,
    placed: PlacedAttempt,
    prompt: Prompt,
    sent_ms: u64,
}

#[derive(Default)]
struct Engine {
    cached: HashSet<u64>,
    queues: [VecDeque<Call>; 3],
    running: Option<(f64, Call)>,
}

impl Engine {
    /// Tokens of a prompt that are not cached there.
    fn uncached(&self, prompt: &Prompt) -> f64 {
        let shared = prompt.parts.iter().take(prompt.shared_count());
        let cached = shared.filter(|part| self.cached.contains(&part.hash));
        let cached: u32 = cached.map(|part| part.tokens).sum();
        f64::from(prompt.tokens - cached)
    }

    fn queued(&self) -> f64 {
        let waiting = self.queues.iter().flatten();
        let waiting: f64 = waiting.map(|call| self.uncached(&call.prompt)).sum();
        waiting + self.running.as_ref().map_or(0.0, |(left, _)| *left)
    }
}

/// Instances and engines, advanced millisecond by millisecond.
struct Replay {
    deployment: Deployment,
    engines: Vec<Engine>,
    fleets: Vec<Fleet>,
    now_ms: u64,
    placed_at_preferred: u64,
    rng: StdRng,
    sent: u64,
    waited_ms: u64,
}

fn server_name(index: usize) -> ServerName {
    format!("engine-{index:03}").into()
}

fn index_of(server: &str) -> usize {
    server.trim_start_matches("engine-").parse().unwrap()
}

fn record(index: usize) -> ServerRecord {
    ServerRecord {
        address: ([127, 0, 0, 1], 9_000 + index as u16).into(),
        created_ms: 1,
        data_centre: format!("dc-{}", index % CENTRES).into(),
        id: server_name(index),
        leaving: false,
        service: "models".into(),
        slots: 32,
        spot: false,
    }
}

impl Replay {
    fn new(deployment: Deployment, seed: u64) -> Self {
        let mut fleets = Vec::new();
        for instance in 0..deployment.instances {
            let mut fleet = Fleet::new(format!("dc-{}", instance % CENTRES).into());
            for index in 0..deployment.speeds.len() {
                fleet.report(Duration::ZERO, record(index));
            }
            fleets.push(fleet);
        }
        let engines = deployment.speeds.iter().map(|_| Engine::default());
        Self {
            engines: engines.collect(),
            fleets,
            now_ms: 0,
            placed_at_preferred: 0,
            rng: StdRng::seed_from_u64(seed),
            sent: 0,
            waited_ms: 0,
            deployment,
        }
    }

    fn now(&self) -> Duration {
        NOW + MILLI * self.now_ms as u32
    }

    /// Sends the calls of all kinds for `duration_ms`.
    fn run(&mut self, kinds: &[Kind], duration_ms: u64) {
        for _ in 0..duration_ms {
            for kind in kinds {
                let mut due = kind.per_s / 1_000.0;
                while due > 0.0 {
                    if self.rng.random::<f64>() < due {
                        self.send(*kind);
                    }
                    due -= 1.0;
                }
            }
            self.work();
            self.gossip();
            self.now_ms += 1;
        }
    }

    fn send(&mut self, kind: Kind) {
        self.sent += 1;
        let topic = match kind.topics {
            0 => 1_000_000 + self.sent,
            topics => self.rng.random_range(0..topics),
        };
        let shared = u64::from(kind.shared) << 32 | topic;
        let parts = [(shared, kind.shared), (u64::MAX - self.sent, kind.own)];
        let parts = parts.map(|(hash, tokens)| PromptPart { hash, tokens });
        let without_shared = usize::from(kind.topics == 0);
        let prompt = Prompt {
            output_tokens_max: 50,
            parts: parts.into_iter().skip(without_shared).collect(),
            tokens: kind.shared + kind.own,
        };
        let instance = self.rng.random_range(0..self.fleets.len());
        let (now, service) = (self.now(), ServiceName::from("models"));
        let uses_queues = self.deployment.uses_queues;
        let query = PlacementQuery {
            prompt: Some(&prompt),
            queue_class: uses_queues.then(|| QueueClass::from(kind.priority)),
            service: &service,
            suspect: false,
            tried: &[],
        };
        let placed = self.fleets[instance].place(now, query).unwrap();
        let index = index_of(&placed.server);
        self.placed_at_preferred += u64::from(placed.is_preferred);
        let call = Call {
            instance,
            placed,
            prompt,
            sent_ms: self.now_ms,
        };
        self.engines[index].queues[kind.priority as usize].push_back(call);
    }

    fn work(&mut self) {
        for index in 0..self.engines.len() {
            let mut budget = self.deployment.tokens_per_ms * self.deployment.speeds[index];
            while budget > 0.0 {
                let engine = &mut self.engines[index];
                if engine.running.is_none() {
                    let Some(queue) = engine.queues.iter_mut().find(|q| !q.is_empty()) else {
                        break;
                    };
                    let call = queue.pop_front().unwrap();
                    let tokens = engine.uncached(&call.prompt);
                    engine.running = Some((tokens, call));
                }
                let (left, call) = engine.running.take().unwrap();
                if left > budget {
                    engine.running = Some((left - budget, call));
                    break;
                }
                budget -= left;
                engine.cached.extend(call.prompt.shared_parts());
                self.answer(call);
            }
        }
    }

    fn answer(&mut self, call: Call) {
        let now = self.now();
        self.waited_ms += self.now_ms - call.sent_ms;
        let fleet = &mut self.fleets[call.instance];
        let server = &call.placed.server;
        fleet.record_answer(now, NOW + MILLI * call.sent_ms as u32, server);
        fleet.leave_queue(&call.placed);
        fleet.end_attempt(now, server, false, AttemptOutcome::Completed);
    }

    fn gossip(&mut self) {
        let (now, count) = (self.now(), self.fleets.len());
        for from in 0..count {
            if !(self.now_ms + from as u64 * 7).is_multiple_of(DIGEST_ROUND_MS) {
                continue;
            }
            let round = (self.now_ms / DIGEST_ROUND_MS) as usize;
            let sender = &mut self.fleets[from];
            let mut loads = HashMap::new();
            for server in sender.servers() {
                let load = server.own_load(now);
                if load != ServerLoad::default() {
                    loads.insert(server.record.id.clone(), load);
                }
            }
            let mut work = sender.work(now);
            work.entry("models".into()).or_default().estimate = Some(PrefillEstimate {
                fixed_ms: 0.0,
                tokens_per_ms: self.deployment.tokens_per_ms,
            });
            let name = format!("instance-{from}").into();
            for offset in 0..DIGEST_PEERS.min(count - 1) {
                let step = round * DIGEST_PEERS + offset;
                let to = (from + 1 + step % (count - 1)) % count;
                let peer = &mut self.fleets[to];
                peer.update_peer_loads(now, &name, &loads);
                peer.update_peer_work(now, &name, work.clone());
            }
        }
    }

    /// Tokens that are queued at all engines.
    fn queued(&self) -> f64 {
        self.engines.iter().map(Engine::queued).sum()
    }

    /// Tokens that one instance estimates to be queued at all engines, in the class of `priority`
    /// and more urgent ones.
    fn estimated(&mut self, instance: usize, priority: u32) -> f64 {
        let now = self.now();
        let class = QueueClass::from(priority);
        let mut delay = Duration::ZERO;
        for index in 0..self.engines.len() {
            let fleet = &mut self.fleets[instance];
            let of_server = fleet.queueing_delay(now, &server_name(index), class);
            delay += of_server.unwrap();
        }
        delay.as_secs_f64() * 1_000.0 * self.deployment.tokens_per_ms
    }
}

const LONG: Kind = Kind {
    own: 2_890,
    per_s: 163.0,
    priority: 2,
    shared: 6_300,
    topics: 0,
};

const MIDDLE: Kind = Kind {
    own: 1_800,
    per_s: 197.0,
    priority: 1,
    shared: 568,
    topics: 0,
};

const SHORT: Kind = Kind {
    own: 543,
    per_s: 97.6,
    priority: 0,
    shared: 172,
    topics: 0,
};

fn thumbnails(uses_queues: bool) -> Deployment {
    Deployment {
        instances: 69,
        speeds: vec![1.0; 90],
        tokens_per_ms: 42.6,
        uses_queues,
    }
}

/// Fewest and most tokens that instances estimate for each token that is queued, in steps of a burst
/// from its first 1.5 s on, and the tokens by which each instance decays its own prompts.
fn estimates_in_a_burst(uses_queues: bool) -> (f64, f64, f64) {
    let burst = Kind {
        per_s: LONG.per_s * 2.6,
        ..LONG
    };
    let mut replay = Replay::new(thumbnails(uses_queues), 1);
    replay.run(&[LONG, MIDDLE, SHORT], 2_000);
    replay.run(&[burst, MIDDLE, SHORT], 1_000);
    let (mut lowest, mut highest, mut decayed) = (f64::MAX, 0.0_f64, 0.0_f64);
    for _ in 0..12 {
        replay.run(&[burst, MIDDLE, SHORT], 500);
        let (now, queued) = (replay.now(), replay.queued());
        for instance in (0..69).step_by(8) {
            let ratio = replay.estimated(instance, 2) / queued;
            lowest = lowest.min(ratio);
            highest = highest.max(ratio);
        }
        let servers = replay.fleets.iter().flat_map(Fleet::servers);
        let backlog: Duration = servers.map(|server| server.own_load(now).backlog).sum();
        decayed = decayed.max(backlog.as_secs_f64() * 1_000.0 * 42.6 / queued);
    }
    (lowest, highest, decayed)
}

// In a burst of long calls every instance sees only a few prompts of its own at each engine. Parts
// that decayed at each instance on its own summed to a small part of the queues, so that calls were
// accepted that waited until their deadline.
#[test]
fn estimated_queues_follow_the_true_ones_in_a_burst() {
    let (lowest, highest, _) = estimates_in_a_burst(true);
    assert!(lowest > 0.7 && highest < 1.3, "{lowest} {highest}");
    let (.., decayed) = estimates_in_a_burst(false);
    assert!(decayed < 0.4, "{decayed}");
}

// At a utilization of 0.3, calls that moved to other servers because of old reports would prefill
// the shared parts again.
#[test]
fn calls_stay_at_the_servers_that_have_their_shared_parts_at_calm_load() {
    let kinds = [LONG, MIDDLE, SHORT].map(|kind| Kind {
        topics: 400,
        per_s: kind.per_s * 1.3,
        ..kind
    });
    let mut results = Vec::new();
    for uses_queues in [false, true] {
        let mut replay = Replay::new(thumbnails(uses_queues), 2);
        replay.run(&kinds, 3_000);
        (replay.placed_at_preferred, replay.sent, replay.waited_ms) = (0, 0, 0);
        replay.run(&kinds, 4_000);
        let of_sent = |count: u64| count as f64 / replay.sent as f64;
        results.push((
            of_sent(replay.placed_at_preferred),
            of_sent(replay.waited_ms),
        ));
    }
    let (before, after) = (results[0], results[1]);
    // The error of the fraction of 2,400 calls is 0.005.
    assert!(after.0 >= before.0 - 0.005, "{results:?}");
    assert!(after.1 <= before.1, "{results:?}");
}

/// Places a call with `tokens` tokens of its own.
fn place(fleet: &mut Fleet, priority: u32, tokens: u32) -> PlacedAttempt {
    let hash = u64::from(priority) << 32 | u64::from(tokens);
    let part = PromptPart { hash, tokens };
    let prompt = Prompt {
        output_tokens_max: 50,
        parts: [part].into_iter().collect(),
        tokens,
    };
    let query = PlacementQuery {
        prompt: Some(&prompt),
        queue_class: Some(QueueClass::from(priority)),
        service: &"models".into(),
        suspect: false,
        tried: &[],
    };
    fleet.place(NOW, query).unwrap()
}

// Engines sort by priority, so that less urgent prompts do not delay a call.
#[test]
fn urgent_calls_see_only_queues_of_their_class() {
    let mut fleet = Fleet::new("dc-0".into());
    fleet.report(Duration::ZERO, record(0));
    for (priority, tokens) in [(7, 4_000), (2, 4_000), (1, 2_000), (0, 1_000)] {
        place(&mut fleet, priority, tokens);
    }
    let server = server_name(0);
    let mut delay = |priority: u32| fleet.queueing_delay(NOW, &server, priority.into());
    let delays = [0, 1, 2, 7].map(|priority| delay(priority).unwrap().as_secs_f64());
    // Tokens at the default rate of 30 tokens a millisecond.
    let expected = [1_000.0, 3_000.0, 11_000.0, 11_000.0].map(|tokens| tokens / 30_000.0);
    for (delay, expected) in delays.into_iter().zip(expected) {
        assert!((delay - expected).abs() < 0.001, "{delays:?}");
    }
}

// A prompt that was counted for longer than it waits would keep calls away, and one that was removed
// twice would hide others.
#[test]
fn prompts_leave_the_queue_once() {
    let mut fleet = Fleet::new("dc-0".into());
    fleet.report(Duration::ZERO, record(0));
    let first = place(&mut fleet, 1, 3_000);
    place(&mut fleet, 1, 5_000);
    let queued = |fleet: &Fleet| fleet.servers().next().unwrap().own_load(NOW).queued_tokens;
    assert_eq!(queued(&fleet), [0, 8_000, 0]);
    fleet.leave_queue(&first);
    fleet.leave_queue(&first);
    assert_eq!(queued(&fleet), [0, 5_000, 0]);
    let mut restarted = record(0);
    restarted.created_ms = 2;
    fleet.report(NOW, restarted);
    let third = place(&mut fleet, 1, 2_000);
    fleet.leave_queue(&first);
    assert_eq!(queued(&fleet), [0, 2_000, 0]);
    fleet.leave_queue(&third);
    assert_eq!(queued(&fleet), [0, 0, 0]);
}
