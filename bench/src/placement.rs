//! Simulation of placement policies in virtual time: the router against baseline policies, with the
//! same requests and the same engine model. For each policy it searches for the smallest fleet that
//! meets the latency targets, and compares the fleets' prices and recomputed tokens.

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

use crate::engine_model::CompletedRequest;
use crate::engine_model::EngineModel;
use crate::flags;
use crate::table::table_of;

/// Target for the 95th percentile of the time to first token.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1_200);

/// Target for the 95th percentile of the inter-token latency.
const INTER_TOKEN_TARGET: Duration = Duration::from_millis(27);

/// Interval of load reports. Routers receive the load as of the previous report; the other policies
/// use the load as of the latest one.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Tokens per prefix block.
const BLOCK_TOKENS: u64 = (BLOCK_BYTES / 4) as u64;

/// Percentage of requests at the start whose latencies are not measured, because the caches are
/// cold. Recomputed tokens are counted from the first request on.
const WARM_UP_PERCENT: usize = 20;

/// Experiment parameters, read from a TOML file.
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

/// Placement policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    CheapestFirst,
    LeastLoad,
    PrefixHash,
    /// The router of ebonyspread.
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

/// Results of one run.
#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    cost_cents_per_hour: f64,
    first_token_p95: Duration,
    fleet: usize,
    inter_token_p95: Duration,
    meets_target: bool,
    recomputed_tokens: u64,
}

struct Request {
    arrival: Duration,
    entry: usize,
    output_tokens: u32,
    route_request: RouteRequest,
}

/// Runs an experiment, prints one table row per policy and optionally writes one CSV line per run.
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
        "| policy | fleet | cents per hour | recomputed tokens, thousands | first token p95 ms | between tokens p95 ms | runs within target |"
    );
    println!("|---|---|---|---|---|---|---|");
    for policy in POLICIES {
        let mut outcomes = Vec::new();
        for seed in seeds {
            let outcome = match options.fleet {
                Some(fleet) => run_fleet(&experiment, policy, *seed, fleet),
                None => find_smallest_fleet(&experiment, policy, *seed),
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
        outcome.inter_token_p95.as_secs_f64() * 1e3,
        outcome.meets_target
    )
}

fn print_row(policy: Policy, outcomes: &[Outcome]) {
    let mean_and_range = |value: &dyn Fn(&Outcome) -> f64| {
        let values: Vec<f64> = outcomes.iter().map(value).collect();
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        let low = values.iter().copied().fold(f64::INFINITY, f64::min);
        let high = values.iter().copied().fold(0.0, f64::max);
        format!("{mean:.0} ({low:.0} to {high:.0})")
    };
    let met_count = outcomes
        .iter()
        .filter(|outcome| outcome.meets_target)
        .count();
    println!(
        "| {policy:?} | {} | {} | {} | {} | {} | {met_count} of {} |",
        mean_and_range(&|outcome| outcome.fleet as f64),
        mean_and_range(&|outcome| outcome.cost_cents_per_hour),
        mean_and_range(&|outcome| outcome.recomputed_tokens as f64 / 1e3),
        mean_and_range(&|outcome| outcome.first_token_p95.as_secs_f64() * 1e3),
        mean_and_range(&|outcome| outcome.inter_token_p95.as_secs_f64() * 1e3),
        outcomes.len()
    );
}

fn find_smallest_fleet(experiment: &Experiment, policy: Policy, seed: u64) -> Outcome {
    let mut last = Outcome::default();
    for fleet in 2..=experiment.fleet_max {
        last = run_fleet(experiment, policy, seed, fleet);
        if last.meets_target {
            return last;
        }
    }
    last
}

/// Generates the requests: recurring contexts in multi-turn conversations whose prompts grow.
fn generate_requests(experiment: &Experiment, seed: u64) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut conversations: Vec<Vec<u8>> = Vec::new();
    let mut turn_counts = vec![0; experiment.contexts];
    for _ in 0..experiment.contexts {
        conversations.push(random_bytes(&mut rng, experiment.context_bytes));
    }
    let mut requests = Vec::new();
    let mut arrival = Duration::ZERO;
    let end = Duration::from_secs(experiment.seconds);
    while arrival < end {
        // One daily load curve, compressed into the run: a sine around the mean rate, with a
        // third of that rate as its amplitude.
        let phase = arrival.as_secs_f64() / end.as_secs_f64() * std::f64::consts::TAU;
        let rate = experiment.rate_per_s * (1.0 + phase.sin() / 3.0);
        let gap = -rng.random::<f64>().max(1e-9).ln() / rate;
        arrival += Duration::from_secs_f64(gap);
        // Skewed popularity: contexts with a lower index are requested more often.
        let position = rng.random::<f64>().powi(2) * experiment.contexts as f64;
        let context = position as usize;
        if turn_counts[context] >= experiment.turns {
            turn_counts[context] = 0;
            if experiment.turns > 1 {
                conversations[context] = random_bytes(&mut rng, experiment.context_bytes);
            }
        }
        turn_counts[context] += 1;
        let question = random_bytes(&mut rng, 120);
        let mut prompt = conversations[context].clone();
        prompt.extend_from_slice(&question);
        if experiment.turns > 1 {
            conversations[context] = prompt.clone();
            let answer = random_bytes(&mut rng, experiment.output_tokens as usize * 4);
            conversations[context].extend(answer);
        }
        requests.push(Request {
            arrival,
            entry: rng.random_range(0..experiment.entries),
            output_tokens: rng
                .random_range(experiment.output_tokens / 2..experiment.output_tokens * 3 / 2),
            route_request: route_request(&prompt, context),
        });
    }
    requests
}

fn random_bytes(rng: &mut StdRng, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    rng.fill_bytes(&mut bytes);
    bytes
}

fn route_request(prompt: &[u8], context: usize) -> RouteRequest {
    RouteRequest {
        call: 0,
        account: "account-0".into(),
        content_hash: 1,
        conversation: context as u64 + 1,
        parts: Default::default(),
        prefixes: prefix_hashes(prompt),
        prompt_blocks: prompt.len().div_ceil(BLOCK_BYTES),
        request_id: "request".into(),
        subject: Subject::Model("model".into()),
    }
}

struct Simulation<'a> {
    computed_blocks: HashSet<u64>,
    engines: Vec<EngineModel>,
    experiment: &'a Experiment,
    first_token_latencies: Vec<Duration>,
    inter_token_latencies: Vec<Duration>,
    leaving: Vec<bool>,
    policy: Policy,
    prices: Vec<u32>,
    recomputed_tokens: u64,
    /// Load of each engine when the latest report was made.
    reported: Vec<u32>,
    round_robin_index: usize,
    routers: Vec<Router>,
    running: HashMap<u64, (usize, RouteRequest, Placement)>,
    /// Requests sent to each engine since the latest report, by entry instance.
    sent: Vec<Vec<u32>>,
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
        unreachable!("the generated table is valid");
    };
    let table = Arc::new(table);
    let mut routers = Vec::new();
    for entry in 0..experiment.entries {
        let mut router = Router::new("centre-0".into(), seed * 1_000 + entry as u64);
        let applied = router.apply_table(1, table.clone());
        debug_assert!(applied.is_ok());
        routers.push(router);
    }
    let mut simulation = Simulation {
        computed_blocks: HashSet::new(),
        engines: (0..fleet)
            .map(|_| EngineModel::new(experiment.slots, experiment.cache_blocks))
            .collect(),
        experiment,
        first_token_latencies: Vec::new(),
        inter_token_latencies: Vec::new(),
        leaving: vec![false; fleet],
        policy,
        prices,
        recomputed_tokens: 0,
        reported: vec![0; fleet],
        round_robin_index: 0,
        routers,
        running: HashMap::new(),
        sent: vec![vec![0; fleet]; experiment.entries],
    };
    simulation.run_requests(generate_requests(experiment, seed));
    simulation.outcome(fleet)
}

impl Simulation<'_> {
    fn run_requests(&mut self, requests: Vec<Request>) {
        let measured_from = requests.len() * WARM_UP_PERCENT / 100;
        let mut next_report = REPORT_INTERVAL;
        let span = Duration::from_secs(self.experiment.seconds);
        let mut reclaims: Vec<Duration> = Vec::new();
        for reclaim in 0..self.experiment.reclaims {
            reclaims.push(span * (reclaim as u32 + 1) / (self.experiment.reclaims as u32 + 1));
        }
        for (number, request) in requests.into_iter().enumerate() {
            while next_report <= request.arrival {
                self.advance(next_report);
                self.publish_load_reports(next_report);
                next_report += REPORT_INTERVAL;
            }
            while reclaims.first().is_some_and(|at| *at <= request.arrival) {
                reclaims.remove(0);
                self.reclaim(request.arrival);
            }
            self.advance(request.arrival);
            self.place(number as u64, request, number >= measured_from);
        }
        let drain_end = span + Duration::from_secs(600);
        self.advance(drain_end);
    }

    fn advance(&mut self, now: Duration) {
        for index in 0..self.engines.len() {
            for completed in self.engines[index].advance(now) {
                self.finish(now, &completed);
            }
        }
    }

    fn finish(&mut self, now: Duration, completed: &CompletedRequest) {
        if completed.is_measured {
            self.first_token_latencies.push(completed.first_token);
            self.inter_token_latencies
                .push(completed.inter_token_latency);
        }
        let Some((entry, route_request, placement)) = self.running.remove(&completed.number) else {
            return;
        };
        let router = &mut self.routers[entry];
        router.correct_prefixes(&route_request, &placement, completed.cached_blocks);
        router.end_attempt(now, &route_request, &placement, None);
        router.finish(&route_request, completed.output_tokens);
    }

    fn publish_load_reports(&mut self, now: Duration) {
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

    /// Reclaims the first engine that is left, if it is reclaimable. It loses its cache and gets no
    /// more requests for the rest of the run.
    fn reclaim(&mut self, now: Duration) {
        let Some(index) = self.leaving.iter().position(|leaving| !leaving) else {
            return;
        };
        if self.prices[index] != self.experiment.price_reclaimable_cents {
            return;
        }
        self.leaving[index] = true;
        self.engines[index].clear_cache();
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

    fn place(&mut self, number: u64, request: Request, is_measured: bool) {
        let Some(index) = self.choose(number, &request) else {
            // A refused request counts with 60 s to the first token, far beyond the target.
            if is_measured {
                self.first_token_latencies.push(Duration::from_secs(60));
            }
            return;
        };
        let cached = self.engines[index].cached_blocks(&request.route_request.prefixes);
        for hash in &request.route_request.prefixes[cached..] {
            if !self.computed_blocks.insert(*hash) {
                self.recomputed_tokens += BLOCK_TOKENS;
            }
        }
        self.sent[request.entry][index] += 1;
        self.engines[index].submit(
            request.arrival,
            number,
            &request.route_request,
            request.output_tokens,
            is_measured,
        );
    }

    fn choose(&mut self, number: u64, request: &Request) -> Option<usize> {
        let available: Vec<usize> = (0..self.engines.len())
            .filter(|index| !self.leaving[*index])
            .collect();
        if available.is_empty() {
            return None;
        }
        let sent = &self.sent[request.entry];
        let load =
            |index: usize| self.reported[index] + sent[index] * self.experiment.entries as u32;
        match self.policy {
            Policy::RoundRobin => {
                self.round_robin_index += 1;
                Some(available[self.round_robin_index % available.len()])
            }
            // Ties are broken at random; otherwise all entry instances would choose the first
            // engine.
            Policy::LeastLoad => {
                let tie_breaker = |index: usize| mix64(number << 8 | index as u64);
                available
                    .iter()
                    .copied()
                    .min_by_key(|index| (load(*index), tie_breaker(*index)))
            }
            Policy::CheapestFirst => {
                let slots = self.experiment.slots as u32;
                available.iter().copied().min_by_key(|index| {
                    let tie_breaker = mix64(number << 8 | *index as u64);
                    (
                        load(*index) >= slots,
                        self.prices[*index],
                        load(*index),
                        tie_breaker,
                    )
                })
            }
            Policy::PrefixHash => Some(choose_by_prefix_hash(
                &available,
                &request.route_request.prefixes,
                load,
            )),
            Policy::Product => {
                let router = &mut self.routers[request.entry];
                let placement = router.admit(request.arrival, &request.route_request).ok()?;
                let index = router
                    .servers()
                    .position(|(row, _, _)| row.name == placement.server.name);
                let in_flight = (request.entry, request.route_request.clone(), placement);
                self.running.insert(number, in_flight);
                index
            }
        }
    }

    fn outcome(mut self, fleet: usize) -> Outcome {
        let first_token_p95 = percentile_95(&mut self.first_token_latencies);
        let inter_token_p95 = percentile_95(&mut self.inter_token_latencies);
        Outcome {
            cost_cents_per_hour: self.prices.iter().map(|price| f64::from(*price)).sum(),
            first_token_p95,
            fleet,
            inter_token_p95,
            meets_target: first_token_p95 <= FIRST_TOKEN_TARGET
                && inter_token_p95 <= INTER_TOKEN_TARGET,
            recomputed_tokens: self.recomputed_tokens,
        }
    }
}

/// Returns the engine with the highest rendezvous rank for the prompt's first 16 blocks among those
/// with at most 1.25 times the mean load (this request included), or the highest-ranked engine if
/// none is within that bound.
fn choose_by_prefix_hash(
    available: &[usize],
    prefixes: &PrefixHashes,
    load: impl Fn(usize) -> u32,
) -> usize {
    const HASHED_BLOCKS: usize = 16;
    let key = prefixes
        .get(HASHED_BLOCKS.min(prefixes.len()).saturating_sub(1))
        .copied()
        .unwrap_or(0);
    let sum: u32 = available.iter().map(|index| load(*index)).sum();
    let bound = f64::from(sum + 1) * 1.25 / available.len() as f64;
    let mut ranked: Vec<usize> = available.to_vec();
    ranked.sort_by_key(|index| std::cmp::Reverse(mix64(key ^ mix64(*index as u64))));
    let within = ranked
        .iter()
        .copied()
        .find(|index| f64::from(load(*index)) <= bound);
    within.unwrap_or(ranked[0])
}

fn mix64(value: u64) -> u64 {
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
