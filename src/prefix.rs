//! Estimates which prompt prefixes a backend server's cache holds.
//!
//! A prompt is cut into blocks; the hash of a block covers all blocks before it, so that one
//! hash stands for a whole prefix. The estimate is kept from the prompts sent here and corrected
//! by what the engine reports as cached after each answer.

use super::*;

/// Bytes of prompt text in one block; about 64 tokens.
pub const BLOCK_BYTES: usize = 256;

/// Blocks of a prompt that are hashed; the rest counts as not cached.
pub const BLOCKS_MAX: usize = 512;

/// Prefix hashes of one prompt, shortest prefix first.
pub type PrefixHashes = SmallVec<[u64; 32]>;

/// Hashes the prefixes of a prompt.
pub fn prefix_hashes(prompt: &[u8]) -> PrefixHashes {
    let mut hashes = PrefixHashes::new();
    let mut chain = 0;
    for block in prompt.chunks_exact(BLOCK_BYTES).take(BLOCKS_MAX) {
        chain = xxh3_64_with_seed(block, chain);
        hashes.push(chain);
    }
    hashes
}

/// Prefix hashes that a server is believed to hold, each with the time of its last use.
#[derive(Debug)]
pub struct PrefixEstimate {
    blocks_max: usize,
    used_at: HashMap<u64, Duration>,
}

impl PrefixEstimate {
    /// Creates an empty estimate of a cache of `blocks_max` blocks.
    pub fn new(blocks_max: usize) -> Self {
        Self {
            blocks_max,
            used_at: HashMap::new(),
        }
    }

    /// Counts the leading blocks of a prompt that the server is believed to hold.
    pub fn cached_blocks(&self, hashes: &[u64]) -> usize {
        let mut count = 0;
        for hash in hashes {
            if !self.used_at.contains_key(hash) {
                break;
            }
            count += 1;
        }
        count
    }

    /// Records that the server has been sent a prompt.
    pub fn record(&mut self, now: Duration, hashes: &[u64]) {
        for hash in hashes {
            self.used_at.insert(*hash, now);
        }
        if self.used_at.len() > self.blocks_max {
            self.evict();
        }
    }

    /// Corrects the estimate: the server reported `cached` leading blocks of a prompt, so that
    /// whatever else was believed of prompts as old as this one is doubtful.
    pub fn correct(&mut self, hashes: &[u64], believed: usize, cached: usize) {
        if cached >= believed {
            return;
        }
        let Some(lost) = hashes.get(cached) else {
            return;
        };
        let Some(lost_at) = self.used_at.get(lost).copied() else {
            return;
        };
        let kept: SmallVec<[u64; 32]> = hashes.iter().copied().collect();
        self.used_at
            .retain(|hash, used_at| *used_at > lost_at || kept.contains(hash));
    }

    /// Forgets everything, as after a restart of the server.
    pub fn clear(&mut self) {
        self.used_at.clear();
    }

    /// Drops the oldest eighth, so that the cost of finding it is paid rarely.
    fn evict(&mut self) {
        let mut times: Vec<Duration> = self.used_at.values().copied().collect();
        let drop_count = times.len() - self.blocks_max * 7 / 8;
        let (_, oldest_kept, _) = times.select_nth_unstable(drop_count);
        let oldest_kept = *oldest_kept;
        self.used_at.retain(|_, used_at| *used_at >= oldest_kept);
    }
}
