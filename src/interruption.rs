//! Cause for which an event stream was interrupted.

/// Cause of the last interruption of an event stream, whether or not the stream was resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interruption {
    /// The server closed or reset the connection before the end of the stream.
    Broken,
    /// The data centre of the server was marked as cut off.
    CutOff,
    /// The caller's deadline passed.
    Deadline,
    /// The server sent an event that could not be parsed or was too large.
    Malformed,
    /// The server ended the stream inside an event, or one without a length before its first event.
    PartialEvent,
    /// No event arrived in time.
    Stalled,
}

impl Interruption {
    /// Name of the cause in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::CutOff => "cut-off",
            Self::Deadline => "deadline",
            Self::Malformed => "malformed",
            Self::PartialEvent => "partial-event",
            Self::Stalled => "stalled",
        }
    }
}
