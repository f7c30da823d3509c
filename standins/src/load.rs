//! Open-loop load generator with the workloads of the two deployments. It verifies that every
//! response is complete and belongs to its caller, and compares the outcomes of non-repeatable
//! calls with the executions that the services recorded.

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

use crate::service::RunRecord;
use crate::text::answer_text;
use crate::text::prompt_text;

/// Time after which a caller stops retrying.
const RETRY_TIMEOUT: Duration = Duration::from_secs(30);

/// Default delay between retries.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Timeout of a single HTTP request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Upper bound of the latency histograms; longer latencies are clamped to it.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Workload profile of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Derwent Roll: restock plans over long histories and many quick lookups.
    Derwent,
    /// Lakeshore Prism: long multi-turn quote conversations.
    Lakeshore,
}

/// Client account and its API key.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Account name in the table.
    pub account: String,
    /// API key.
    pub key: String,
}

/// Settings of a load run.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Accounts that send requests.
    pub callers: Vec<Caller>,
    /// Workload profile.
    pub deployment: Deployment,
    /// Addresses of the entry instances.
    pub entries: Vec<String>,
    /// Model name in chat requests.
    pub model: String,
    /// Mean rate of new requests per second.
    pub rate_per_s: f64,
    /// Seed of the workload's random number generator.
    pub seed: u64,
    /// Addresses of the plain HTTP services, whose recorded executions are compared.
    pub services: Vec<String>,
    /// Time during which new requests are started.
    pub duration: Duration,
}

/// Request kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Streaming chat completion.
    Stream,
    /// Non-streaming chat completion.
    Whole,
    /// Lookup, which may be repeated.
    Lookup,
    /// Order or booking, which must not run twice.
    Order,
}

/// Final outcome of a request from the caller's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Complete response that passed verification.
    Whole,
    /// Reported as not run at the last attempt before the retry timeout. Not used for streams.
    NotRun,
    /// Unknown after the last attempt before the retry timeout, or a stream not completed by then.
    Unknown,
    /// Response that failed verification.
    Wrong,
}

/// Results of a load run.
pub struct LoadReport {
    /// Orders by idempotency key: whether the caller received a complete, correct response, and
    /// whether the final outcome was "not run".
    orders: BTreeMap<String, (bool, bool)>,
    /// Request counts by kind and outcome.
    pub outcomes: BTreeMap<(Kind, Outcome), u64>,
    /// Number of retries.
    pub retries: u64,
    /// Time to first token, in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Inter-token latency, in microseconds.
    pub inter_token_us: Histogram<u64>,
    /// Latency of plain calls including retries, in microseconds.
    pub plain_us: Histogram<u64>,
    /// Descriptions of the violations found.
    pub violations: Vec<String>,
}

impl LoadReport {
    fn new() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
                .unwrap_or_else(|_| unreachable!("the bounds are valid"))
        };
        Self {
            orders: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            retries: 0,
            first_token_us: histogram(),
            inter_token_us: histogram(),
            plain_us: histogram(),
            violations: Vec::new(),
        }
    }

    /// Prints the report as tables.
    pub fn print(&self) {
        println!(
            "{:<10} {:>8} {:>8} {:>8} {:>8}",
            "kind", "whole", "not-run", "unknown", "wrong"
        );
        for kind in [Kind::Stream, Kind::Whole, Kind::Lookup, Kind::Order] {
            let count = |outcome| self.outcomes.get(&(kind, outcome)).copied().unwrap_or(0);
            println!(
                "{:<10} {:>8} {:>8} {:>8} {:>8}",
                format!("{kind:?}").to_lowercase(),
                count(Outcome::Whole),
                count(Outcome::NotRun),
                count(Outcome::Unknown),
                count(Outcome::Wrong)
            );
        }
        println!("retries: {}", self.retries);
        let rows = [
            ("first token", &self.first_token_us),
            ("between tokens", &self.inter_token_us),
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

/// Request generated by the workload.
struct PlannedRequest {
    caller: Caller,
    kind: Kind,
    /// Chat request, or item id of a lookup or order.
    body: Value,
    key: String,
    /// Whether an order is sent again with the same key after its response.
    resend: bool,
    entry: usize,
}

/// Random request generator.
struct Workload {
    settings: LoadSettings,
    rng: StdRng,
    contexts: Vec<String>,
    conversations: Vec<Vec<Value>>,
}

/// Size of a customer history or quote context in bytes.
const CONTEXT_BYTES: usize = 6_000;

/// Turns after which a conversation is replaced by a new one.
const MAX_TURNS: usize = 12;

impl Workload {
    fn new(settings: LoadSettings) -> Self {
        let mut rng = StdRng::seed_from_u64(settings.seed);
        let contexts = (0..24)
            .map(|_| random_words(&mut rng, CONTEXT_BYTES))
            .collect();
        Self {
            settings,
            rng,
            contexts,
            conversations: vec![Vec::new(); 16],
        }
    }

    fn next_request(&mut self) -> PlannedRequest {
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
        PlannedRequest {
            caller: self.settings.callers[caller].clone(),
            kind,
            body,
            key: new_idempotency_key(&mut self.rng),
            resend: self.rng.random_bool(0.1),
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
        let context = self.rng.random_range(0..self.contexts.len());
        let question = random_words(&mut self.rng, 80);
        vec![
            json!({ "role": "system", "content": self.contexts[context] }),
            json!({ "role": "user", "content": question }),
        ]
    }

    fn quote_turn(&mut self) -> Vec<Value> {
        let index = self.rng.random_range(0..self.conversations.len());
        let question = random_words(&mut self.rng, 120);
        let context = random_words(&mut self.rng, CONTEXT_BYTES);
        let conversation = &mut self.conversations[index];
        if conversation.is_empty() || conversation.len() > 2 * MAX_TURNS {
            *conversation = vec![json!({ "role": "system", "content": context })];
        }
        conversation.push(json!({ "role": "user", "content": question }));
        let prompt = conversation.clone();
        let answer = answer_text(&prompt_text(&Value::Array(prompt.clone())), 64);
        conversation.push(json!({ "role": "assistant", "content": answer }));
        prompt
    }
}

fn random_words(rng: &mut StdRng, bytes: usize) -> String {
    let mut text = String::with_capacity(bytes + 12);
    while text.len() < bytes {
        text.push_str(&format!("{:x} ", rng.next_u64() >> 24));
    }
    text
}

/// Creates a version 7 UUID whose random part comes from the seeded generator.
fn new_idempotency_key(rng: &mut StdRng) -> String {
    let now = uuid::Uuid::now_v7().as_u128();
    let time = now >> 80 << 80;
    let random = rng.next_u64() as u128 & 0x3fff_ffff_ffff_ffff;
    uuid::Uuid::from_u128(time | 0x7 << 76 | 0x2 << 62 | random).to_string()
}

/// Runs the load and verifies the results.
pub async fn run(settings: LoadSettings) -> LoadReport {
    let report = Rc::new(RefCell::new(LoadReport::new()));
    let client = Client::builder()
        .timeout(REQUEST_TIMEOUT)
        .connector(awc::Connector::new().limit(4_096))
        .no_default_headers()
        .finish();
    let mut workload = Workload::new(settings.clone());
    let started = tokio::time::Instant::now();
    let mut next = started;
    let mut tasks = Vec::new();
    while next - started < settings.duration {
        tokio::time::sleep_until(next).await;
        let gap = -workload.rng.random::<f64>().max(1e-9).ln() / settings.rate_per_s;
        next += Duration::from_secs_f64(gap);
        let task = RequestTask {
            client: client.clone(),
            entries: settings.entries.clone(),
            request: workload.next_request(),
            report: report.clone(),
        };
        tasks.push(actix_rt::spawn(task.run()));
    }
    for task in tasks {
        let _ = task.await;
    }
    check_runs(&client, &settings, &report).await;
    let Ok(report) = Rc::try_unwrap(report) else {
        unreachable!("all tasks have ended");
    };
    report.into_inner()
}

/// Compares the orders' outcomes with the executions that the services recorded.
async fn check_runs(client: &Client, settings: &LoadSettings, report: &RefCell<LoadReport>) {
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for service in &settings.services {
        let Ok(mut response) = client.get(format!("http://{service}/runs")).send().await else {
            continue;
        };
        let runs: Vec<RunRecord> = response.json().limit(64 << 20).await.unwrap_or_default();
        for record in runs {
            *counts.entry(record.key).or_default() += record.count;
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
            violations.push(format!("order {key} was answered but did not run"));
        }
        if *not_run && count > 0 {
            violations.push(format!("order {key} was reported as not run but ran"));
        }
    }
    report.violations.extend(violations);
}

struct RequestTask {
    client: Client,
    entries: Vec<String>,
    request: PlannedRequest,
    report: Rc<RefCell<LoadReport>>,
}

/// Result of a single attempt.
enum Attempt {
    Interrupted,
    NotRun { retry_after: Duration },
    Unknown { retry_after: Duration },
    Whole,
    Wrong(String),
}

impl RequestTask {
    async fn run(mut self) {
        let outcome = match self.request.kind {
            Kind::Stream => self.run_stream().await,
            _ => self.run_unary().await,
        };
        if self.request.kind == Kind::Order {
            let state = (outcome == Outcome::Whole, outcome == Outcome::NotRun);
            self.report
                .borrow_mut()
                .orders
                .insert(self.request.key.clone(), state);
            if outcome == Outcome::Whole && self.request.resend {
                self.request.entry += 1;
                let repeated = self.run_unary().await;
                if repeated == Outcome::NotRun {
                    self.record_violation(
                        "a repeated order was reported as not run after it was answered".to_owned(),
                    );
                }
            }
        }
        *self
            .report
            .borrow_mut()
            .outcomes
            .entry((self.request.kind, outcome))
            .or_default() += 1;
    }

    fn record_violation(&self, text: String) {
        let text = format!(
            "{:?} of {}: {text}",
            self.request.kind, self.request.caller.account
        );
        self.report.borrow_mut().violations.push(text);
    }

    fn entry(&self) -> &str {
        &self.entries[self.request.entry % self.entries.len()]
    }

    async fn run_unary(&mut self) -> Outcome {
        let started = Instant::now();
        loop {
            let result = self.attempt().await;
            let (outcome, delay) = match result {
                Attempt::Whole => {
                    if matches!(self.request.kind, Kind::Lookup | Kind::Order) {
                        let elapsed = started.elapsed().as_micros() as u64;
                        self.report.borrow_mut().plain_us.saturating_record(elapsed);
                    }
                    return Outcome::Whole;
                }
                Attempt::Wrong(text) => {
                    self.record_violation(text);
                    return Outcome::Wrong;
                }
                Attempt::Interrupted => (Outcome::Unknown, RETRY_DELAY),
                Attempt::NotRun { retry_after } => (Outcome::NotRun, retry_after),
                Attempt::Unknown { retry_after } => (Outcome::Unknown, retry_after),
            };
            if started.elapsed() + delay > RETRY_TIMEOUT {
                return outcome;
            }
            self.report.borrow_mut().retries += 1;
            self.request.entry += 1;
            tokio::time::sleep(delay).await;
        }
    }

    async fn attempt(&self) -> Attempt {
        let (method, path) = match self.request.kind {
            Kind::Lookup => ("GET", format!("/lookups/{}", self.request.body["item"])),
            Kind::Order => ("POST", "/orders".to_owned()),
            Kind::Stream | Kind::Whole => ("POST", "/v1/chat/completions".to_owned()),
        };
        let url = format!("http://{}{path}", self.entry());
        let method = method.parse().unwrap_or_default();
        let request = self
            .client
            .request(method, url)
            .insert_header((
                "authorization",
                format!("Bearer {}", self.request.caller.key),
            ))
            .insert_header(("idempotency-key", self.request.key.as_str()));
        let sent = match self.request.kind {
            Kind::Lookup => request.send().await,
            _ => request.send_json(&self.request.body).await,
        };
        let Ok(mut response) = sent else {
            return Attempt::Interrupted;
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
            "not-run" => return Attempt::NotRun { retry_after },
            "unknown" => return Attempt::Unknown { retry_after },
            _ => {}
        }
        let Ok(body) = response.json::<Value>().await else {
            return Attempt::Interrupted;
        };
        self.check_body(&body)
    }

    fn check_body(&self, body: &Value) -> Attempt {
        let wrong = match self.request.kind {
            Kind::Lookup => body["account"] != self.request.caller.account.as_str(),
            Kind::Order => {
                body["account"] != self.request.caller.account.as_str()
                    || body["key"] != self.request.key.as_str()
            }
            Kind::Stream | Kind::Whole => {
                body["choices"][0]["message"]["content"] != self.expected_text().as_str()
            }
        };
        match wrong {
            true => Attempt::Wrong(format!("response does not match the request: {body}")),
            false => Attempt::Whole,
        }
    }

    fn expected_text(&self) -> String {
        let max_tokens = self.request.body["max_tokens"].as_u64().unwrap_or(256) as u32;
        answer_text(&prompt_text(&self.request.body["messages"]), max_tokens)
    }

    /// Streams a completion; after an interruption it resumes with the id of the last event.
    async fn run_stream(&mut self) -> Outcome {
        let started = Instant::now();
        let mut progress = StreamProgress::default();
        loop {
            let result = self.attempt_stream(started, &mut progress).await;
            let delay = match result {
                Attempt::Whole if progress.text == self.expected_text() => return Outcome::Whole,
                Attempt::Whole => {
                    self.record_violation(format!(
                        "streamed text differs from the expected completion: {:?}",
                        progress.text
                    ));
                    return Outcome::Wrong;
                }
                Attempt::Wrong(text) => {
                    self.record_violation(text);
                    return Outcome::Wrong;
                }
                Attempt::Interrupted => RETRY_DELAY,
                Attempt::NotRun { retry_after } | Attempt::Unknown { retry_after } => retry_after,
            };
            if started.elapsed() + delay > RETRY_TIMEOUT {
                return Outcome::Unknown;
            }
            self.report.borrow_mut().retries += 1;
            self.request.entry += 1;
            tokio::time::sleep(delay).await;
        }
    }

    async fn attempt_stream(&self, started: Instant, progress: &mut StreamProgress) -> Attempt {
        let url = format!("http://{}/v1/chat/completions", self.entry());
        let mut request = self
            .client
            .post(url)
            .insert_header((
                "authorization",
                format!("Bearer {}", self.request.caller.key),
            ))
            .insert_header(("idempotency-key", self.request.key.as_str()));
        if !progress.last_id.is_empty() {
            request = request.insert_header(("last-event-id", progress.last_id.as_str()));
        }
        let Ok(mut response) = request.send_json(&self.request.body).await else {
            return Attempt::Interrupted;
        };
        if response.status() != 200 {
            let header = response.headers().get("retry-after-ms");
            let text = header
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default();
            return Attempt::NotRun {
                retry_after: retry_after(text),
            };
        }
        let mut buffer = Vec::new();
        while let Some(Ok(chunk)) = response.next().await {
            buffer.extend_from_slice(&chunk);
            while let Some(end) = find_event_end(&buffer) {
                let event: Vec<u8> = buffer.drain(..end).collect();
                let result =
                    progress.handle_event(&String::from_utf8_lossy(&event), started, &self.report);
                if let Some(result) = result {
                    return result;
                }
            }
        }
        Attempt::Interrupted
    }
}

fn retry_after(text: &str) -> Duration {
    text.parse().map_or(RETRY_DELAY, Duration::from_millis)
}

fn find_event_end(buffer: &[u8]) -> Option<usize> {
    buffer
        .windows(2)
        .position(|pair| pair == b"\n\n")
        .map(|start| start + 2)
}

/// State of a stream as received by the caller.
#[derive(Default)]
struct StreamProgress {
    last_id: String,
    last_token_at: Option<Instant>,
    text: String,
}

impl StreamProgress {
    fn handle_event(
        &mut self,
        event: &str,
        started: Instant,
        report: &RefCell<LoadReport>,
    ) -> Option<Attempt> {
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
            return Some(Attempt::Whole);
        }
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(error) = chunk.get("error") {
            return Some(match error["code"].as_str() {
                Some("resume_mismatch") => Attempt::Wrong(format!("cannot resume: {error}")),
                _ => Attempt::Unknown {
                    retry_after: RETRY_DELAY,
                },
            });
        }
        let content = chunk["choices"][0]["delta"]["content"].as_str()?;
        self.text.push_str(content);
        if let Some(id) = id {
            self.last_id = id.to_owned();
        }
        self.record_latency(started, report);
        None
    }

    fn record_latency(&mut self, started: Instant, report: &RefCell<LoadReport>) {
        let now = Instant::now();
        let mut report = report.borrow_mut();
        let histogram = match self.last_token_at {
            Some(_) => &mut report.inter_token_us,
            None => &mut report.first_token_us,
        };
        let since = now - self.last_token_at.unwrap_or(started);
        histogram.saturating_record(since.as_micros() as u64);
        self.last_token_at = Some(now);
    }
}
