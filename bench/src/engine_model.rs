//! Discrete-event model of an engine: a batch of slots, a FIFO queue, serial prefill, an
//! inter-token latency that grows with the batch, and a prefix cache with least-recently-used
//! eviction.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use ebonyspread::prefix::PrefixHashes;
use ebonyspread::router::RouteRequest;

/// Prefill time per uncached block.
const PREFILL_PER_BLOCK: Duration = Duration::from_micros(6_400);

/// Time between tokens in an empty batch; it grows linearly to 1.5 times this in a full batch.
const TOKEN_INTERVAL: Duration = Duration::from_millis(16);

/// Completed request.
pub struct CompletedRequest {
    /// Leading prompt blocks found in the cache.
    pub cached_blocks: usize,
    /// Time to first token.
    pub first_token: Duration,
    /// Inter-token latency.
    pub inter_token_latency: Duration,
    /// Whether the latencies of the request count in the results.
    pub is_measured: bool,
    /// Request number.
    pub number: u64,
    /// Tokens generated.
    pub output_tokens: u32,
}

struct QueuedRequest {
    is_measured: bool,
    number: u64,
    output_tokens: u32,
    prefixes: PrefixHashes,
    prompt_blocks: usize,
    submitted_at: Duration,
}

/// Simulated engine.
pub struct EngineModel {
    cache: HashMap<u64, u64>,
    clock: u64,
    max_blocks: usize,
    prefill_free_at: Duration,
    queue: VecDeque<QueuedRequest>,
    running: Vec<(Duration, CompletedRequest)>,
    slots: usize,
}

impl EngineModel {
    /// Creates an idle engine with an empty cache.
    pub fn new(slots: usize, max_blocks: usize) -> Self {
        Self {
            cache: HashMap::new(),
            clock: 0,
            max_blocks,
            prefill_free_at: Duration::ZERO,
            queue: VecDeque::new(),
            running: Vec::new(),
            slots,
        }
    }

    /// Returns the number of running and queued requests.
    pub fn requests(&self) -> u32 {
        (self.running.len() + self.queue.len()) as u32
    }

    /// Returns the number of leading prompt blocks in the cache.
    pub fn cached_blocks(&self, prefixes: &PrefixHashes) -> usize {
        prefixes
            .iter()
            .take_while(|hash| self.cache.contains_key(hash))
            .count()
    }

    /// Empties the cache.
    pub fn clear_cache(&mut self) {
        self.cache.clear();
    }

    /// Queues a request and starts it if a slot is free.
    pub fn submit(
        &mut self,
        now: Duration,
        number: u64,
        route_request: &RouteRequest,
        output_tokens: u32,
        is_measured: bool,
    ) {
        self.queue.push_back(QueuedRequest {
            is_measured,
            number,
            output_tokens,
            prefixes: route_request.prefixes.clone(),
            prompt_blocks: route_request.prompt_blocks,
            submitted_at: now,
        });
        self.start_queued(now);
    }

    /// Advances to `now` and returns the requests that completed by then.
    pub fn advance(&mut self, now: Duration) -> Vec<CompletedRequest> {
        let mut completed_requests = Vec::new();
        while let Some(next) = self.next_completion(now) {
            let (at, completed) = self.running.swap_remove(next);
            completed_requests.push(completed);
            self.start_queued(at);
        }
        completed_requests
    }

    fn next_completion(&self, now: Duration) -> Option<usize> {
        let running = self
            .running
            .iter()
            .enumerate()
            .filter(|(_, (at, _))| *at <= now);
        running
            .min_by_key(|(_, (at, _))| *at)
            .map(|(index, _)| index)
    }

    fn start_queued(&mut self, now: Duration) {
        while self.running.len() < self.slots {
            let Some(next) = self.queue.pop_front() else {
                return;
            };
            self.start(now, next);
        }
    }

    fn start(&mut self, now: Duration, next: QueuedRequest) {
        let cached_blocks = self.cached_blocks(&next.prefixes);
        let uncached_blocks = (next.prompt_blocks - cached_blocks) as u32;
        let prefilled_at = self.prefill_free_at.max(now) + PREFILL_PER_BLOCK * uncached_blocks;
        self.prefill_free_at = prefilled_at;
        self.store(&next.prefixes);
        let fill = (self.running.len() + 1) as f64 / self.slots as f64;
        let inter_token_latency = TOKEN_INTERVAL.mul_f64(1.0 + fill / 2.0);
        let first_at = prefilled_at + inter_token_latency;
        let end = first_at + inter_token_latency * next.output_tokens.saturating_sub(1);
        let completed = CompletedRequest {
            cached_blocks,
            first_token: first_at.saturating_sub(next.submitted_at),
            inter_token_latency,
            is_measured: next.is_measured,
            number: next.number,
            output_tokens: next.output_tokens,
        };
        self.running.push((end, completed));
    }

    fn store(&mut self, prefixes: &PrefixHashes) {
        for hash in prefixes {
            self.clock += 1;
            self.cache.insert(*hash, self.clock);
        }
        if self.cache.len() <= self.max_blocks {
            return;
        }
        let mut last_uses: Vec<u64> = self.cache.values().copied().collect();
        let drop_count = self.cache.len() - self.max_blocks;
        let (_, oldest_kept, _) = last_uses.select_nth_unstable(drop_count);
        let oldest_kept = *oldest_kept;
        self.cache.retain(|_, last_use| *last_use >= oldest_kept);
    }
}
