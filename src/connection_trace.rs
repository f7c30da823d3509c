//! State of one caller's connection for the log, so that a request that was read and not answered
//! can be traced when the connection ends.

use super::*;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::rc::Weak;

/// Side that closed a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClosedBy {
    /// The caller closed or reset the connection.
    Caller,
    /// This instance closed it, or is about to.
    Instance,
}

impl ClosedBy {
    /// Name of the side in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Instance => "instance",
        }
    }
}

/// What a connection still owes its caller.
#[derive(Clone)]
pub(crate) enum Unanswered {
    /// A call is in progress.
    Call(Rc<CallTrace>),
    /// Bytes were read after the last call ended, and no call began: a further request, part of
    /// one, or the rest of a request that was refused before it was read.
    Bytes(u64),
    /// The response to the request with this id was built, and no byte was written since.
    Response(RequestId),
}

/// Writes the fields of a log line.
impl fmt::Display for Unanswered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(call) => write!(f, "request={} unanswered=call {call}", call.request_id()),
            Self::Bytes(bytes) => write!(f, "unanswered=bytes bytes={bytes}"),
            Self::Response(id) => write!(f, "request={id} unanswered=response"),
        }
    }
}

/// Bytes that a connection had transferred when its last call ended.
#[derive(Debug, Clone, Default)]
struct LastCall {
    /// Request whose response is to be written; `None` if there is none, or it was incomplete.
    awaiting_write: Option<RequestId>,
    read_bytes: u64,
    written_bytes: u64,
}

/// A caller's connection, from its acceptance to its end.
pub(crate) struct ConnectionTrace {
    call: RefCell<Weak<CallTrace>>,
    closed_by_caller: Cell<bool>,
    last_call: RefCell<LastCall>,
    pub(crate) peer: SocketAddr,
    read_bytes: Cell<u64>,
    written_bytes: Cell<u64>,
}

impl ConnectionTrace {
    /// Starts the trace of a connection from `peer`.
    pub(crate) fn new(peer: SocketAddr) -> Self {
        Self {
            call: RefCell::default(),
            closed_by_caller: Cell::new(false),
            last_call: RefCell::default(),
            peer,
            read_bytes: Cell::new(0),
            written_bytes: Cell::new(0),
        }
    }

    /// Records the result of a read from the caller; 0 bytes are the end of what it sends.
    pub(crate) fn record_read(&self, result: &std::io::Result<usize>) {
        match result {
            Ok(0) | Err(_) => self.closed_by_caller.set(true),
            Ok(count) => self.read_bytes.set(self.read_bytes.get() + *count as u64),
        }
    }

    /// Records the result of a write to the caller.
    pub(crate) fn record_write(&self, result: &std::io::Result<usize>) {
        match result {
            Ok(count) => self
                .written_bytes
                .set(self.written_bytes.get() + *count as u64),
            Err(_) => self.closed_by_caller.set(true),
        }
    }

    /// Side that closed the connection, as far as is known: the caller, once a read or write has
    /// shown it.
    pub(crate) fn closed_by(&self) -> ClosedBy {
        match self.closed_by_caller.get() {
            true => ClosedBy::Caller,
            false => ClosedBy::Instance,
        }
    }

    /// Records that a call begins.
    pub(crate) fn begin_call(&self, call: &Rc<CallTrace>) {
        *self.call.borrow_mut() = Rc::downgrade(call);
        *self.last_call.borrow_mut() = LastCall::default();
    }

    /// Records that the current call has ended. `has_response` tells whether a response to it is
    /// still to be written.
    pub(crate) fn end_call(&self, request_id: &str, has_response: bool) {
        *self.last_call.borrow_mut() = LastCall {
            awaiting_write: has_response.then(|| request_id.into()),
            read_bytes: self.read_bytes.get(),
            written_bytes: self.written_bytes.get(),
        };
    }

    /// Returns what the connection owes its caller now.
    pub(crate) fn unanswered(&self) -> Option<Unanswered> {
        let call = self.call.borrow().upgrade();
        if let Some(call) = call.filter(|call| call.is_in_progress()) {
            return Some(Unanswered::Call(call));
        }
        let last_call = self.last_call.borrow();
        if let Some(id) = &last_call.awaiting_write
            && last_call.written_bytes == self.written_bytes.get()
        {
            return Some(Unanswered::Response(id.clone()));
        }
        match self.read_bytes.get() - last_call.read_bytes {
            0 => None,
            bytes => Some(Unanswered::Bytes(bytes)),
        }
    }
}
