//! Where the shared parts of a prompt belong, where they are, and what a server has to do for them.

use super::*;

/// Part of a prompt's shared tokens that a home which is not settled is believed to lack: other
/// instances may have sent them since.
const UNSETTLED_PART: f64 = 0.5;

/// Copies between data centres take so many times longer.
const OTHER_CENTRE_COPY_FACTOR: f64 = 2.0;

/// A server that holds the shared parts of a prompt.
#[derive(Debug)]
pub(crate) struct Holder {
    pub(crate) address: SocketAddr,
    pub(crate) data_centre: DataCentreName,
    pub(crate) id: ServerName,
}

/// What all instances agree on for the shared parts of a prompt.
#[derive(Debug, Default)]
pub(crate) struct Homes {
    /// Server that has been the home for long enough to hold them.
    pub(crate) holder: Option<Holder>,
    /// Server that they are sent to.
    pub(crate) home: Option<ServerName>,
}

impl Homes {
    /// True if a server is the home.
    pub(crate) fn is_home(&self, id: &ServerName) -> bool {
        self.home.as_ref() == Some(id)
    }

    fn is_holder(&self, id: &ServerName) -> bool {
        self.holder.as_ref().is_some_and(|holder| holder.id == *id)
    }
}

/// What a server has to do before a prompt's first token.
#[derive(Debug, Default)]
pub(crate) struct ReadingNeed {
    /// Time to copy tokens from the holder, in milliseconds.
    pub(crate) copy_ms: f64,
    /// Tokens to copy from the holder.
    pub(crate) copied_tokens: f64,
    /// Tokens to read.
    pub(crate) read_tokens: f64,
}

/// Tokens of a prompt that a server has to read or to copy, as far as an instance knows: what it
/// sent there itself, and who the home and the holder are.
pub(crate) fn reading_need(
    record: &ServerRecord,
    cached_parts: usize,
    prompt: &Prompt,
    homes: &Homes,
    engine: Option<EnginePolicy>,
) -> ReadingNeed {
    let id = &record.id;
    let shared = f64::from(prompt.tokens_in(prompt.shared_count()));
    let known = f64::from(prompt.tokens_in(cached_parts));
    let all = f64::from(prompt.tokens);
    let mut need = ReadingNeed {
        read_tokens: (all - known.max(shared)).max(0.0),
        ..ReadingNeed::default()
    };
    let mut lacking = (shared - known).max(0.0);
    if lacking <= 0.0 || homes.is_holder(id) {
        return need;
    }
    if homes.is_home(id) {
        lacking *= UNSETTLED_PART;
    }
    let copy_ms_per_token = engine.and_then(|engine| engine.copy_ms_per_token);
    match (&homes.holder, copy_ms_per_token) {
        (Some(holder), Some(copy_ms_per_token)) => {
            let factor = match holder.data_centre == record.data_centre {
                true => 1.0,
                false => OTHER_CENTRE_COPY_FACTOR,
            };
            need.copied_tokens = lacking;
            need.copy_ms = lacking * copy_ms_per_token * factor;
        }
        _ => need.read_tokens += lacking,
    }
    need
}
