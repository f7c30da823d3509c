//! Estimates which prompt prefixes a backend server's cache holds, from which an engine (a model
//! server) can continue without processing them again.
//!
//! A prompt is cut into blocks; the hash of a block covers all blocks before it, so that one hash
//! identifies a whole prefix. The estimate is built from the prompts sent to the server and, if the
//! engine reports cached tokens with its answers, corrected by them. [`fleet`] uses the estimate
//! with the parts of a [`Prompt`], as the caller divides it, in place of blocks.

use super::*;

/// Bytes of prompt text in one block; about 64 tokens.
pub const BLOCK_BYTES: usize = 256;

/// Maximum number of leading blocks of a prompt that are hashed; the rest counts as uncached.
pub const BLOCKS_MAX: usize = 512;

/// Prefix hashes of one prompt, shortest prefix first.
pub type PrefixHashes = SmallVec<[u64; 32]>;

/// Hashes the prefixes of a prompt's text that end with each of its first [`BLOCKS_MAX`] blocks. An
/// incomplete last block is left out, so a prompt shorter than a block has none.
pub fn prefix_hashes(prompt: &[u8]) -> PrefixHashes {
    let mut hashes = PrefixHashes::new();
    let mut chain = 0;
    for block in prompt.chunks_exact(BLOCK_BYTES).take(BLOCKS_MAX) {
        chain = xxh3_64_with_seed(block, chain);
        hashes.push(chain);
    }
    hashes
}

/// Prefix hashes estimated to be in one server's cache, each with the time at which this instance
/// last sent a prompt with that prefix.
#[derive(Debug)]
pub struct PrefixEstimate {
    blocks_max: usize,
    used_at: HashMap<u64, Duration>,
}

impl PrefixEstimate {
    /// Creates an empty estimate for a cache of `blocks_max` blocks; beyond that number the least
    /// recently used ones are dropped.
    pub fn new(blocks_max: usize) -> Self {
        Self {
            blocks_max,
            used_at: HashMap::new(),
        }
    }

    /// Counts the leading blocks of a prompt that are estimated to be cached, given its prefix
    /// hashes; counting ends at the first one that is not.
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

    /// Returns true if the block with this hash is estimated to be cached.
    pub fn contains(&self, hash: u64) -> bool {
        self.used_at.contains_key(&hash)
    }

    /// Records that a prompt was sent to the server, which is then assumed to have all of its
    /// hashed blocks cached.
    pub fn record(&mut self, now: Duration, hashes: &[u64]) {
        for hash in hashes {
            self.used_at.insert(*hash, now);
        }
        if self.used_at.len() > self.blocks_max {
            self.evict();
        }
    }

    /// Corrects the estimate after the server reported `cached` leading blocks of a prompt. If
    /// fewer are cached than `estimated`, the server has evicted blocks. So the estimate drops all
    /// blocks of other prompts that were last used no later than the first block of this prompt
    /// that was not cached. The blocks of this prompt stay.
    pub fn correct(&mut self, hashes: &[u64], estimated: usize, cached: usize) {
        if cached >= estimated {
            return;
        }
        let Some(missing) = hashes.get(cached) else {
            return;
        };
        let Some(missing_used_at) = self.used_at.get(missing).copied() else {
            return;
        };
        let kept: SmallVec<[u64; 32]> = hashes.iter().copied().collect();
        self.used_at
            .retain(|hash, used_at| *used_at > missing_used_at || kept.contains(hash));
    }

    /// Forgets all prefixes, so that nothing is assumed to be cached. Called when the server may
    /// have a new process with an empty cache: after its connections failed, or when it is no
    /// longer reported as leaving.
    pub fn clear(&mut self) {
        self.used_at.clear();
    }

    /// Drops the least recently used blocks down to 7/8 of the maximum at once, so that this search
    /// over all blocks is rarely needed.
    fn evict(&mut self) {
        let mut times: Vec<Duration> = self.used_at.values().copied().collect();
        let drop_count = times.len() - self.blocks_max * 7 / 8;
        let (_, oldest_kept, _) = times.select_nth_unstable(drop_count);
        let oldest_kept = *oldest_kept;
        self.used_at.retain(|_, used_at| *used_at >= oldest_kept);
    }
}
