//! Size and shared parts of a model call's prompt, as needed for placement.

use super::*;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part; equal parts of different prompts have equal hashes.
    pub hash: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Size and parts of a prompt. All parts but the last may be shared with other prompts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Largest number of tokens that may be generated.
    pub output_tokens_max: u32,
    /// Parts in prompt order.
    pub parts: SmallVec<[PromptPart; 4]>,
    /// Length of the prompt in tokens.
    pub tokens: u32,
}

impl Prompt {
    /// Hashes of the prefixes that end with each part, shortest first.
    pub fn prefixes(&self) -> PrefixHashes {
        let mut chain = 0;
        let mut hashes = PrefixHashes::new();
        for part in &self.parts {
            chain = xxh3_64_with_seed(&part.hash.to_le_bytes(), chain);
            hashes.push(chain);
        }
        hashes
    }

    /// Tokens in the first `count` parts.
    pub fn tokens_in(&self, count: usize) -> u32 {
        self.parts.iter().take(count).map(|part| part.tokens).sum()
    }

    /// Number of leading parts that other prompts may share.
    pub fn shared_count(&self) -> usize {
        self.parts.len().saturating_sub(1)
    }

    /// Tokens charged to the account's limit: those of the prompt and the most that may be
    /// generated.
    pub fn units(&self) -> f64 {
        f64::from(self.tokens) + f64::from(self.output_tokens_max)
    }
}
