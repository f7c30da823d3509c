//! Which servers the shared parts of a prompt, those that other prompts may begin with too, are
//! sent to, and which have them cached.

use super::*;

/// Fraction of a prompt's shared tokens that the preferred server is assumed to lack while it is
/// not yet warm: other instances may have sent it the rest.
const COLD_FRACTION: f64 = 0.5;

/// Servers for the shared parts of a prompt, on which all instances agree without messages;
/// [`Fleet`] chooses them by hashing.
#[derive(Debug, Default)]
pub(crate) struct PrefixAffinity {
    /// Server to which the shared parts are sent unless others cost less; `None` if the prompt has
    /// no shared parts or no server can take it.
    pub(crate) preferred: Option<ServerName>,
    /// Server that has been the first choice for long enough to be assumed to have them cached;
    /// `None` if there are no shared parts or all healthy servers were registered too recently.
    pub(crate) warm: Option<ServerName>,
}

impl PrefixAffinity {
    pub(crate) fn is_preferred(&self, id: &ServerName) -> bool {
        self.preferred.as_ref() == Some(id)
    }

    /// Prompt tokens that a server has to prefill (process before the first token is generated), as
    /// far as an instance knows, which has itself sent `cached_parts` parts of the prompt there.
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
