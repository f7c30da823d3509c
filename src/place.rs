//! Chooses the backend server of one attempt among those that serve the chosen [`Variant`].
//!
//! The score of a candidate is its expected time to the first token, in milliseconds, plus
//! penalties for its price and distance; the lowest score wins.
//!
//! Each instance knows only what it sent itself, and load reports are stale. So that all instances
//! send a prefix to the same server without coordination, each prefix has a preferred server: the
//! one with the highest rendezvous rank. The preferred server is credited with a fraction of the
//! prefix, and among scores within [`TIE_MARGIN_MS`] of the best the highest rank wins.

use super::*;

/// Scores within this margin of the best count as equal, in milliseconds.
pub const TIE_MARGIN_MS: f64 = 8.0;

/// Queued requests per slot at which a server is full.
const QUEUE_PER_SLOT: f64 = 2.0;

/// Expected delay by each queued request per slot, in milliseconds.
const QUEUED_REQUEST_MS: f64 = 400.0;

/// Expected delay by each running request, in milliseconds.
const RUNNING_REQUEST_MS: f64 = 4.0;

/// Prefill time of one block of prompt that is not cached, in milliseconds.
const PREFILL_BLOCK_MS: f64 = 6.4;

/// Fraction of the uncached blocks that the preferred server is assumed to have cached though this
/// instance did not send them there.
const PREFERRED_CREDIT: f64 = 0.7;

/// Penalty for each cent of hourly price, in milliseconds.
const PRICE_CENT_PENALTY_MS: f64 = 0.02;

/// Penalty for a server in another data centre, in milliseconds.
const REMOTE_PENALTY_MS: f64 = 10.0;

/// What is known of one server when a request is placed.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Leading blocks of the prompt estimated to be in its cache.
    pub cached_blocks: usize,
    /// Estimated remaining prefill time of the prompts that this instance sent it, in milliseconds.
    pub backlog_ms: f64,
    /// Index of the server in the table.
    pub index: usize,
    /// Price of the machine that it runs on.
    pub price_cents_per_hour: u32,
    /// Rendezvous rank for the prompt's prefix.
    pub rank: u64,
    /// True if it is in another data centre.
    pub remote: bool,
    /// Requests running or queued there, as far as known.
    pub requests: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
}

impl Candidate {
    /// Expected time to the first token plus penalties, in milliseconds.
    pub fn score_ms(&self, prompt_blocks: usize, is_preferred: bool) -> f64 {
        let mut uncached = prompt_blocks.saturating_sub(self.cached_blocks) as f64;
        if is_preferred {
            uncached *= 1.0 - PREFERRED_CREDIT;
        }
        let queued_per_slot =
            f64::from(self.requests.saturating_sub(self.slots)) / f64::from(self.slots);
        let mut score = uncached * PREFILL_BLOCK_MS;
        score += self.backlog_ms;
        score += queued_per_slot * QUEUED_REQUEST_MS;
        score += f64::from(self.requests.min(self.slots)) * RUNNING_REQUEST_MS;
        score += f64::from(self.price_cents_per_hour) * PRICE_CENT_PENALTY_MS;
        if self.remote {
            score += REMOTE_PENALTY_MS;
        }
        score
    }

    /// Returns true if the server's queue is full.
    pub fn is_full(&self) -> bool {
        f64::from(self.requests) >= f64::from(self.slots) * (1.0 + QUEUE_PER_SLOT)
    }
}

/// A chosen candidate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Index of the server in the table.
    pub index: usize,
    /// Score of the candidate.
    pub score_ms: f64,
}

/// Chooses among candidates. Returns `None` if all of them are full.
pub fn place(candidates: &[Candidate], prompt_blocks: usize) -> Option<Choice> {
    let highest_rank = candidates.iter().map(|candidate| candidate.rank).max()?;
    let mut scored: SmallVec<[(u64, Choice); 16]> = SmallVec::new();
    let mut best_ms = f64::INFINITY;
    for candidate in candidates {
        if candidate.is_full() {
            continue;
        }
        let score_ms = candidate.score_ms(prompt_blocks, candidate.rank == highest_rank);
        best_ms = best_ms.min(score_ms);
        let choice = Choice {
            index: candidate.index,
            score_ms,
        };
        scored.push((candidate.rank, choice));
    }
    let tied = scored
        .into_iter()
        .filter(|(_, choice)| choice.score_ms <= best_ms + TIE_MARGIN_MS);
    tied.max_by_key(|(rank, _)| *rank).map(|(_, choice)| choice)
}

/// Prefill time that a placement adds to its server, in milliseconds.
pub fn prefill_ms(prompt_blocks: usize, cached_blocks: usize) -> f64 {
    prompt_blocks.saturating_sub(cached_blocks) as f64 * PREFILL_BLOCK_MS
}
