//! Determines a request's client account and, for model calls, its subject (the model that it asks
//! for) and prompt hashes. The table is the operators' list of backend servers, model versions,
//! routes and client accounts.

use super::*;

/// Maximum number of messages in a chat request; a request with more is rejected.
const MESSAGES_MAX: usize = 4_096;

/// Maximum number of generated tokens that is assumed for a request that does not set one.
const OUTPUT_DEFAULT_TOKENS: u32 = 256;

/// Number of leading messages that identify a conversation; they stay the same over its turns.
const CONVERSATION_MESSAGES: usize = 2;

/// Computes the SHA-256 hash of an account key, by which the table identifies the account. `key` is
/// the header value without `Bearer `.
pub fn hash_account_key(key: &str) -> [u8; 32] {
    Sha256::digest(key.as_bytes()).into()
}

/// Finds the client account for the value of an `Authorization` header. Fails with
/// [`Error::UnknownKey`] if there is no value, no `Bearer` key or no account with the key.
pub fn authenticate_account(table: &Table, authorization: Option<&str>) -> Result<ClientAccount> {
    let Some(key) = authorization.and_then(|value| value.strip_prefix("Bearer ")) else {
        return Err(Error::UnknownKey);
    };
    let account = table.account_by_key(&hash_account_key(key.trim()));
    account.cloned().ok_or(Error::UnknownKey)
}

/// A validated chat completion request.
#[derive(Debug, Clone)]
pub struct ChatRequest {
    /// All fields of the request body, including those that only the engine interprets.
    pub body: JsonMap,
    /// Hash of all messages, used to recognize content that crashes engines (the backend servers
    /// that run models).
    pub content_hash: u64,
    /// Hash of the leading messages that identify the conversation.
    pub conversation_hash: u64,
    /// Maximum number of tokens to generate: `max_completion_tokens`, else `max_tokens`, else 256.
    pub output_max_tokens: u32,
    /// Hashes of all messages but the last, at most the last [`PARTS_MAX`] of them: the parts that
    /// other requests may have too.
    pub parts: SuspectParts,
    /// Hashes of the prompt's prefixes, shortest first, used to find servers that have cached them.
    pub prefixes: PrefixHashes,
    /// Length in bytes of the hashed text: role and content of every message, each followed by a
    /// zero byte.
    pub prompt_bytes: usize,
    /// True if the caller requested server-sent events; false if it set no `stream` field.
    pub stream: bool,
    /// True if the stream is to end with a chunk that holds the token counts, as requested with
    /// `stream_options.include_usage`.
    pub stream_usage: bool,
    /// Requested model, which the table contained when the request was parsed.
    pub subject: Subject,
}

impl ChatRequest {
    /// Parses and validates the body of `POST /v1/chat/completions`. Fails with
    /// [`Error::UnknownModel`] if `table` does not have the model, and with [`Error::BadRequest`]
    /// if the body is invalid.
    pub fn parse(table: &Table, bytes: &[u8]) -> Result<Self> {
        let body: JsonMap = serde_json::from_slice(bytes)
            .map_err(|error| bad_request(format!("body is not a JSON object: {error}")))?;
        let model = match body.get("model") {
            Some(Json::String(model)) => model.as_str(),
            _ => return Err(bad_request("model is missing; send the name of a model")),
        };
        let subject = Subject::Model(model.into());
        if !table.variants.contains_key(&subject) {
            return Err(Error::UnknownModel {
                model: shorten(model),
            });
        }
        let prompt = Prompt::read(&body)?;
        let stream = read_bool(&body, "stream")?;
        let output_max_tokens = read_output_max(&body)?;
        let stream_usage = match body.get("stream_options") {
            Some(Json::Object(options)) => read_bool(options, "include_usage")?,
            _ => false,
        };
        Ok(Self {
            content_hash: xxh3_64(&prompt.text),
            conversation_hash: xxh3_64(&prompt.text[..prompt.conversation_bytes]),
            output_max_tokens,
            parts: prompt.shared_parts(),
            prefixes: prefix_hashes(&prompt.text),
            prompt_bytes: prompt.text.len(),
            stream,
            stream_usage,
            subject,
            body,
        })
    }
}

/// All messages of a request concatenated into one text, which is hashed.
struct Prompt {
    conversation_bytes: usize,
    /// Hashes of the messages.
    parts: Vec<PartHash>,
    text: Vec<u8>,
}

impl Prompt {
    fn read(body: &JsonMap) -> Result<Self> {
        let messages = match body.get("messages") {
            Some(Json::Array(messages)) if !messages.is_empty() => messages,
            _ => {
                return Err(bad_request(
                    "messages is missing or empty; send at least one message",
                ));
            }
        };
        if messages.len() > MESSAGES_MAX {
            let reason = format!("more than {MESSAGES_MAX} messages; send fewer");
            return Err(bad_request(reason));
        }
        let mut prompt = Self {
            conversation_bytes: 0,
            parts: Vec::with_capacity(messages.len()),
            text: Vec::new(),
        };
        for (index, message) in messages.iter().enumerate() {
            let start = prompt.text.len();
            prompt.push_message(index, message)?;
            prompt.parts.push(xxh3_64(&prompt.text[start..]));
            if index < CONVERSATION_MESSAGES {
                prompt.conversation_bytes = prompt.text.len();
            }
        }
        Ok(prompt)
    }

    fn shared_parts(&self) -> SuspectParts {
        let count = self.parts.len().saturating_sub(1);
        SuspectParts::from_slice(&self.parts[count.saturating_sub(PARTS_MAX)..count])
    }

    fn push_message(&mut self, index: usize, message: &Json) -> Result {
        let Some(Json::String(role)) = message.get("role") else {
            return Err(bad_request(format!(
                "messages[{index}].role is missing or not a string"
            )));
        };
        self.text.extend_from_slice(role.as_bytes());
        self.text.push(0);
        match message.get("content") {
            Some(Json::String(content)) => self.text.extend_from_slice(content.as_bytes()),
            Some(other) => self.text.extend_from_slice(other.to_string().as_bytes()),
            None => {}
        }
        self.text.push(0);
        Ok(())
    }
}

fn bad_request(reason: impl Into<String>) -> Error {
    Error::BadRequest {
        reason: reason.into(),
    }
}

fn read_bool(body: &JsonMap, field: &str) -> Result<bool> {
    match body.get(field) {
        None | Some(Json::Null) => Ok(false),
        Some(Json::Bool(value)) => Ok(*value),
        Some(_) => Err(bad_request(format!("{field} must be true or false"))),
    }
}

fn read_output_max(body: &JsonMap) -> Result<u32> {
    for field in ["max_completion_tokens", "max_tokens"] {
        let Some(value) = body.get(field) else {
            continue;
        };
        if value.is_null() {
            continue;
        }
        let tokens = value.as_u64().and_then(|tokens| u32::try_from(tokens).ok());
        return match tokens {
            Some(tokens) if tokens > 0 => Ok(tokens),
            _ => Err(bad_request(format!(
                "{field} must be a whole number above 0"
            ))),
        };
    }
    Ok(OUTPUT_DEFAULT_TOKENS)
}
