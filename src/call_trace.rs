//! State of one call for the log, so that a call that is dropped before its end leaves a line.

use super::*;

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::rc::Rc;

use tokio::time::Instant as TokioInstant;

/// Part of a call that is in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallStage {
    /// The head or body of the request is being read.
    Request,
    /// A server is being chosen, or its answer has not begun or not been read.
    Attempt,
    /// A large body is forwarded to the caller as it arrives.
    Body,
    /// Events are forwarded to the caller.
    Stream,
}

impl CallStage {
    fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Attempt => "attempt",
            Self::Body => "body",
            Self::Stream => "stream",
        }
    }
}

/// A call from the head of its request to its `finish` line. If it is dropped before, because the
/// caller's connection ended or the process stops, its `finish` line is logged then.
pub(crate) struct CallTrace {
    connection: Rc<ConnectionTrace>,
    /// Time for which writes to the connection had waited when the call began.
    earlier_write_wait: Duration,
    ended: Cell<bool>,
    /// Number of whole events that were forwarded to the caller.
    pub(crate) events_forwarded: Cell<u64>,
    /// Time at which the last whole event arrived, at first that of the request.
    pub(crate) last_event_at: Cell<TokioInstant>,
    received_at: TokioInstant,
    pub(crate) request_id: OnceCell<RequestId>,
    /// Bytes of the response's body that were handed over to be written to the caller.
    response_bytes: Cell<u64>,
    /// Server of the last attempt; empty before the first one.
    server: RefCell<ServerName>,
    serving: Rc<ServingState>,
    pub(crate) stage: Cell<CallStage>,
}

impl CallTrace {
    /// Starts the trace of a call that arrived on `connection`.
    pub(crate) fn start(serving: &Rc<ServingState>, connection: Rc<ConnectionTrace>) -> Rc<Self> {
        let now = TokioInstant::now();
        let trace = Rc::new(Self {
            earlier_write_wait: connection.write_wait(),
            connection,
            ended: Cell::new(false),
            events_forwarded: Cell::new(0),
            last_event_at: Cell::new(now),
            received_at: now,
            request_id: OnceCell::new(),
            response_bytes: Cell::new(0),
            server: RefCell::default(),
            serving: serving.clone(),
            stage: Cell::new(CallStage::Request),
        });
        trace.connection.begin_call(&trace);
        trace
    }

    /// Id of the request; empty if its head has not been parsed.
    pub(crate) fn request_id(&self) -> &str {
        self.request_id.get().map_or("", |id| id.as_str())
    }

    /// Total time for which the response has had to wait for the caller to read it.
    pub(crate) fn write_wait(&self) -> Duration {
        let write_wait = self.connection.write_wait();
        write_wait.saturating_sub(self.earlier_write_wait)
    }

    /// Records the server of an attempt that begins.
    pub(crate) fn begin_attempt(&self, server: &ServerName) {
        self.stage.set(CallStage::Attempt);
        *self.server.borrow_mut() = server.clone();
    }

    /// Records that a whole event arrived and is forwarded to the caller.
    pub(crate) fn count_event(&self) {
        self.events_forwarded.set(self.events_forwarded.get() + 1);
        self.last_event_at.set(TokioInstant::now());
    }

    /// Records that bytes of the response's body are handed over to be written to the caller.
    pub(crate) fn count_response_bytes(&self, count: usize) {
        let response_bytes = self.response_bytes.get();
        self.response_bytes.set(response_bytes + count as u64);
    }

    /// Records that the call's `finish` line was logged. `has_response` is false if the connection
    /// is closed on purpose because the response is incomplete.
    pub(crate) fn end(&self, has_response: bool) {
        self.ended.set(true);
        let response_bytes = has_response.then(|| self.response_bytes.get());
        self.connection.end_call(self.request_id(), response_bytes);
    }

    /// True until the call's `finish` line was logged.
    pub(crate) fn is_in_progress(&self) -> bool {
        !self.ended.get()
    }
}

/// Writes the state of the call as the fields of a log line.
impl fmt::Display for CallTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "stage={} server={} events={} idle_ms={} ms={}",
            self.stage.get().as_str(),
            self.server.borrow(),
            self.events_forwarded.get(),
            self.last_event_at.get().elapsed().as_millis(),
            self.received_at.elapsed().as_millis(),
        )
    }
}

impl Drop for CallTrace {
    fn drop(&mut self) {
        if self.ended.get() {
            return;
        }
        let closed_by = self.connection.closed_by();
        let outcome = match self.serving.stopped.get() {
            true => "stopped",
            false => "disconnected",
        };
        self.serving.metrics.disconnected_call(closed_by);
        warn!(
            "finish request={} outcome={outcome} {self} peer={} closed_by={} draining={}",
            self.request_id(),
            self.connection.peer,
            closed_by.as_str(),
            self.serving.draining.get(),
        );
    }
}
