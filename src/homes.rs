//! Where the shared parts of a prompt belong and where they are.

use super::*;

/// Part of a prompt's shared tokens that a home which is not settled is believed to lack: other
/// instances may have sent them since.
const UNSETTLED_PART: f64 = 0.5;

/// What all instances agree on for the shared parts of a prompt.
#[derive(Debug, Default)]
pub(crate) struct Homes {
    /// Server that has been the home for long enough to hold them.
    pub(crate) holder: Option<ServerName>,
    /// Server that they are sent to.
    pub(crate) home: Option<ServerName>,
}

impl Homes {
    /// True if a server is the home.
    pub(crate) fn is_home(&self, id: &ServerName) -> bool {
        self.home.as_ref() == Some(id)
    }

    /// Tokens of a prompt that a server has to read, as far as an instance knows: `cached_parts` of
    /// it were sent there by the instance itself.
    pub(crate) fn tokens_to_read(
        &self,
        id: &ServerName,
        cached_parts: usize,
        prompt: &Prompt,
    ) -> f64 {
        let shared = f64::from(prompt.tokens_in(prompt.shared_count()));
        let known = f64::from(prompt.tokens_in(cached_parts));
        let own = (f64::from(prompt.tokens) - known.max(shared)).max(0.0);
        let lacking = (shared - known).max(0.0);
        if self.holder.as_ref() == Some(id) {
            return own;
        }
        match self.is_home(id) {
            true => own + lacking * UNSETTLED_PART,
            false => own + lacking,
        }
    }
}
