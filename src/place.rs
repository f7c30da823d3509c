//! Chooses the backend server of one attempt among those that serve the variant.
//!
//! The score of a candidate is the time to the first token that it is expected to give, in
//! milliseconds, plus a charge for its price; the least score wins.
//!
//! Each instance knows only what it sent itself, and loads are stale. So that all instances
//! gather a prefix at the same server without a word between them, each prefix has a home: the
//! server of the highest rendezvous rank. The home is credited with part of the prefix, and of
//! scores within [`NEAR_MS`] of the best the highest rank wins.

use super::*;

/// Scores this close to the best count as equal, in milliseconds.
pub const NEAR_MS: f64 = 8.0;

/// Requests waiting for each slot beyond which a server is full.
const QUEUE_PER_SLOT: f64 = 2.0;

/// Expected time of one waiting request ahead, per slot, in milliseconds.
const QUEUED_MS: f64 = 400.0;

/// Expected slowdown by each running request, in milliseconds.
const RUNNING_MS: f64 = 4.0;

/// Prefill time of one block of prompt that is not cached, in milliseconds.
const PREFILL_BLOCK_MS: f64 = 6.4;

/// Part of a prefix that its home is believed to hold though this instance did not send it there.
const HOME_CREDIT: f64 = 0.7;

/// Charge for a cent an hour of price, in milliseconds.
const PRICE_CENT_MS: f64 = 0.02;

/// Charge for a server in another data centre, in milliseconds.
const REMOTE_MS: f64 = 10.0;

/// What is known of one server when a request is placed.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Leading blocks of the prompt that its cache is believed to hold.
    pub cached_blocks: usize,
    /// Prefill that this instance has sent it and that it cannot have done yet, in milliseconds.
    pub backlog_ms: f64,
    /// Index of the server in the table.
    pub index: usize,
    /// Price of its instance.
    pub price_cents_per_hour: u32,
    /// Rendezvous rank for the prompt's prefix.
    pub rank: u64,
    /// True if it is in another data centre.
    pub remote: bool,
    /// Requests that it runs or queues, as far as known.
    pub requests: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

impl Candidate {
    /// Expected time to the first token plus charges, in milliseconds.
    pub fn score_ms(&self, prompt_blocks: usize, is_home: bool) -> f64 {
        let mut uncached = prompt_blocks.saturating_sub(self.cached_blocks) as f64;
        if is_home {
            uncached *= 1.0 - HOME_CREDIT;
        }
        let waiting = f64::from(self.requests.saturating_sub(self.slots)) / f64::from(self.slots);
        let mut score = uncached * PREFILL_BLOCK_MS;
        score += self.backlog_ms;
        score += waiting * QUEUED_MS;
        score += f64::from(self.requests.min(self.slots)) * RUNNING_MS;
        score += f64::from(self.price_cents_per_hour) * PRICE_CENT_MS;
        if self.remote {
            score += REMOTE_MS;
        }
        score
    }

    /// True if the server has as many requests waiting as it may.
    pub fn is_full(&self) -> bool {
        f64::from(self.requests) >= f64::from(self.slots) * (1.0 + QUEUE_PER_SLOT)
    }
}

/// The candidate chosen, and its score.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Index of the server in the table.
    pub index: usize,
    /// Its score.
    pub score_ms: f64,
}

/// Chooses among candidates. Returns `None` if all are full.
pub fn place(candidates: &[Candidate], prompt_blocks: usize) -> Option<Choice> {
    let home = candidates.iter().map(|candidate| candidate.rank).max()?;
    let mut scored: SmallVec<[(u64, Choice); 16]> = SmallVec::new();
    let mut best_ms = f64::INFINITY;
    for candidate in candidates {
        if candidate.is_full() {
            continue;
        }
        let score_ms = candidate.score_ms(prompt_blocks, candidate.rank == home);
        best_ms = best_ms.min(score_ms);
        let choice = Choice {
            index: candidate.index,
            score_ms,
        };
        scored.push((candidate.rank, choice));
    }
    let near = scored
        .into_iter()
        .filter(|(_, choice)| choice.score_ms <= best_ms + NEAR_MS);
    near.max_by_key(|(rank, _)| *rank).map(|(_, choice)| choice)
}

/// Milliseconds of prefill that a placement adds to its server.
pub fn prefill_ms(prompt_blocks: usize, cached_blocks: usize) -> f64 {
    prompt_blocks.saturating_sub(cached_blocks) as f64 * PREFILL_BLOCK_MS
}
