//! Deterministic completions of the simulated engine: a function of the prompt, so that a client
//! can verify every token.

use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const WORDS: [&str; 16] = [
    "roll ", "crate ", "prism ", "ladder ", "quote ", "shelf ", "lamp ", "order ", "glass ",
    "paper ", "crew ", "stock ", "chain ", "till ", "box ", "note ",
];

/// Prompt bytes per token.
pub const TOKEN_BYTES: usize = 4;

/// Concatenates the messages of a chat request into the prompt text.
pub fn prompt_text(messages: &Value) -> String {
    let mut prompt = String::new();
    for message in messages.as_array().into_iter().flatten() {
        prompt.push_str(message["role"].as_str().unwrap_or_default());
        prompt.push('\0');
        match &message["content"] {
            Value::String(content) => prompt.push_str(content),
            Value::Null => {}
            other => prompt.push_str(&other.to_string()),
        }
        prompt.push('\0');
    }
    prompt
}

/// Returns the completion's token at `index`, counted from 0.
pub fn token(prompt: &str, index: u32) -> &'static str {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), u64::from(index) + 1);
    WORDS[(hash % WORDS.len() as u64) as usize]
}

/// Returns the number of tokens in the completion: 24 to 95, but at most `max_tokens`.
pub fn answer_token_count(prompt: &str, max_tokens: u32) -> u32 {
    let full_length = 24 + (xxh3_64(prompt.as_bytes()) % 72) as u32;
    full_length.min(max_tokens)
}

/// Returns the complete text of the completion.
pub fn answer_text(prompt: &str, max_tokens: u32) -> String {
    (0..answer_token_count(prompt, max_tokens))
        .map(|index| token(prompt, index))
        .collect()
}
