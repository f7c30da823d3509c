//! Instances that place calls on engines (model servers), replayed millisecond by millisecond with
//! the load of the customers of docs/design/10-scarce-room.md.

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
use ebonyspread::rollout_versions::VersionRule;
use ebonyspread::server_queue::QueueClass;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const MILLI: Duration = Duration::from_millis(1);
pub const NOW: Duration = Duration::from_secs(100);

/// Digests are sent in rounds to this many peers.
const DIGEST_ROUND_MS: u64 = 300;
const DIGEST_PEERS: usize = 24;

/// Number of data centres.
const CENTRES: usize = 3;

/// Calls of one kind: shared and own tokens, rate and priority.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub own: u32,
    pub per_s: f64,
    pub priority: u32,
    pub shared: u32,
    /// Number of different shared parts; 0 if every prompt has one of its own.
    pub topics: u64,
}

/// Size and rate of a deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    pub instances: usize,
    pub speeds: Vec<f64>,
    pub tokens_per_ms: f64,
    pub uses_queues: bool,
    /// False if the speeds of answers are not observed.
    pub uses_speeds: bool,
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
pub struct Replay {
    deployment: Deployment,
    engines: Vec<Engine>,
    pub fleets: Vec<Fleet>,
    now_ms: u64,
    pub placed_at_preferred: u64,
    rng: StdRng,
    pub sent: u64,
    pub waited_ms: u64,
    /// Times to the answers in milliseconds.
    pub waits: Vec<u64>,
    /// Tokens that were sent to each engine.
    pub tokens_sent: Vec<f64>,
}

pub fn server_name(index: usize) -> ServerName {
    format!("engine-{index:03}").into()
}

fn index_of(server: &str) -> usize {
    server.trim_start_matches("engine-").parse().unwrap()
}

pub fn record(index: usize) -> ServerRecord {
    ServerRecord {
        address: ([127, 0, 0, 1], 9_000 + index as u16).into(),
        created_ms: 1,
        data_centre: format!("dc-{}", index % CENTRES).into(),
        id: server_name(index),
        leaving: false,
        service: "models".into(),
        slots: 32,
        spot: false,
        version: "".into(),
    }
}

impl Replay {
    pub fn new(deployment: Deployment, seed: u64) -> Self {
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
            waits: Vec::new(),
            tokens_sent: vec![0.0; deployment.speeds.len()],
            deployment,
        }
    }

    pub fn set_speed(&mut self, engine: usize, speed: f64) {
        self.deployment.speeds[engine] = speed;
    }

    pub fn now(&self) -> Duration {
        NOW + MILLI * self.now_ms as u32
    }

    /// Sends the calls of all kinds for `duration_ms`.
    pub fn run(&mut self, kinds: &[Kind], duration_ms: u64) {
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
            versions: &VersionRule::Any,
        };
        let placed = self.fleets[instance].place(now, query).unwrap();
        let index = index_of(&placed.server);
        self.placed_at_preferred += u64::from(placed.is_preferred);
        self.tokens_sent[index] += self.engines[index].uncached(&prompt);
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
        let waited_ms = self.now_ms - call.sent_ms;
        self.waited_ms += waited_ms;
        self.waits.push(waited_ms);
        let fleet = &mut self.fleets[call.instance];
        let server = &call.placed.server;
        fleet.record_answer(now, NOW + MILLI * call.sent_ms as u32, server);
        fleet.leave_queue(&call.placed);
        if self.deployment.uses_speeds {
            fleet.observe_speed(now, &call.placed, MILLI * waited_ms as u32);
        }
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
    pub fn queued(&self) -> f64 {
        self.engines.iter().map(Engine::queued).sum()
    }

    /// Tokens that one instance estimates to be queued at all engines, in the class of `priority`
    /// and more urgent ones.
    pub fn estimated(&mut self, instance: usize, priority: u32) -> f64 {
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
