//! Placement in virtual time: the product's router against baselines, with the same requests and
//! the same model of an engine. For each policy the smallest fleet that meets the latency target
//! is searched; its price and the tokens recomputed in it are compared.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use ebonyspread::prefix::BLOCK_BYTES;
use ebonyspread::prefix::PrefixHashes;
use ebonyspread::prefix::prefix_hashes;
use ebonyspread::router::LeavingSource;
use ebonyspread::router::LoadReport;
use ebonyspread::router::Placement;
use ebonyspread::router::RouteRequest;
use ebonyspread::router::Router;
use ebonyspread::table::Subject;
use ebonyspread::table::Table;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;

use crate::engine_model::Engine;
use crate::engine_model::Finished;
use crate::flags;
use crate::table::table_of;

/// First token for 95 in 100.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1_200);

/// Time between tokens for 95 in 100.
const BETWEEN_TOKENS_TARGET: Duration = Duration::from_millis(27);

/// Interval of load reports; they show the load of the report before.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Tokens of one prefix block.
const BLOCK_TOKENS: u64 = (BLOCK_BYTES / 4) as u64;

/// Requests of the start that are not judged: caches are empty then.
const WARM_UP_PERCENT: usize = 20;

/// One experiment, from a TOML file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    cache_blocks: usize,
    context_bytes: usize,
    contexts: usize,
    entries: usize,
    fleet_max: usize,
    name: String,
    output_tokens: u32,
    price_on_demand_cents: u32,
    price_reclaimable_cents: u32,
    rate_per_s: f64,
    reclaimable_share: f64,
    reclaims: usize,
    report_seeds: Vec<u64>,
    seconds: u64,
    slots: usize,
    tuned_seeds: Vec<u64>,
    turns: usize,
}

/// A way to choose an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    CheapestFirst,
    LeastLoad,
    PrefixHash,
    Product,
    RoundRobin,
}

const POLICIES: [Policy; 5] = [
    Policy::RoundRobin,
    Policy::LeastLoad,
    Policy::PrefixHash,
    Policy::CheapestFirst,
    Policy::Product,
];

/// What a run gave.
#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    between_tokens_p95: Duration,
    cost_cents_per_hour: f64,
    first_token_p95: Duration,
    fleet: usize,
    meets_target: bool,
    recomputed_tokens: u64,
}

struct Request {
    at: Duration,
    ask: RouteRequest,
    entry: usize,
    output_tokens: u32,
}

/// Runs an experiment and prints a row a policy, then a line a run as CSV.
pub fn run(options: &flags::Placement) -> Result<(), String> {
    let text = std::fs::read_to_string(&options.file).map_err(|error| error.to_string())?;
    let experiment: Experiment = toml::from_str(&text).map_err(|error| error.to_string())?;
    let seeds = match options.tuned {
        true => &experiment.tuned_seeds,
        false => &experiment.report_seeds,
    };
    let mut csv = String::from(
        "deployment,policy,seed,fleet,cents_per_hour,recomputed,first_token_p95_ms,between_tokens_p95_ms,meets_target\n",
    );
    println!(
        "{}: {} seeds, {:.0} requests/s",
        experiment.name,
        seeds.len(),
        experiment.rate_per_s
    );
    println!(
        "| policy | fleet | cents an hour | recomputed tokens, thousands | first token p95 ms | between tokens p95 ms | runs within target |"
    );
    println!("|---|---|---|---|---|---|---|");
    for policy in POLICIES {
        let mut outcomes = Vec::new();
        for seed in seeds {
            let outcome = match options.fleet {
                Some(fleet) => run_fleet(&experiment, policy, *seed, fleet),
                None => smallest_fleet(&experiment, policy, *seed),
            };
            csv.push_str(&csv_line(&experiment, policy, *seed, &outcome));
            outcomes.push(outcome);
        }
        print_row(policy, &outcomes);
    }
    if let Some(path) = &options.csv {
        std::fs::write(path, csv).map_err(|error| error.to_string())?;
    }
    Ok(())
}

fn csv_line(experiment: &Experiment, policy: Policy, seed: u64, outcome: &Outcome) -> String {
    format!(
        "{},{policy:?},{seed},{},{:.0},{},{},{:.2},{}\n",
        experiment.name,
        outcome.fleet,
        outcome.cost_cents_per_hour,
        outcome.recomputed_tokens,
        outcome.first_token_p95.as_millis(),
        outcome.between_tokens_p95.as_secs_f64() * 1e3,
        outcome.meets_target
    )
}

fn print_row(policy: Policy, outcomes: &[Outcome]) {
    let spread = |value: &dyn Fn(&Outcome) -> f64| {
        let values: Vec<f64> = outcomes.iter().map(value).collect();
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        let low = values.iter().copied().fold(f64::INFINITY, f64::min);
        let high = values.iter().copied().fold(0.0, f64::max);
        format!("{mean:.0} ({low:.0} to {high:.0})")
    };
    let met = outcomes
        .iter()
        .filter(|outcome| outcome.meets_target)
        .count();
    println!(
        "| {policy:?} | {} | {} | {} | {} | {} | {met} of {} |",
        spread(&|outcome| outcome.fleet as f64),
        spread(&|outcome| outcome.cost_cents_per_hour),
        spread(&|outcome| outcome.recomputed_tokens as f64 / 1e3),
        spread(&|outcome| outcome.first_token_p95.as_secs_f64() * 1e3),
        spread(&|outcome| outcome.between_tokens_p95.as_secs_f64() * 1e3),
        outcomes.len()
    );
}

fn smallest_fleet(experiment: &Experiment, policy: Policy, seed: u64) -> Outcome {
    let mut last = Outcome::default();
    for fleet in 2..=experiment.fleet_max {
        last = run_fleet(experiment, policy, seed, fleet);
        if last.meets_target {
            return last;
        }
    }
    last
}

/// Plans the requests: contexts that come back, in conversations that grow turn by turn.
fn plan(experiment: &Experiment, seed: u64) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut talks: Vec<Vec<u8>> = Vec::new();
    let mut turns = vec![0; experiment.contexts];
    for _ in 0..experiment.contexts {
        talks.push(text(&mut rng, experiment.context_bytes));
    }
    let mut requests = Vec::new();
    let mut at = Duration::ZERO;
    let end = Duration::from_secs(experiment.seconds);
    while at < end {
        // The day's shape, compressed: a swing of a third around the mean.
        let phase = at.as_secs_f64() / end.as_secs_f64() * std::f64::consts::TAU;
        let rate = experiment.rate_per_s * (1.0 + phase.sin() / 3.0);
        let gap = -rng.random::<f64>().max(1e-9).ln() / rate;
        at += Duration::from_secs_f64(gap);
        // Some contexts are asked for more than others.
        let skewed = rng.random::<f64>().powi(2) * experiment.contexts as f64;
        let context = skewed as usize;
        if turns[context] >= experiment.turns {
            turns[context] = 0;
            if experiment.turns > 1 {
                talks[context] = text(&mut rng, experiment.context_bytes);
            }
        }
        turns[context] += 1;
        let question = text(&mut rng, 120);
        let mut prompt = talks[context].clone();
        prompt.extend_from_slice(&question);
        if experiment.turns > 1 {
            talks[context] = prompt.clone();
            let answer = text(&mut rng, experiment.output_tokens as usize * 4);
            talks[context].extend(answer);
        }
        requests.push(Request {
            at,
            ask: ask(&prompt, context),
            entry: rng.random_range(0..experiment.entries),
            output_tokens: rng
                .random_range(experiment.output_tokens / 2..experiment.output_tokens * 3 / 2),
        });
    }
    requests
}

fn text(rng: &mut StdRng, bytes: usize) -> Vec<u8> {
    let mut text = vec![0; bytes];
    rng.fill_bytes(&mut text);
    text
}

fn ask(prompt: &[u8], context: usize) -> RouteRequest {
    RouteRequest {
        account: "account-0".into(),
        content_hash: 1,
        conversation: context as u64 + 1,
        prefixes: prefix_hashes(prompt),
        prompt_blocks: prompt.len().div_ceil(BLOCK_BYTES),
        request_id: "request".into(),
        subject: Subject::Model("model".into()),
    }
}

struct Run<'a> {
    computed: HashSet<u64>,
    engines: Vec<Engine>,
    experiment: &'a Experiment,
    first_tokens: Vec<Duration>,
    between_tokens: Vec<Duration>,
    leaving: Vec<bool>,
    policy: Policy,
    prices: Vec<u32>,
    recomputed_tokens: u64,
    /// Load as the last reports showed it.
    reported: Vec<u32>,
    routers: Vec<Router>,
    running: HashMap<u64, (usize, RouteRequest, Placement)>,
    /// Requests sent by each entry instance since the last report.
    sent: Vec<Vec<u32>>,
    turn: usize,
}

fn run_fleet(experiment: &Experiment, policy: Policy, seed: u64, fleet: usize) -> Outcome {
    let mut rows = table_of(fleet);
    let mut prices = Vec::new();
    for (index, row) in rows.backend_server.iter_mut().enumerate() {
        let is_reclaimable = (index as f64 + 0.5) / (fleet as f64) < experiment.reclaimable_share;
        row.reclaimable = is_reclaimable;
        row.slots = experiment.slots as u32;
        row.data_centre = "centre-0".to_owned();
        row.price_cents_per_hour = match is_reclaimable {
            true => experiment.price_reclaimable_cents,
            false => experiment.price_on_demand_cents,
        };
        prices.push(row.price_cents_per_hour);
    }
    let Ok(table) = Table::try_from(&rows) else {
        unreachable!("the experiment's table is right");
    };
    let table = Arc::new(table);
    let mut routers = Vec::new();
    for entry in 0..experiment.entries {
        let mut router = Router::new("centre-0".into(), seed * 1_000 + entry as u64);
        let applied = router.apply_table(1, table.clone());
        debug_assert!(applied.is_ok());
        routers.push(router);
    }
    let mut run = Run {
        computed: HashSet::new(),
        engines: (0..fleet)
            .map(|_| Engine::new(experiment.slots, experiment.cache_blocks))
            .collect(),
        experiment,
        first_tokens: Vec::new(),
        between_tokens: Vec::new(),
        leaving: vec![false; fleet],
        policy,
        prices,
        recomputed_tokens: 0,
        reported: vec![0; fleet],
        routers,
        running: HashMap::new(),
        sent: vec![vec![0; fleet]; experiment.entries],
        turn: 0,
    };
    run.carry_out(plan(experiment, seed));
    run.outcome(fleet)
}

impl Run<'_> {
    fn carry_out(&mut self, requests: Vec<Request>) {
        let judged_from = requests.len() * WARM_UP_PERCENT / 100;
        let mut next_report = REPORT_INTERVAL;
        let span = Duration::from_secs(self.experiment.seconds);
        let mut reclaims: Vec<Duration> = Vec::new();
        for reclaim in 0..self.experiment.reclaims {
            reclaims.push(span * (reclaim as u32 + 1) / (self.experiment.reclaims as u32 + 1));
        }
        for (number, request) in requests.into_iter().enumerate() {
            while next_report <= request.at {
                self.advance(next_report);
                self.report(next_report);
                next_report += REPORT_INTERVAL;
            }
            while reclaims.first().is_some_and(|at| *at <= request.at) {
                reclaims.remove(0);
                self.reclaim(request.at);
            }
            self.advance(request.at);
            self.place(number as u64, request, number >= judged_from);
        }
        let drained = span + Duration::from_secs(600);
        self.advance(drained);
    }

    fn advance(&mut self, now: Duration) {
        for index in 0..self.engines.len() {
            for finished in self.engines[index].advance(now) {
                self.finish(now, &finished);
            }
        }
    }

    fn finish(&mut self, now: Duration, finished: &Finished) {
        if finished.is_judged {
            self.first_tokens.push(finished.first_token);
            self.between_tokens.push(finished.between_tokens);
        }
        let Some((entry, ask, placement)) = self.running.remove(&finished.number) else {
            return;
        };
        let router = &mut self.routers[entry];
        router.correct_prefixes(&ask, &placement, finished.cached_blocks);
        router.end_attempt(now, &ask, &placement, None);
        router.finish(&ask, finished.output_tokens);
    }

    fn report(&mut self, now: Duration) {
        for index in 0..self.engines.len() {
            let name = self.routers[0]
                .servers()
                .nth(index)
                .map(|(row, _, _)| row.name.clone());
            let load = self.reported[index];
            self.reported[index] = self.engines[index].requests();
            let Some(name) = name else {
                continue;
            };
            for router in &mut self.routers {
                let report = LoadReport {
                    queued: 0,
                    running: load,
                };
                router.report_load(now, &name, report);
            }
        }
        for sent in &mut self.sent {
            sent.fill(0);
        }
    }

    /// Reclaims a reclaimable engine; an empty one takes its place after a minute's worth of
    /// requests went elsewhere. Its cache is lost.
    fn reclaim(&mut self, now: Duration) {
        let Some(index) = self.leaving.iter().position(|leaving| !leaving) else {
            return;
        };
        if self.prices[index] != self.experiment.price_reclaimable_cents {
            return;
        }
        self.leaving[index] = true;
        self.engines[index].forget_cache();
        let name = self.routers[0]
            .servers()
            .nth(index)
            .map(|(row, _, _)| row.name.clone());
        for router in &mut self.routers {
            if let Some(name) = &name {
                router.set_leaving(name, LeavingSource::InstanceList, true);
            }
        }
        let _ = now;
    }

    fn place(&mut self, number: u64, request: Request, is_judged: bool) {
        let Some(index) = self.choose(number, &request) else {
            // Refused: it counts as a first token that never came.
            if is_judged {
                self.first_tokens.push(Duration::from_secs(60));
            }
            return;
        };
        let cached = self.engines[index].cached_blocks(&request.ask.prefixes);
        for hash in &request.ask.prefixes[cached..] {
            if !self.computed.insert(*hash) {
                self.recomputed_tokens += BLOCK_TOKENS;
            }
        }
        self.sent[request.entry][index] += 1;
        self.engines[index].submit(
            request.at,
            number,
            &request.ask,
            request.output_tokens,
            is_judged,
        );
    }

    fn choose(&mut self, number: u64, request: &Request) -> Option<usize> {
        let live: Vec<usize> = (0..self.engines.len())
            .filter(|index| !self.leaving[*index])
            .collect();
        if live.is_empty() {
            return None;
        }
        let sent = &self.sent[request.entry];
        let load =
            |index: usize| self.reported[index] + sent[index] * self.experiment.entries as u32;
        match self.policy {
            Policy::RoundRobin => {
                self.turn += 1;
                Some(live[self.turn % live.len()])
            }
            // Ties are broken at random: at the first engine all instances would meet.
            Policy::LeastLoad => {
                let draw = |index: usize| mix(number << 8 | index as u64);
                live.iter()
                    .copied()
                    .min_by_key(|index| (load(*index), draw(*index)))
            }
            Policy::CheapestFirst => {
                let slots = self.experiment.slots as u32;
                live.iter().copied().min_by_key(|index| {
                    let draw = mix(number << 8 | *index as u64);
                    (
                        load(*index) >= slots,
                        self.prices[*index],
                        load(*index),
                        draw,
                    )
                })
            }
            Policy::PrefixHash => Some(prefix_hash(&live, &request.ask.prefixes, load)),
            Policy::Product => {
                let router = &mut self.routers[request.entry];
                let placement = router.admit(request.at, &request.ask).ok()?;
                let index = router
                    .servers()
                    .position(|(row, _, _)| row.name == placement.server.name);
                let kept = (request.entry, request.ask.clone(), placement);
                self.running.insert(number, kept);
                index
            }
        }
    }

    fn outcome(mut self, fleet: usize) -> Outcome {
        let first_token_p95 = percentile_95(&mut self.first_tokens);
        let between_tokens_p95 = percentile_95(&mut self.between_tokens);
        Outcome {
            between_tokens_p95,
            cost_cents_per_hour: self.prices.iter().map(|price| f64::from(*price)).sum(),
            first_token_p95,
            fleet,
            meets_target: first_token_p95 <= FIRST_TOKEN_TARGET
                && between_tokens_p95 <= BETWEEN_TOKENS_TARGET,
            recomputed_tokens: self.recomputed_tokens,
        }
    }
}

/// Highest rendezvous rank of the prompt's first blocks among engines within 1.25 of the mean load.
fn prefix_hash(live: &[usize], prefixes: &PrefixHashes, load: impl Fn(usize) -> u32) -> usize {
    const HASHED_BLOCKS: usize = 16;
    let key = prefixes
        .get(HASHED_BLOCKS.min(prefixes.len()).saturating_sub(1))
        .copied()
        .unwrap_or(0);
    let sum: u32 = live.iter().map(|index| load(*index)).sum();
    let bound = f64::from(sum + 1) * 1.25 / live.len() as f64;
    let mut ranked: Vec<usize> = live.to_vec();
    ranked.sort_by_key(|index| std::cmp::Reverse(mix(key ^ mix(*index as u64))));
    let within = ranked
        .iter()
        .copied()
        .find(|index| f64::from(load(*index)) <= bound);
    within.unwrap_or(ranked[0])
}

fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value ^ (value >> 29)
}

fn percentile_95(values: &mut [Duration]) -> Duration {
    if values.is_empty() {
        return Duration::MAX;
    }
    values.sort();
    values[values.len() * 95 / 100]
}
