//! The text that an engine stand-in answers: a function of the prompt, so that every token of an
//! answer can be checked.

use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const WORDS: [&str; 16] = [
    "roll ", "crate ", "prism ", "ladder ", "quote ", "shelf ", "lamp ", "order ", "glass ",
    "paper ", "crew ", "stock ", "chain ", "till ", "box ", "note ",
];

/// Bytes of prompt that count as one token.
pub const TOKEN_BYTES: usize = 4;

/// Joins the messages of a chat request into the prompt.
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

/// Token number `index` of the answer to a prompt.
pub fn token(prompt: &str, index: u32) -> &'static str {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), u64::from(index) + 1);
    WORDS[(hash % WORDS.len() as u64) as usize]
}

/// Number of tokens of the answer to a prompt, at most `max_tokens`.
pub fn answer_tokens(prompt: &str, max_tokens: u32) -> u32 {
    let natural = 24 + (xxh3_64(prompt.as_bytes()) % 72) as u32;
    natural.min(max_tokens)
}

/// The whole answer to a prompt.
pub fn answer_text(prompt: &str, max_tokens: u32) -> String {
    (0..answer_tokens(prompt, max_tokens))
        .map(|index| token(prompt, index))
        .collect()
}
