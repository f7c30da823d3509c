//! Simulated model engine: continuous batching with a fixed inter-token interval, a bounded prefix
//! cache, resumable streams, cancellation, KV cache export and import, and orders that carry
//! fencing tokens.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use actix_web::web::ServiceConfig;
use bytes::Bytes;
use futures_util::stream;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::text::TOKEN_BYTES;
use crate::text::answer_token_count;
use crate::text::prompt_text;
use crate::text::token;

/// Size of a prefix cache block in bytes.
const BLOCK_BYTES: usize = 256;

/// Prompt text that makes the engine crash.
pub const CRASH_TEXT: &str = "CRASH-ENGINE";

/// Time before the end of the reclaim notice at which open streams are aborted.
const STREAM_ABORT_MARGIN_MS: u64 = 300;

/// One in this many cache events is dropped, to simulate an unreliable event feed.
const EVENT_LOSS_INTERVAL: u64 = 17;

/// Delay before a cache event becomes readable.
const EVENT_DELAY: Duration = Duration::from_millis(1_500);

/// Capacity and speed of a simulated engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Whether orders with a stale fencing token are rejected.
    pub checks_fencing: bool,
    /// Delay of load reports behind the actual load.
    pub load_report_lag: Duration,
    /// Prefill time per uncached token.
    pub prefill_per_token: Duration,
    /// Maximum number of concurrent requests.
    pub slots: usize,
    /// Time between tokens in an empty batch; it grows linearly to 1.5 times this in a full batch.
    pub token_interval: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            cache_blocks: 4_096,
            checks_fencing: true,
            load_report_lag: Duration::from_millis(500),
            prefill_per_token: Duration::from_micros(100),
            slots: 16,
            token_interval: Duration::from_millis(12),
        }
    }
}

/// Load report.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Load {
    /// Whether the engine is about to be reclaimed.
    pub leaving: bool,
    /// Queued requests.
    pub queued: u32,
    /// Running requests.
    pub running: u32,
}

/// Injected faults, set through `POST /admin/faults`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Percentage of requests that fail with status 500.
    pub fail_percent: u32,
    /// Scale of all processing times in percent; 0 means 100.
    pub slow_percent: u32,
}

#[derive(Default)]
struct State {
    cache: HashMap<u64, u64>,
    cache_clock: u64,
    cached_tokens: u64,
    events: VecDeque<(Instant, u64, u64)>,
    faults: EngineFaults,
    highest_fencing: u64,
    leaving_until: Option<Instant>,
    loads: VecDeque<(Instant, Load)>,
    orders: Vec<Value>,
    prompt_tokens: u64,
    queue: BTreeMap<u8, VecDeque<oneshot::Sender<Slot>>>,
    refused: u64,
    requests: u64,
    running: usize,
}

/// Called when the engine crashes or its reclaim notice ends: the program exits the process, and
/// tests stop their server.
pub type ShutdownHook = Arc<dyn Fn() + Send + Sync>;

/// Simulated engine; clones share its state.
#[derive(Clone)]
pub struct Engine {
    settings: EngineSettings,
    state: Arc<Mutex<State>>,
    stop: ShutdownHook,
}

impl Engine {
    /// Creates an engine that calls `stop` when it crashes or its reclaim notice ends.
    pub fn new(settings: EngineSettings, stop: ShutdownHook) -> Self {
        Self {
            settings,
            state: Arc::default(),
            stop,
        }
    }

    /// Registers the HTTP routes.
    pub fn configure(&self, config: &mut ServiceConfig) {
        config
            .app_data(web::Data::new(self.clone()))
            .app_data(web::JsonConfig::default().limit(16 << 20))
            .route("/v1/chat/completions", web::post().to(chat))
            .route("/load", web::get().to(load))
            .route("/cache/events", web::get().to(cache_events))
            .route("/kv/export", web::post().to(kv_export))
            .route("/kv/import", web::post().to(kv_import))
            .route("/orders", web::post().to(order))
            .route("/admin/reclaim", web::post().to(reclaim))
            .route("/admin/faults", web::post().to(set_faults))
            .route("/admin/counts", web::get().to(counts));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn slowdown_factor(&self) -> f64 {
        match self.lock().faults.slow_percent {
            0 => 1.0,
            percent => f64::from(percent) / 100.0,
        }
    }

    /// Returns the number of requests that have acquired a slot in the batch.
    pub fn requests(&self) -> u64 {
        self.lock().requests
    }

    /// Returns the number of requests rejected because the engine was leaving.
    pub fn refused(&self) -> u64 {
        self.lock().refused
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.lock().running
    }

    /// Returns whether the engine is leaving, and counts the rejected request if it is.
    fn reject_if_leaving(&self) -> bool {
        let mut state = self.lock();
        let is_leaving = state.leaving_until.is_some();
        state.refused += u64::from(is_leaving);
        is_leaving
    }

    /// Marks the engine as leaving and stops it after `notice`.
    pub fn reclaim(&self, notice: Duration) {
        self.lock().leaving_until = Some(Instant::now() + notice);
        let stop = self.stop.clone();
        std::thread::spawn(move || {
            std::thread::sleep(notice);
            stop();
        });
    }

    /// Acquires a slot in the batch. Queued requests are served by priority, lowest number first,
    /// and in order of arrival within a priority.
    async fn acquire_slot(&self, priority: u8) -> Slot {
        let granted = {
            let mut state = self.lock();
            if state.running < self.settings.slots {
                state.running += 1;
                None
            } else {
                let (sender, receiver) = oneshot::channel();
                state.queue.entry(priority).or_default().push_back(sender);
                Some(receiver)
            }
        };
        self.record_load();
        let slot = match granted {
            Some(granted) => granted.await.ok(),
            None => None,
        };
        slot.unwrap_or_else(|| Slot {
            engine: self.clone(),
        })
    }

    /// Passes the slot to the next queued request, or frees it if the queue is empty.
    fn release_slot(&self) {
        while let Some(next) = self.pop_waiter() {
            let slot = Slot {
                engine: self.clone(),
            };
            match next.send(slot) {
                Ok(()) => return,
                // The request was cancelled while queued. Dropping its slot would release the slot
                // recursively, so it is forgotten and a new one is offered to the next request.
                Err(slot) => std::mem::forget(slot),
            }
        }
        self.lock().running -= 1;
        self.record_load();
    }

    fn pop_waiter(&self) -> Option<oneshot::Sender<Slot>> {
        let mut state = self.lock();
        let mut first = state.queue.first_entry()?;
        let next = first.get_mut().pop_front();
        if first.get().is_empty() {
            first.remove();
        }
        next
    }

    fn record_load(&self) {
        let mut state = self.lock();
        let load = Load {
            leaving: false,
            queued: state
                .queue
                .values()
                .map(|waiting| waiting.len() as u32)
                .sum(),
            running: state.running as u32,
        };
        state.loads.push_back((Instant::now(), load));
        let lag = self.settings.load_report_lag;
        while state.loads.len() > 1 && state.loads[1].0.elapsed() >= lag {
            state.loads.pop_front();
        }
    }

    /// Stores the prompt's blocks and returns the number of leading tokens that were cached
    /// already.
    fn lookup_and_store_prefix(&self, prompt: &str) -> u32 {
        let mut state = self.lock();
        let mut hash = 0;
        let mut found = 0;
        let mut is_prefix = true;
        for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
            hash = xxh3_64_with_seed(block, hash);
            is_prefix = is_prefix && state.cache.contains_key(&hash);
            found += u32::from(is_prefix);
            state.insert_block(hash, self.settings.cache_blocks);
        }
        let cached = found * (BLOCK_BYTES / TOKEN_BYTES) as u32;
        state.cached_tokens += u64::from(cached);
        state.prompt_tokens += (prompt.len() / TOKEN_BYTES) as u64;
        state.requests += 1;
        cached
    }
}

impl State {
    fn insert_block(&mut self, hash: u64, max_blocks: usize) {
        self.cache_clock += 1;
        let clock = self.cache_clock;
        self.cache.insert(hash, clock);
        if !clock.is_multiple_of(EVENT_LOSS_INTERVAL) {
            self.events.push_back((Instant::now(), clock, hash));
        }
        if self.events.len() > 1_024 {
            self.events.pop_front();
        }
        if self.cache.len() > max_blocks {
            let oldest = self
                .cache
                .iter()
                .min_by_key(|(_, clock)| **clock)
                .map(|(hash, _)| *hash);
            if let Some(oldest) = oldest {
                self.cache.remove(&oldest);
            }
        }
    }
}

/// Slot in the batch, released on drop.
struct Slot {
    engine: Engine,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.engine.release_slot();
    }
}

#[derive(Deserialize)]
struct ResumeFrom {
    text: String,
    tokens: u32,
}

#[derive(Deserialize)]
struct ChatBody {
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
    messages: Value,
    model: String,
    resume_from: Option<ResumeFrom>,
    #[serde(default)]
    stream: bool,
}

/// Request that is generating tokens.
struct Generation {
    cached_tokens: u32,
    engine: Engine,
    index: u32,
    model: String,
    prompt: String,
    prompt_tokens: u32,
    _slot: Slot,
    stage: Stage,
    total: u32,
}

enum Stage {
    Ended,
    Tokens,
    Usage,
}

async fn chat(
    engine: web::Data<Engine>,
    request: HttpRequest,
    body: web::Json<ChatBody>,
) -> HttpResponse {
    if engine.reject_if_leaving() {
        return HttpResponse::ServiceUnavailable()
            .insert_header(("x-leaving", "1"))
            .finish();
    }
    let body = body.into_inner();
    let prompt = prompt_text(&body.messages);
    if prompt.contains(CRASH_TEXT) {
        tokio::time::sleep(Duration::from_millis(50)).await;
        (engine.stop)();
        std::future::pending::<()>().await;
    }
    let fail_percent = engine.lock().faults.fail_percent;
    if rand::random_range(0..100) < fail_percent {
        return HttpResponse::InternalServerError().body("injected engine fault");
    }
    let priority = request
        .headers()
        .get("x-priority")
        .and_then(|value| value.to_str().ok());
    let priority = priority.and_then(|value| value.parse().ok()).unwrap_or(1);
    let slot = engine.acquire_slot(priority).await;
    let resume = body.resume_from.unwrap_or(ResumeFrom {
        text: String::new(),
        tokens: 0,
    });
    let full_prompt = format!("{prompt}{}", resume.text);
    let cached_tokens = engine.lookup_and_store_prefix(&full_prompt);
    let prompt_tokens = (prompt.len() / TOKEN_BYTES) as u32;
    let prefill = (full_prompt.len() / TOKEN_BYTES) as u32 - cached_tokens;
    tokio::time::sleep(
        (engine.settings.prefill_per_token * prefill).mul_f64(engine.slowdown_factor()),
    )
    .await;
    let generation = Generation {
        cached_tokens,
        engine: engine.get_ref().clone(),
        index: resume.tokens,
        model: body.model,
        total: answer_token_count(&prompt, body.max_tokens.unwrap_or(256)),
        prompt,
        prompt_tokens,
        _slot: slot,
        stage: Stage::Tokens,
    };
    match body.stream {
        true => HttpResponse::Ok()
            .content_type("text/event-stream")
            .streaming(stream::unfold(generation, |mut generation| async move {
                let event = generation.next_event().await?;
                Some((Ok::<_, std::io::Error>(event), generation))
            })),
        false => complete_response(generation).await,
    }
}

async fn complete_response(mut generation: Generation) -> HttpResponse {
    let mut text = String::new();
    while generation.index < generation.total {
        generation.wait_for_token().await;
        text.push_str(token(&generation.prompt, generation.index));
        generation.index += 1;
    }
    HttpResponse::Ok().json(serde_json::json!({
        "id": "chatcmpl-engine", "object": "chat.completion", "created": 0, "model": generation.model,
        "choices": [{ "index": 0, "message": { "role": "assistant", "content": text }, "finish_reason": "stop" }],
        "usage": generation.usage(),
    }))
}

impl Generation {
    async fn wait_for_token(&self) {
        let engine = &self.engine;
        let running = engine.lock().running as f64;
        let fill = running / engine.settings.slots as f64 / 2.0;
        tokio::time::sleep(
            engine
                .settings
                .token_interval
                .mul_f64((1.0 + fill) * engine.slowdown_factor()),
        )
        .await;
    }

    fn usage(&self) -> Value {
        serde_json::json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.total,
            "total_tokens": self.prompt_tokens + self.total,
            "prompt_tokens_details": { "cached_tokens": self.cached_tokens },
        })
    }

    fn is_aborting(&self) -> bool {
        let leaving_until = self.engine.lock().leaving_until;
        leaving_until.is_some_and(|until| {
            until.saturating_duration_since(Instant::now())
                < Duration::from_millis(STREAM_ABORT_MARGIN_MS)
        })
    }

    async fn next_event(&mut self) -> Option<Bytes> {
        match self.stage {
            Stage::Ended => None,
            Stage::Tokens => Some(self.next_token().await),
            Stage::Usage => {
                self.stage = Stage::Ended;
                let usage = self.chunk(serde_json::json!([]), self.usage());
                Some(format!("data: {usage}\n\ndata: [DONE]\n\n").into())
            }
        }
    }

    async fn next_token(&mut self) -> Bytes {
        if self.is_aborting() {
            self.stage = Stage::Ended;
            return "data: {\"error\":{\"code\":\"leaving\",\"message\":\"engine is leaving\"}}\n\n".into();
        }
        if self.index >= self.total {
            self.stage = Stage::Usage;
            let last = serde_json::json!([{ "index": 0, "delta": {}, "finish_reason": "stop" }]);
            return format!("data: {}\n\n", self.chunk(last, Value::Null)).into();
        }
        self.wait_for_token().await;
        let content = token(&self.prompt, self.index);
        self.index += 1;
        let choices = serde_json::json!([{
            "index": 0, "delta": { "content": content }, "finish_reason": null,
        }]);
        format!("data: {}\n\n", self.chunk(choices, Value::Null)).into()
    }

    fn chunk(&self, choices: Value, usage: Value) -> Value {
        serde_json::json!({
            "id": "chatcmpl-engine", "object": "chat.completion.chunk", "created": 0,
            "model": self.model, "choices": choices, "usage": usage,
        })
    }
}

async fn load(engine: web::Data<Engine>) -> HttpResponse {
    engine.record_load();
    let state = engine.lock();
    let mut load = state
        .loads
        .front()
        .map(|(_, load)| *load)
        .unwrap_or_default();
    load.leaving = state.leaving_until.is_some();
    HttpResponse::Ok().json(load)
}

/// Lists the cache events, which arrive late and incomplete.
async fn cache_events(engine: web::Data<Engine>) -> HttpResponse {
    let state = engine.lock();
    let mut events = Vec::new();
    for (at, sequence, hash) in &state.events {
        if at.elapsed() >= EVENT_DELAY {
            events.push(
                serde_json::json!({ "sequence": sequence, "stored": format!("{hash:016x}") }),
            );
        }
    }
    HttpResponse::Ok().json(events)
}

async fn kv_export(engine: web::Data<Engine>) -> HttpResponse {
    let state = engine.lock();
    let blocks: Vec<u64> = state.cache.keys().copied().collect();
    HttpResponse::Ok().json(blocks)
}

async fn kv_import(engine: web::Data<Engine>, body: web::Json<Vec<u64>>) -> HttpResponse {
    let mut state = engine.lock();
    for hash in body.into_inner() {
        state.insert_block(hash, engine.settings.cache_blocks);
    }
    HttpResponse::Ok().json(serde_json::json!({ "ok": true }))
}

#[derive(Deserialize)]
struct Order {
    action: Value,
    fencing: u64,
}

async fn order(engine: web::Data<Engine>, body: web::Json<Order>) -> HttpResponse {
    let mut state = engine.lock();
    if engine.settings.checks_fencing && body.fencing < state.highest_fencing {
        return HttpResponse::Conflict().body("stale fencing token");
    }
    state.highest_fencing = state.highest_fencing.max(body.fencing);
    state.orders.push(body.into_inner().action);
    HttpResponse::Ok().json(serde_json::json!({ "orders": state.orders.len() }))
}

#[derive(Deserialize)]
struct Reclaim {
    notice_ms: u64,
}

async fn reclaim(engine: web::Data<Engine>, body: web::Json<Reclaim>) -> HttpResponse {
    engine.reclaim(Duration::from_millis(body.notice_ms));
    HttpResponse::Ok().json(serde_json::json!({ "ok": true }))
}

async fn set_faults(engine: web::Data<Engine>, body: web::Json<EngineFaults>) -> HttpResponse {
    engine.lock().faults = body.into_inner();
    HttpResponse::Ok().json(serde_json::json!({ "ok": true }))
}

async fn counts(engine: web::Data<Engine>) -> HttpResponse {
    let state = engine.lock();
    HttpResponse::Ok().json(serde_json::json!({
        "cached_tokens": state.cached_tokens,
        "prompt_tokens": state.prompt_tokens,
        "requests": state.requests,
        "running": state.running,
    }))
}
