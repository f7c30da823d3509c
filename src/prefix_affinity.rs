//! Which servers the shared parts of a prompt are sent to, and which have them cached.

use super::*;

/// Fraction of a prompt's shared tokens that the preferred server is assumed to lack while it is
/// not yet warm: other instances may have sent it the rest.
const COLD_FRACTION: f64 = 0.5;

/// Servers that all instances agree on for the shared parts of a prompt.
#[derive(Debug, Default)]
pub(crate) struct PrefixAffinity {
    /// Server that the shared parts are sent to.
    pub(crate) preferred: Option<ServerName>,
    /// Server that has been preferred for long enough to have them cached.
    pub(crate) warm: Option<ServerName>,
}

impl PrefixAffinity {
    /// Returns true if a server is the preferred one.
    pub(crate) fn is_preferred(&self, id: &ServerName) -> bool {
        self.preferred.as_ref() == Some(id)
    }

    /// Prompt tokens that a server has to prefill, as far as an instance knows, which has itself
    /// sent `cached_parts` parts of the prompt there.
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
