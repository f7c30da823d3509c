//! How far the answer of an attempt had come when the attempt ended.

/// Part of a server's answer that has arrived.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AnswerProgress {
    /// Nothing has arrived.
    #[default]
    None,
    /// The head has arrived; of an event stream, no whole event.
    Head,
    /// At least one whole event has arrived.
    Events,
}

impl AnswerProgress {
    /// Value of the field `answer` in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Head => "head",
            Self::Events => "events",
        }
    }
}
