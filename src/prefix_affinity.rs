//! Determines to which server the shared parts of a prompt (those that other prompts may begin with
//! too) are sent, and which server is assumed to have them cached.

use super::*;

/// Fraction that the preferred server is assumed to lack, while it is not yet warm, of those shared
/// tokens that this instance has not sent it: other instances may have sent the rest.
const COLD_FRACTION: f64 = 0.5;

/// Servers for the shared parts of a prompt, on which all instances agree without messages;
/// [`Fleet`] chooses them by hashing.
#[derive(Debug, Default)]
pub(crate) struct PrefixAffinity {
    /// Server to which the shared parts are sent unless others cost less; `None` if the prompt has
    /// no shared parts or no server can take it.
    pub(crate) preferred: Option<ServerName>,
    /// Server that is assumed to have the shared parts cached, because it was registered long
    /// enough ago to have received them as the preferred one; `None` if the prompt has no shared
    /// parts or all healthy servers were registered too recently.
    pub(crate) warm: Option<ServerName>,
}

impl PrefixAffinity {
    pub(crate) fn is_preferred(&self, id: &ServerName) -> bool {
        self.preferred.as_ref() == Some(id)
    }

    /// Returns true if a server is the preferred or the warm one.
    pub(crate) fn names(&self, id: &ServerName) -> bool {
        self.is_preferred(id) || self.warm.as_ref() == Some(id)
    }

    /// Returns the number of prompt tokens that a server has to prefill (process before the first
    /// token is generated), as estimated by an instance that has itself sent the first
    /// `cached_parts` parts of the prompt there.
    pub(crate) fn tokens_to_prefill(
        &self,
        id: &ServerName,
        cached_parts: usize,
        prompt: &Prompt,
    ) -> f64 {
        let shared = f64::from(prompt.tokens_in(prompt.shared_count()));
        let known = f64::from(prompt.tokens_in(cached_parts));
        let own = (f64::from(prompt.tokens) - known.max(shared)).max(0.0);
        let lacking = (shared - known).max(0.0);
        if self.warm.as_ref() == Some(id) {
            return own;
        }
        match self.is_preferred(id) {
            true => own + lacking * COLD_FRACTION,
            false => own + lacking,
        }
    }
}
