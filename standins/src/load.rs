//! Open-loop load with the workloads of the two deployments; every answer is checked to be whole
//! and the caller's own, and calls that may not be repeated are compared with what really ran.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use awc::Client;
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;

use crate::service::Runs;
use crate::text::answer_text;
use crate::text::prompt_text;

/// Time after which a caller gives up coming back.
const PATIENCE: Duration = Duration::from_secs(30);

/// Pause before a caller comes back.
const COME_BACK_PAUSE: Duration = Duration::from_millis(200);

/// Time for one HTTP exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest latency that is told apart.
const LATENCY_MAX_US: u64 = 600_000_000;

/// Which users' workload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Derwent Roll: restock plans over long histories, many quick look-ups.
    Derwent,
    /// Lakeshore Prism: long quote conversations.
    Lakeshore,
}

/// A caller's account.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Account's name in the table.
    pub account: String,
    /// Its key.
    pub key: String,
}

/// What to run.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Accounts that call.
    pub callers: Vec<Caller>,
    /// Workload.
    pub deployment: Deployment,
    /// Addresses of entry instances.
    pub entries: Vec<String>,
    /// Model asked for.
    pub model: String,
    /// Requests started in a second.
    pub rate_per_s: f64,
    /// Seed of the workload.
    pub seed: u64,
    /// Addresses of the plain services, whose runs are compared.
    pub services: Vec<String>,
    /// Time for which requests are started.
    pub time: Duration,
}

/// Kinds of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Chat, streamed.
    Stream,
    /// Chat, answered whole.
    Whole,
    /// Look-up that may be repeated.
    Lookup,
    /// Order or booking that may not.
    Order,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// Whole answer, checked.
    Whole,
    /// Refused as not run, and not sent again.
    NotRun,
    /// Not known after all patience.
    Unknown,
    /// An answer that is wrong: cut, another's, or doubled.
    Wrong,
}

/// Counts and times of a run.
pub struct LoadReport {
    /// Orders by key: whether the caller has an answer, and whether the last word was "not run".
    orders: BTreeMap<String, (bool, bool)>,
    /// Requests by kind and end.
    pub ends: BTreeMap<(Kind, End), u64>,
    /// Times callers came back after a cut or an unknown outcome.
    pub comebacks: u64,
    /// Time to the first token, in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub between_tokens_us: Histogram<u64>,
    /// Time to the whole answer of plain calls, in microseconds.
    pub plain_us: Histogram<u64>,
    /// Violations found.
    pub violations: Vec<String>,
}

impl LoadReport {
    fn new() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, LATENCY_MAX_US, 3)
                .unwrap_or_else(|_| unreachable!("the bounds are valid"))
        };
        Self {
            orders: BTreeMap::new(),
            ends: BTreeMap::new(),
            comebacks: 0,
            first_token_us: histogram(),
            between_tokens_us: histogram(),
            plain_us: histogram(),
            violations: Vec::new(),
        }
    }

    /// Prints the report as a table.
    pub fn print(&self) {
        println!(
            "{:<10} {:>8} {:>8} {:>8} {:>8}",
            "kind", "whole", "not-run", "unknown", "wrong"
        );
        for kind in [Kind::Stream, Kind::Whole, Kind::Lookup, Kind::Order] {
            let count = |end| self.ends.get(&(kind, end)).copied().unwrap_or(0);
            println!(
                "{:<10} {:>8} {:>8} {:>8} {:>8}",
                format!("{kind:?}").to_lowercase(),
                count(End::Whole),
                count(End::NotRun),
                count(End::Unknown),
                count(End::Wrong)
            );
        }
        println!("callers came back {} times", self.comebacks);
        let rows = [
            ("first token", &self.first_token_us),
            ("between tokens", &self.between_tokens_us),
            ("plain call", &self.plain_us),
        ];
        println!(
            "{:<16} {:>9} {:>9} {:>9} {:>9}",
            "latency (ms)", "p50", "p95", "p99", "max"
        );
        for (name, histogram) in rows {
            let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
            let max = histogram.max() as f64 / 1_000.0;
            println!(
                "{name:<16} {:>9.2} {:>9.2} {:>9.2} {max:>9.2}",
                ms(0.5),
                ms(0.95),
                ms(0.99)
            );
        }
        for violation in &self.violations {
            println!("VIOLATION {violation}");
        }
    }
}

/// One planned request.
struct Plan {
    caller: Caller,
    kind: Kind,
    /// Body of a chat, or id of a look-up or order.
    body: Value,
    key: String,
    /// Orders only: sent again with the same key after its answer.
    again: bool,
    entry: usize,
}

/// Draws the workload.
struct Workload {
    settings: LoadSettings,
    rng: StdRng,
    histories: Vec<String>,
    talks: Vec<Vec<Value>>,
}

/// Characters of a member's history or a quote's context.
const CONTEXT_CHARS: usize = 6_000;

/// Turns after which a conversation starts anew.
const TURNS_MAX: usize = 12;

impl Workload {
    fn new(settings: LoadSettings) -> Self {
        let mut rng = StdRng::seed_from_u64(settings.seed);
        let histories = (0..24).map(|_| words(&mut rng, CONTEXT_CHARS)).collect();
        Self {
            settings,
            rng,
            histories,
            talks: vec![Vec::new(); 16],
        }
    }

    fn next(&mut self) -> Plan {
        let kinds = match self.settings.deployment {
            Deployment::Derwent => [25, 10, 50, 15],
            Deployment::Lakeshore => [40, 10, 35, 15],
        };
        let mut draw = self.rng.random_range(0..100);
        let mut kind = Kind::Order;
        for (candidate, share) in [Kind::Stream, Kind::Whole, Kind::Lookup, Kind::Order]
            .into_iter()
            .zip(kinds)
        {
            if draw < share {
                kind = candidate;
                break;
            }
            draw -= share;
        }
        let caller = self.rng.random_range(0..self.settings.callers.len());
        let body = match kind {
            Kind::Stream | Kind::Whole => self.chat(kind == Kind::Stream),
            Kind::Lookup | Kind::Order => json!({ "item": self.rng.random_range(0..1_000) }),
        };
        Plan {
            caller: self.settings.callers[caller].clone(),
            kind,
            body,
            key: new_key(&mut self.rng),
            again: self.rng.random_bool(0.1),
            entry: self.rng.random_range(0..self.settings.entries.len()),
        }
    }

    fn chat(&mut self, stream: bool) -> Value {
        let messages = match self.settings.deployment {
            Deployment::Derwent => self.restock_plan(),
            Deployment::Lakeshore => self.quote_turn(),
        };
        json!({
            "model": self.settings.model, "messages": messages, "stream": stream,
            "max_tokens": self.rng.random_range(8..64),
        })
    }

    fn restock_plan(&mut self) -> Vec<Value> {
        let member = self.rng.random_range(0..self.histories.len());
        let question = words(&mut self.rng, 80);
        vec![
            json!({ "role": "system", "content": self.histories[member] }),
            json!({ "role": "user", "content": question }),
        ]
    }

    fn quote_turn(&mut self) -> Vec<Value> {
        let index = self.rng.random_range(0..self.talks.len());
        let question = words(&mut self.rng, 120);
        let context = words(&mut self.rng, CONTEXT_CHARS);
        let talk = &mut self.talks[index];
        if talk.is_empty() || talk.len() > 2 * TURNS_MAX {
            *talk = vec![json!({ "role": "system", "content": context })];
        }
        talk.push(json!({ "role": "user", "content": question }));
        let asked = talk.clone();
        let answer = answer_text(&prompt_text(&Value::Array(asked.clone())), 64);
        talk.push(json!({ "role": "assistant", "content": answer }));
        asked
    }
}

fn words(rng: &mut StdRng, chars: usize) -> String {
    let mut text = String::with_capacity(chars + 12);
    while text.len() < chars {
        text.push_str(&format!("{:x} ", rng.next_u64() >> 24));
    }
    text
}

/// A UUID of version 7 with the workload's own random part.
fn new_key(rng: &mut StdRng) -> String {
    let now = uuid::Uuid::now_v7().as_u128();
    let time = now >> 80 << 80;
    let random = rng.next_u64() as u128 & 0x3fff_ffff_ffff_ffff;
    uuid::Uuid::from_u128(time | 0x7 << 76 | 0x2 << 62 | random).to_string()
}

/// Runs a load and checks it.
pub async fn run(settings: LoadSettings) -> LoadReport {
    let report = Rc::new(RefCell::new(LoadReport::new()));
    let client = Client::builder()
        .timeout(EXCHANGE_TIMEOUT)
        .connector(awc::Connector::new().limit(4_096))
        .no_default_headers()
        .finish();
    let mut workload = Workload::new(settings.clone());
    let started = tokio::time::Instant::now();
    let mut next = started;
    let mut tasks = Vec::new();
    while next - started < settings.time {
        tokio::time::sleep_until(next).await;
        let gap = -workload.rng.random::<f64>().max(1e-9).ln() / settings.rate_per_s;
        next += Duration::from_secs_f64(gap);
        let task = RequestTask {
            client: client.clone(),
            entries: settings.entries.clone(),
            plan: workload.next(),
            report: report.clone(),
        };
        tasks.push(actix_rt::spawn(task.run()));
    }
    for task in tasks {
        let _ = task.await;
    }
    compare_runs(&client, &settings, &report).await;
    let Ok(report) = Rc::try_unwrap(report) else {
        unreachable!("all tasks have ended");
    };
    report.into_inner()
}

/// Compares what callers were told with what ran.
async fn compare_runs(client: &Client, settings: &LoadSettings, report: &RefCell<LoadReport>) {
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for service in &settings.services {
        let Ok(mut response) = client.get(format!("http://{service}/runs")).send().await else {
            continue;
        };
        let runs: Vec<Runs> = response.json().limit(64 << 20).await.unwrap_or_default();
        for runs in runs {
            *counts.entry(runs.key).or_default() += runs.count;
        }
    }
    let mut report = report.borrow_mut();
    let mut violations = Vec::new();
    for (key, (answered, not_run)) in &report.orders {
        let count = counts.get(key).copied().unwrap_or(0);
        if count > 1 {
            violations.push(format!("order {key} ran {count} times"));
        }
        if *answered && count == 0 {
            violations.push(format!("order {key} was answered but never ran"));
        }
        if *not_run && count > 0 {
            violations.push(format!("order {key} was said not to have run but did"));
        }
    }
    report.violations.extend(violations);
}

struct RequestTask {
    client: Client,
    entries: Vec<String>,
    plan: Plan,
    report: Rc<RefCell<LoadReport>>,
}

/// Result of one exchange.
enum Exchange {
    Cut,
    NotRun { retry_after: Duration },
    Unknown { retry_after: Duration },
    Whole,
    Wrong(String),
}

impl RequestTask {
    async fn run(mut self) {
        let end = match self.plan.kind {
            Kind::Stream => self.run_stream().await,
            _ => self.run_simple().await,
        };
        if self.plan.kind == Kind::Order {
            let state = (end == End::Whole, end == End::NotRun);
            self.report
                .borrow_mut()
                .orders
                .insert(self.plan.key.clone(), state);
            if end == End::Whole && self.plan.again {
                self.plan.entry += 1;
                let again = self.run_simple().await;
                if again == End::NotRun {
                    self.violation("an answered order was said not to have run".to_owned());
                }
            }
        }
        *self
            .report
            .borrow_mut()
            .ends
            .entry((self.plan.kind, end))
            .or_default() += 1;
    }

    fn violation(&self, text: String) {
        let text = format!(
            "{:?} of {}: {text}",
            self.plan.kind, self.plan.caller.account
        );
        self.report.borrow_mut().violations.push(text);
    }

    fn entry(&self) -> &str {
        &self.entries[self.plan.entry % self.entries.len()]
    }

    async fn run_simple(&mut self) -> End {
        let started = Instant::now();
        loop {
            let exchange = self.exchange().await;
            let (end, pause) = match exchange {
                Exchange::Whole => {
                    if matches!(self.plan.kind, Kind::Lookup | Kind::Order) {
                        let elapsed = started.elapsed().as_micros() as u64;
                        self.report.borrow_mut().plain_us.saturating_record(elapsed);
                    }
                    return End::Whole;
                }
                Exchange::Wrong(text) => {
                    self.violation(text);
                    return End::Wrong;
                }
                Exchange::Cut => (End::Unknown, COME_BACK_PAUSE),
                Exchange::NotRun { retry_after } => (End::NotRun, retry_after),
                Exchange::Unknown { retry_after } => (End::Unknown, retry_after),
            };
            if started.elapsed() + pause > PATIENCE {
                return end;
            }
            self.report.borrow_mut().comebacks += 1;
            self.plan.entry += 1;
            tokio::time::sleep(pause).await;
        }
    }

    async fn exchange(&self) -> Exchange {
        let (method, path) = match self.plan.kind {
            Kind::Lookup => ("GET", format!("/lookups/{}", self.plan.body["item"])),
            Kind::Order => ("POST", "/orders".to_owned()),
            Kind::Stream | Kind::Whole => ("POST", "/v1/chat/completions".to_owned()),
        };
        let url = format!("http://{}{path}", self.entry());
        let method = method.parse().unwrap_or_default();
        let request = self
            .client
            .request(method, url)
            .insert_header(("authorization", format!("Bearer {}", self.plan.caller.key)))
            .insert_header(("idempotency-key", self.plan.key.as_str()));
        let sent = match self.plan.kind {
            Kind::Lookup => request.send().await,
            _ => request.send_json(&self.plan.body).await,
        };
        let Ok(mut response) = sent else {
            return Exchange::Cut;
        };
        let header = |name: &str| {
            let value = response
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let outcome = header("ebonyspread-outcome");
        let retry_after = retry_after(&header("retry-after-ms"));
        match outcome.as_str() {
            "not-run" => return Exchange::NotRun { retry_after },
            "unknown" => return Exchange::Unknown { retry_after },
            _ => {}
        }
        let Ok(body) = response.json::<Value>().await else {
            return Exchange::Cut;
        };
        self.check(&body)
    }

    fn check(&self, body: &Value) -> Exchange {
        let wrong = match self.plan.kind {
            Kind::Lookup => body["account"] != self.plan.caller.account.as_str(),
            Kind::Order => {
                body["account"] != self.plan.caller.account.as_str()
                    || body["key"] != self.plan.key.as_str()
            }
            Kind::Stream | Kind::Whole => {
                body["choices"][0]["message"]["content"] != self.expected_text().as_str()
            }
        };
        match wrong {
            true => Exchange::Wrong(format!("answer is not the caller's: {body}")),
            false => Exchange::Whole,
        }
    }

    fn expected_text(&self) -> String {
        let max_tokens = self.plan.body["max_tokens"].as_u64().unwrap_or(256) as u32;
        answer_text(&prompt_text(&self.plan.body["messages"]), max_tokens)
    }

    /// Streams an answer; after a cut the caller comes back with the last event's id.
    async fn run_stream(&mut self) -> End {
        let started = Instant::now();
        let mut progress = StreamProgress::default();
        loop {
            let exchange = self.stream_exchange(started, &mut progress).await;
            let pause = match exchange {
                Exchange::Whole if progress.text == self.expected_text() => return End::Whole,
                Exchange::Whole => {
                    self.violation(format!("streamed text is wrong: {:?}", progress.text));
                    return End::Wrong;
                }
                Exchange::Wrong(text) => {
                    self.violation(text);
                    return End::Wrong;
                }
                Exchange::Cut => COME_BACK_PAUSE,
                Exchange::NotRun { retry_after } | Exchange::Unknown { retry_after } => retry_after,
            };
            if started.elapsed() + pause > PATIENCE {
                return End::Unknown;
            }
            self.report.borrow_mut().comebacks += 1;
            self.plan.entry += 1;
            tokio::time::sleep(pause).await;
        }
    }

    async fn stream_exchange(&self, started: Instant, progress: &mut StreamProgress) -> Exchange {
        let url = format!("http://{}/v1/chat/completions", self.entry());
        let mut request = self
            .client
            .post(url)
            .insert_header(("authorization", format!("Bearer {}", self.plan.caller.key)))
            .insert_header(("idempotency-key", self.plan.key.as_str()));
        if !progress.last_id.is_empty() {
            request = request.insert_header(("last-event-id", progress.last_id.as_str()));
        }
        let Ok(mut response) = request.send_json(&self.plan.body).await else {
            return Exchange::Cut;
        };
        if response.status() != 200 {
            let header = response.headers().get("retry-after-ms");
            let text = header
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default();
            return Exchange::NotRun {
                retry_after: retry_after(text),
            };
        }
        let mut buffer = Vec::new();
        while let Some(Ok(chunk)) = response.next().await {
            buffer.extend_from_slice(&chunk);
            while let Some(end) = find_event_end(&buffer) {
                let event: Vec<u8> = buffer.drain(..end).collect();
                let taken = progress.take(&String::from_utf8_lossy(&event), started, &self.report);
                if let Some(exchange) = taken {
                    return exchange;
                }
            }
        }
        Exchange::Cut
    }
}

fn retry_after(text: &str) -> Duration {
    text.parse().map_or(COME_BACK_PAUSE, Duration::from_millis)
}

fn find_event_end(buffer: &[u8]) -> Option<usize> {
    buffer
        .windows(2)
        .position(|pair| pair == b"\n\n")
        .map(|at| at + 2)
}

/// What a streaming caller has received.
#[derive(Default)]
struct StreamProgress {
    last_id: String,
    last_token_at: Option<Instant>,
    text: String,
}

impl StreamProgress {
    fn take(
        &mut self,
        event: &str,
        started: Instant,
        report: &RefCell<LoadReport>,
    ) -> Option<Exchange> {
        let mut id = None;
        let mut data = "";
        for line in event.lines() {
            if let Some(value) = line.strip_prefix("id: ") {
                id = Some(value);
            }
            if let Some(value) = line.strip_prefix("data: ") {
                data = value;
            }
        }
        if data == "[DONE]" {
            return Some(Exchange::Whole);
        }
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(error) = chunk.get("error") {
            return Some(match error["code"].as_str() {
                Some("resume_mismatch") => Exchange::Wrong(format!("resume failed: {error}")),
                _ => Exchange::Unknown {
                    retry_after: COME_BACK_PAUSE,
                },
            });
        }
        let content = chunk["choices"][0]["delta"]["content"].as_str()?;
        self.text.push_str(content);
        if let Some(id) = id {
            self.last_id = id.to_owned();
        }
        self.record_time(started, report);
        None
    }

    fn record_time(&mut self, started: Instant, report: &RefCell<LoadReport>) {
        let now = Instant::now();
        let mut report = report.borrow_mut();
        let histogram = match self.last_token_at {
            Some(_) => &mut report.between_tokens_us,
            None => &mut report.first_token_us,
        };
        let since = now - self.last_token_at.unwrap_or(started);
        histogram.saturating_record(since.as_micros() as u64);
        self.last_token_at = Some(now);
    }
}
