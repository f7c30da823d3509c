//! Model of an engine in virtual time: a batch of slots, a queue, prefill one request at a time, a
//! token clock that slows as the batch fills, and a prefix cache that drops what is oldest.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use ebonyspread::prefix::PrefixHashes;
use ebonyspread::router::RouteRequest;

/// Time to prefill a block that is not cached.
const PREFILL_PER_BLOCK: Duration = Duration::from_micros(6_400);

/// Time between tokens with an empty batch; a full one takes half as long again.
const TOKEN_INTERVAL: Duration = Duration::from_millis(16);

/// A request that ended.
pub struct Finished {
    /// Mean time between its tokens.
    pub between_tokens: Duration,
    /// Prompt blocks found in the cache.
    pub cached_blocks: usize,
    /// Time to its first token.
    pub first_token: Duration,
    /// True if it counts.
    pub is_judged: bool,
    /// Its number.
    pub number: u64,
    /// Tokens generated.
    pub output_tokens: u32,
}

struct Waiting {
    is_judged: bool,
    number: u64,
    output_tokens: u32,
    prefixes: PrefixHashes,
    prompt_blocks: usize,
    submitted_at: Duration,
}

/// One engine.
pub struct Engine {
    blocks_max: usize,
    cache: HashMap<u64, u64>,
    clock: u64,
    ends: Vec<(Duration, Finished)>,
    prefill_free_at: Duration,
    queue: VecDeque<Waiting>,
    slots: usize,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    pub fn new(slots: usize, blocks_max: usize) -> Self {
        Self {
            blocks_max,
            cache: HashMap::new(),
            clock: 0,
            ends: Vec::new(),
            prefill_free_at: Duration::ZERO,
            queue: VecDeque::new(),
            slots,
        }
    }

    /// Requests that run or wait.
    pub fn requests(&self) -> u32 {
        (self.ends.len() + self.queue.len()) as u32
    }

    /// Leading blocks of a prompt in the cache.
    pub fn cached_blocks(&self, prefixes: &PrefixHashes) -> usize {
        prefixes
            .iter()
            .take_while(|hash| self.cache.contains_key(hash))
            .count()
    }

    /// Loses the cache.
    pub fn forget_cache(&mut self) {
        self.cache.clear();
    }

    /// Takes a request.
    pub fn submit(
        &mut self,
        now: Duration,
        number: u64,
        ask: &RouteRequest,
        output_tokens: u32,
        is_judged: bool,
    ) {
        self.queue.push_back(Waiting {
            is_judged,
            number,
            output_tokens,
            prefixes: ask.prefixes.clone(),
            prompt_blocks: ask.prompt_blocks,
            submitted_at: now,
        });
        self.start_waiting(now);
    }

    /// Moves to a time and returns what ended by then.
    pub fn advance(&mut self, now: Duration) -> Vec<Finished> {
        let mut finished = Vec::new();
        while let Some(next) = self.next_end(now) {
            let (at, ended) = self.ends.swap_remove(next);
            finished.push(ended);
            self.start_waiting(at);
        }
        finished
    }

    fn next_end(&self, now: Duration) -> Option<usize> {
        let ends = self
            .ends
            .iter()
            .enumerate()
            .filter(|(_, (at, _))| *at <= now);
        ends.min_by_key(|(_, (at, _))| *at).map(|(index, _)| index)
    }

    fn start_waiting(&mut self, now: Duration) {
        while self.ends.len() < self.slots {
            let Some(next) = self.queue.pop_front() else {
                return;
            };
            self.start(now, next);
        }
    }

    fn start(&mut self, now: Duration, next: Waiting) {
        let cached_blocks = self.cached_blocks(&next.prefixes);
        let uncached = (next.prompt_blocks - cached_blocks) as u32;
        let prefilled_at = self.prefill_free_at.max(now) + PREFILL_PER_BLOCK * uncached;
        self.prefill_free_at = prefilled_at;
        self.store(&next.prefixes);
        let fill = (self.ends.len() + 1) as f64 / self.slots as f64;
        let between_tokens = TOKEN_INTERVAL.mul_f64(1.0 + fill / 2.0);
        let first_at = prefilled_at + between_tokens;
        let end = first_at + between_tokens * next.output_tokens.saturating_sub(1);
        let finished = Finished {
            between_tokens,
            cached_blocks,
            first_token: first_at.saturating_sub(next.submitted_at),
            is_judged: next.is_judged,
            number: next.number,
            output_tokens: next.output_tokens,
        };
        self.ends.push((end, finished));
    }

    fn store(&mut self, prefixes: &PrefixHashes) {
        for hash in prefixes {
            self.clock += 1;
            self.cache.insert(*hash, self.clock);
        }
        if self.cache.len() <= self.blocks_max {
            return;
        }
        let mut uses: Vec<u64> = self.cache.values().copied().collect();
        let drop_count = self.cache.len() - self.blocks_max;
        let (_, oldest_kept, _) = uses.select_nth_unstable(drop_count);
        let oldest_kept = *oldest_kept;
        self.cache.retain(|_, used| *used >= oldest_kept);
    }
}
