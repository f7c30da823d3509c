//! Size and shared parts of a model call's prompt, from which the server of the call is chosen.

use super::*;

/// Part of a prompt, such as one that many callers' prompts begin with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part; equal parts of different prompts have equal hashes.
    pub hash: u64,
    /// Length of this part alone in tokens, as the caller states it.
    pub tokens: u32,
}

/// Size and parts of a prompt. All parts but the last may be shared with other prompts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Maximum number of tokens that the answer may have, as the caller states it.
    pub output_tokens_max: u32,
    /// Parts in prompt order; empty if the caller names none.
    pub parts: SmallVec<[PromptPart; 4]>,
    /// Length of the whole prompt in tokens, as the caller states it.
    pub tokens: u32,
}

impl Prompt {
    /// Returns the hash of each prefix that ends with a part, shortest first; a hash covers that
    /// part and all parts before it.
    pub fn prefixes(&self) -> PrefixHashes {
        let mut chain = 0;
        let mut hashes = PrefixHashes::new();
        for part in &self.parts {
            chain = xxh3_64_with_seed(&part.hash.to_le_bytes(), chain);
            hashes.push(chain);
        }
        hashes
    }

    /// Formats the parts for the log, as comma-separated `HASH:TOKENS` with the hashes in
    /// hexadecimal.
    pub fn parts_text(&self) -> String {
        let mut text = String::new();
        for part in &self.parts {
            let separator = if text.is_empty() { "" } else { "," };
            let _ = write!(text, "{separator}{:016x}:{}", part.hash, part.tokens);
        }
        text
    }

    /// Returns the sum of the tokens in the first `count` parts, or in all parts if there are
    /// fewer.
    pub fn tokens_in(&self, count: usize) -> u32 {
        self.parts.iter().take(count).map(|part| part.tokens).sum()
    }

    /// Returns the number of leading parts that other prompts may share: all but the last.
    pub fn shared_count(&self) -> usize {
        self.parts.len().saturating_sub(1)
    }

    /// Returns the hashes of the parts that other prompts may share, at most the last
    /// [`PARTS_MAX`] of them.
    pub fn shared_parts(&self) -> SuspectParts {
        let count = self.shared_count();
        let first = count.saturating_sub(PARTS_MAX);
        self.parts[first..count].iter().map(|p| p.hash).collect()
    }

    /// Returns the tokens charged to the account's limit: those of the prompt plus the maximum that
    /// may be generated.
    pub fn units(&self) -> f64 {
        f64::from(self.tokens) + f64::from(self.output_tokens_max)
    }
}
