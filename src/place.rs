//! Chooses the backend server of one attempt among those that serve the chosen [`Variant`], the
//! model version or route row that the request was assigned to.
//!
//! The score of a candidate is its expected time to the first token, in milliseconds, plus
//! penalties for its price and distance; the lowest score wins.
//!
//! Each instance knows only what it sent itself, and load reports are stale. So that all instances
//! send a prefix to the same server without coordination, each prefix has a preferred server: the
//! one with the highest rendezvous rank, a hash of its name and the prefix. The preferred server is
//! assumed to have a fraction of the uncached prefix in its cache (its credit), and among scores
//! within [`TIE_MARGIN_MS`] of the best the highest rank wins.

use super::*;

/// Scores within this margin of the best count as equal, in milliseconds.
pub const TIE_MARGIN_MS: f64 = 8.0;

/// Queued requests per slot (a slot runs one request at a time) at which a server is full and gets
/// no more requests.
const QUEUE_PER_SLOT: f64 = 2.0;

/// Expected delay of a new request for each request that is queued per slot, in milliseconds.
const QUEUED_REQUEST_MS: f64 = 400.0;

/// Expected delay of a new request for each request that runs on the server, in milliseconds.
const RUNNING_REQUEST_MS: f64 = 4.0;

/// Time to prefill (process before the first token is generated) one block of prompt that is not
/// cached, in milliseconds.
const PREFILL_BLOCK_MS: f64 = 6.4;

/// Fraction of the uncached blocks that the preferred server is assumed to have cached though this
/// instance did not send them there.
const PREFERRED_CREDIT: f64 = 0.7;

/// Penalty for each cent of hourly price, in milliseconds.
const PRICE_CENT_PENALTY_MS: f64 = 0.02;

/// Penalty for a server in another data centre, in milliseconds.
const REMOTE_PENALTY_MS: f64 = 10.0;

/// What the instance knows of one server when it chooses the server of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Leading blocks of the prompt estimated to be in its cache.
    pub cached_blocks: usize,
    /// Estimated remaining prefill time of the prompts that this instance sent it, in milliseconds.
    pub backlog_ms: f64,
    /// Index of the server in the router's list of servers; [`place()`] returns it in
    /// [`Choice::index`].
    pub index: usize,
    /// Price of the machine that it runs on; a higher price raises the score, so that cheaper
    /// servers are preferred.
    pub price_cents_per_hour: u32,
    /// Rendezvous rank for the prompt's first blocks, equal on all instances; random for prompts
    /// shorter than one block.
    pub rank: u64,
    /// True if it is in another data centre than this instance, which adds a penalty for the
    /// distance.
    pub remote: bool,
    /// Requests running or queued there: the last load report plus the change of this instance's
    /// own since, or only its own if there is no recent report.
    pub requests: u32,
    /// Maximum number of requests that it runs concurrently; must be above 0.
    pub slots: u32,
}

impl Candidate {
    /// Expected time to the first token plus penalties, in milliseconds. For a preferred server,
    /// part of the uncached blocks are assumed to be cached.
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

    /// Returns true if at least two requests are queued for each slot, in which case the server is
    /// not chosen.
    pub fn is_full(&self) -> bool {
        f64::from(self.requests) >= f64::from(self.slots) * (1.0 + QUEUE_PER_SLOT)
    }
}

/// Candidate that an attempt is sent to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Index of the chosen server in the router's list of servers, from [`Candidate::index`].
    pub index: usize,
    /// Score of the chosen server, in milliseconds, including the credit if it is the preferred
    /// one; at most [`TIE_MARGIN_MS`] above the best score.
    pub score_ms: f64,
}

/// Chooses the server for a prompt of `prompt_blocks` blocks; 0 for plain calls (those without a
/// prompt). Returns `None` if all candidates are full or there are none.
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

/// Returns the prefill time, in milliseconds, of the prompt blocks that are not in the server's
/// cache, by which an attempt sent there delays later ones.
pub fn prefill_ms(prompt_blocks: usize, cached_blocks: usize) -> f64 {
    prompt_blocks.saturating_sub(cached_blocks) as f64 * PREFILL_BLOCK_MS
}
