//! Registry of the model calls that run on this instance, by client account and session: the
//! idempotency key of the call or, if it has none, its request id. Callers use the registry to
//! reconnect to their calls, and a stopping instance to hand its calls over.

use super::*;

/// Maximum number of registered calls. A call beyond it runs unregistered, so its caller cannot
/// reconnect.
const SESSIONS_MAX: usize = 20_000;

/// Maximum number of messages waiting in a call's channel; a sender waits while it is full.
pub const CONTROL_CAPACITY: usize = 4;

/// Account and session name of a call; callers find only calls of their own account.
pub type SessionKey = (AccountName, SmolStr);

#[derive(Debug)]
struct Session {
    content_hash: u64,
    control: mpsc::Sender<CallControl>,
}

/// Registers a call that is starting, unless one with the same key is running; the channel of that
/// call is then returned.
#[derive(Message)]
#[rtype(result = "Result<Option<mpsc::Sender<CallControl>>>")]
pub struct OpenSession {
    /// Hash of the request's content; registering the same key with different content is an error.
    pub content_hash: u64,
    /// Channel on which the starting call will receive messages.
    pub control: mpsc::Sender<CallControl>,
    /// Key under which the call is registered.
    pub key: SessionKey,
}

/// Removes a call that has ended. A newer call that has been registered under the same key stays.
#[derive(Message)]
#[rtype(result = "()")]
pub struct CloseSession(
    /// Account and session name of the call that has ended.
    pub SessionKey,
);

/// Removes a call that is to be moved to another instance and returns its channel, or `None` if no
/// call is registered under the key.
#[derive(Message)]
#[rtype(result = "Option<mpsc::Sender<CallControl>>")]
pub struct TakeSession(
    /// Account and session name of the call to move.
    pub SessionKey,
);

/// Removes all calls and returns their channels, so that the calls can be handed over to other
/// instances.
#[derive(Message)]
#[rtype(result = "Vec<mpsc::Sender<CallControl>>")]
pub struct TakeSessions;

/// Actor that owns the registry.
#[derive(Debug, Default)]
pub struct Sessions {
    sessions: HashMap<SessionKey, Session>,
}

impl Actor for Sessions {
    type Context = actix::Context<Self>;
}

impl Handler<OpenSession> for Sessions {
    type Result = Result<Option<mpsc::Sender<CallControl>>>;

    fn handle(&mut self, message: OpenSession, _: &mut Self::Context) -> Self::Result {
        if let Some(session) = self.sessions.get(&message.key)
            && !session.control.is_closed()
        {
            if session.content_hash != message.content_hash {
                return Err(Error::KeyReused);
            }
            return Ok(Some(session.control.clone()));
        }
        if self.sessions.len() < SESSIONS_MAX {
            let session = Session {
                content_hash: message.content_hash,
                control: message.control,
            };
            self.sessions.insert(message.key, session);
        }
        Ok(None)
    }
}

impl Handler<CloseSession> for Sessions {
    type Result = ();

    fn handle(&mut self, message: CloseSession, _: &mut Self::Context) {
        if let Some(session) = self.sessions.get(&message.0)
            && session.control.is_closed()
        {
            self.sessions.remove(&message.0);
        }
    }
}

impl Handler<TakeSession> for Sessions {
    type Result = Option<mpsc::Sender<CallControl>>;

    fn handle(&mut self, message: TakeSession, _: &mut Self::Context) -> Self::Result {
        self.sessions
            .remove(&message.0)
            .map(|session| session.control)
    }
}

impl Handler<TakeSessions> for Sessions {
    type Result = Vec<mpsc::Sender<CallControl>>;

    fn handle(&mut self, _: TakeSessions, _: &mut Self::Context) -> Self::Result {
        self.sessions
            .drain()
            .map(|(_, session)| session.control)
            .collect()
    }
}
