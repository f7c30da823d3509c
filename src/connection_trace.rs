//! State of one caller's connection: for the log, so that a request that was read and not answered
//! can be traced when the connection ends; and what has to be known to close it when it is idle, and to
//! leave out the time for which its caller does not read.

use super::*;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::rc::Weak;
use std::task::Context as TaskContext;
use std::task::Poll;

use futures_util::task::AtomicWaker;
use tokio::time::Instant as TokioInstant;

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
    /// The response to the last request was built but not written, or not to its end.
    Response(UnwrittenResponse),
}

/// Writes the fields of a log line.
impl fmt::Display for Unanswered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(call) => write!(f, "request={} unanswered=call {call}", call.request_id()),
            Self::Bytes(bytes) => write!(f, "unanswered=bytes bytes={bytes}"),
            Self::Response(response) => write!(
                f,
                "request={} unanswered=response body_bytes={} written_bytes={}",
                response.request_id, response.body_bytes, response.written_bytes
            ),
        }
    }
}

/// Response of which fewer bytes were written than its body has.
#[derive(Debug, Clone)]
pub(crate) struct UnwrittenResponse {
    body_bytes: u64,
    request_id: RequestId,
    /// Bytes written since the call began, including those of the head.
    written_bytes: u64,
}

/// Last call of a connection.
#[derive(Debug, Clone, Default)]
struct LastCall {
    /// Bytes that the connection had read when the call ended.
    read_bytes: u64,
    /// Id of its request and bytes of its response's body; `None` if it has not ended, or ended
    /// with an incomplete response.
    response: Option<(RequestId, u64)>,
    /// Bytes that the connection had written when the call began.
    written_bytes: u64,
}

/// A caller's connection, from its acceptance to its end.
pub(crate) struct ConnectionTrace {
    call: RefCell<Weak<CallTrace>>,
    closed_by_caller: Cell<bool>,
    idle_clock: Cell<IdleClock>,
    /// True if the connection is to be closed unless it is used before its next read.
    is_expired: Cell<bool>,
    last_call: RefCell<LastCall>,
    pub(crate) peer: SocketAddr,
    read_bytes: Cell<u64>,
    /// Wakes the task that reads from the connection.
    reader: AtomicWaker,
    /// Total time of the writes that had to wait for the caller to read and no longer do.
    write_wait: Cell<Duration>,
    /// Time since which a write waits for the caller to read.
    write_waits_since: Cell<Option<TokioInstant>>,
    written_bytes: Cell<u64>,
}

impl ConnectionTrace {
    /// Starts the trace of a connection from `peer`.
    pub(crate) fn new(peer: SocketAddr) -> Self {
        Self {
            call: RefCell::default(),
            closed_by_caller: Cell::new(false),
            idle_clock: Cell::default(),
            is_expired: Cell::new(false),
            last_call: RefCell::default(),
            peer,
            read_bytes: Cell::new(0),
            reader: AtomicWaker::new(),
            write_wait: Cell::default(),
            write_waits_since: Cell::default(),
            written_bytes: Cell::new(0),
        }
    }

    /// Returns what the connection does now.
    fn activity(&self) -> ConnectionActivity {
        let is_busy = match self.unanswered() {
            Some(Unanswered::Call(_) | Unanswered::Response(_)) => true,
            Some(Unanswered::Bytes(_)) | None => self.write_waits_since.get().is_some(),
        };
        ConnectionActivity {
            bytes: self.read_bytes.get() + self.written_bytes.get(),
            is_busy,
        }
    }

    /// Observes the connection at time `now` since boot. If it has been idle for `timeout`, makes it
    /// close unless a request arrives before, and returns true.
    pub(crate) fn expire(&self, now: Duration, timeout: Duration) -> bool {
        let mut idle_clock = self.idle_clock.get();
        let idle = idle_clock.observe(now, self.activity());
        self.idle_clock.set(idle_clock);
        let has_expired = idle >= timeout && !self.is_expired.get();
        if has_expired {
            self.is_expired.set(true);
            self.reader.wake();
        }
        has_expired
    }

    /// Registers the task that waits for bytes from the caller, and returns true if the connection
    /// is to be closed because nothing has come for too long.
    pub(crate) fn wait_for_bytes(&self, cx: &TaskContext<'_>) -> bool {
        self.reader.register(cx.waker());
        if self.is_expired.get() && self.activity().is_busy {
            self.is_expired.set(false);
        }
        self.is_expired.get()
    }

    /// Records the result of a read from the caller; 0 bytes are the end of what it sends.
    pub(crate) fn record_read(&self, result: &std::io::Result<usize>) {
        match result {
            Ok(0) | Err(_) => self.closed_by_caller.set(true),
            Ok(count) => {
                self.is_expired.set(false);
                self.read_bytes.set(self.read_bytes.get() + *count as u64);
            }
        }
    }

    /// Records the result of a write to the caller; `Pending` if the caller has to read first.
    pub(crate) fn record_write(&self, result: &Poll<std::io::Result<usize>>) {
        let waits_since = self.write_waits_since.get();
        let Poll::Ready(result) = result else {
            let since = waits_since.unwrap_or_else(TokioInstant::now);
            self.write_waits_since.set(Some(since));
            return;
        };
        if let Some(since) = waits_since {
            self.write_wait.set(self.write_wait.get() + since.elapsed());
            self.write_waits_since.set(None);
        }
        match result {
            Ok(count) => self
                .written_bytes
                .set(self.written_bytes.get() + *count as u64),
            Err(_) => self.closed_by_caller.set(true),
        }
    }

    /// Total time for which writes have had to wait for the caller to read.
    pub(crate) fn write_wait(&self) -> Duration {
        let current_wait = self.write_waits_since.get().map(|since| since.elapsed());
        self.write_wait.get() + current_wait.unwrap_or_default()
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
        *self.last_call.borrow_mut() = LastCall {
            written_bytes: self.written_bytes.get(),
            ..LastCall::default()
        };
    }

    /// Records that the current call has ended, with a complete response whose body has
    /// `response_bytes`, or with none.
    pub(crate) fn end_call(&self, request_id: &str, response_bytes: Option<u64>) {
        let mut last_call = self.last_call.borrow_mut();
        last_call.read_bytes = self.read_bytes.get();
        last_call.response = response_bytes.map(|bytes| (request_id.into(), bytes));
    }

    /// Returns what the connection owes its caller now.
    pub(crate) fn unanswered(&self) -> Option<Unanswered> {
        let call = self.call.borrow().upgrade();
        if let Some(call) = call.filter(|call| call.is_in_progress()) {
            return Some(Unanswered::Call(call));
        }
        let last_call = self.last_call.borrow();
        let written_bytes = self.written_bytes.get() - last_call.written_bytes;
        if let Some((request_id, body_bytes)) = &last_call.response
            && written_bytes <= *body_bytes
        {
            return Some(Unanswered::Response(UnwrittenResponse {
                body_bytes: *body_bytes,
                request_id: request_id.clone(),
                written_bytes,
            }));
        }
        match self.read_bytes.get() - last_call.read_bytes {
            0 => None,
            bytes => Some(Unanswered::Bytes(bytes)),
        }
    }
}
