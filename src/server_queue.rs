//! Prompt tokens that wait at a backend server, by priority class: those of this instance's calls
//! whose answers have not begun, and those that peers (other instances) report of theirs.
//!
//! The load pattern that this is designed for: tens to hundreds of instances send calls to the same
//! engines (model servers), so that each instance has only a few prompts at an engine at a time. An
//! engine works on one prompt after the other. If every instance took its own prompts to be worked
//! on as soon as they are sent, an engine would be counted as working at many prompts at once, and
//! in a burst the sum over the instances would be far too small. So tokens are counted until the
//! answer begins, and do not decay with time. What peers report is up to seconds old; the engine has
//! worked on their prompts since, but they have sent new ones, too. So the sum of the reports, taken
//! as one queue, drains only at the part of the engine's rate that is not in use.

use super::*;

/// Number of levels that are told apart in the priority of a route: 0, 1, and all less urgent ones
/// together.
const ROUTE_LEVELS: usize = 3;

/// Number of levels that are told apart in the priority of a call: 0, and all less urgent ones
/// together.
const CALL_LEVELS: usize = 2;

/// Number of priority classes: the levels of calls, each divided by the levels of their routes.
pub const QUEUE_CLASSES: usize = CALL_LEVELS * ROUTE_LEVELS;

/// Prompt tokens by priority class, the most urgent one first.
pub type QueuedTokens = [u32; QUEUE_CLASSES];

/// Identifies a prompt that one instance has queued at any of the servers.
pub type QueueTicket = u64;

/// Priority class of a call. Calls of a class wait for those of the same class and of more urgent
/// ones. Where accounts set the priority of their calls, it is often the same for all kinds of calls;
/// the priorities of the routes then decide which of these go first, so that calls with a short
/// target do not wait behind long prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueClass(usize);

impl QueueClass {
    /// Returns the class of a call with the priority `call`, which its account may have set, on a
    /// route with the priority `route`; 0 is the most urgent.
    pub fn new(call: u32, route: u32) -> Self {
        let call_level = (call as usize).min(CALL_LEVELS - 1);
        let route_level = (route as usize).min(ROUTE_LEVELS - 1);
        Self(call_level * ROUTE_LEVELS + route_level)
    }

    /// Position of the class; 0 is the most urgent one.
    pub fn level(self) -> u32 {
        self.0 as u32
    }
}

impl From<u32> for QueueClass {
    /// Returns the class of a call that has the priority of its route.
    fn from(priority: u32) -> Self {
        Self::new(priority, priority)
    }
}

/// Encodes tokens by class for a digest. Trailing zeros are left out, as most servers have no queue.
pub(crate) fn encode_queued(tokens: QueuedTokens) -> Vec<u32> {
    let used = tokens.iter().rposition(|tokens| *tokens > 0);
    tokens[..used.map_or(0, |last| last + 1)].to_vec()
}

/// Decodes tokens by class, as written by [`encode_queued`]. Further classes count as the last one.
pub(crate) fn decode_queued(wire: &[u32]) -> QueuedTokens {
    let mut tokens = QueuedTokens::default();
    for (class, queued) in wire.iter().enumerate() {
        let known = &mut tokens[class.min(QUEUE_CLASSES - 1)];
        *known = known.saturating_add(*queued);
    }
    tokens
}

/// Sum of what peers report of one server.
#[derive(Debug, Default)]
struct PeerQueue {
    tokens: [u64; QUEUE_CLASSES],
    /// Tokens times the time of their report in milliseconds, from which their mean age follows.
    tokens_by_ms: [f64; QUEUE_CLASSES],
}

/// Prompt that this instance has sent and that is not being answered yet.
#[derive(Debug)]
struct QueuedPrompt {
    class: QueueClass,
    ticket: QueueTicket,
    tokens: u32,
}

/// Queue of one process of a server, as far as this instance knows it.
#[derive(Debug, Default)]
pub struct ServerQueue {
    own: SmallVec<[QueuedPrompt; 4]>,
    own_tokens: QueuedTokens,
    peers: PeerQueue,
}

impl ServerQueue {
    /// Adds a prompt of this instance with `tokens` tokens that are not cached.
    pub fn push(&mut self, ticket: QueueTicket, class: QueueClass, tokens: u32) {
        self.own.push(QueuedPrompt {
            class,
            ticket,
            tokens,
        });
        let queued = &mut self.own_tokens[class.0];
        *queued = queued.saturating_add(tokens);
    }

    /// Removes a prompt, whose answer has begun or whose attempt has ended. Has no effect if it was
    /// removed before or was sent to an earlier process of the server.
    pub fn remove(&mut self, ticket: QueueTicket) {
        let Some(index) = self.own.iter().position(|prompt| prompt.ticket == ticket) else {
            return;
        };
        let prompt = self.own.swap_remove(index);
        let queued = &mut self.own_tokens[prompt.class.0];
        *queued = queued.saturating_sub(prompt.tokens);
    }

    /// Returns true if no prompt of any instance is known to be queued.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty() && self.peers.tokens.iter().all(|tokens| *tokens == 0)
    }

    /// Returns the tokens of this instance, which it reports to its peers.
    pub fn own_tokens(&self) -> QueuedTokens {
        self.own_tokens
    }

    /// Adds the report of a peer that arrived at `at`.
    pub(crate) fn add_report(&mut self, at: Duration, tokens: QueuedTokens) {
        for (class, tokens) in tokens.into_iter().enumerate() {
            self.peers.tokens[class] += u64::from(tokens);
            self.peers.tokens_by_ms[class] += f64::from(tokens) * at.as_millis() as f64;
        }
    }

    /// Removes a report that was added with the same values.
    pub(crate) fn remove_report(&mut self, at: Duration, tokens: QueuedTokens) {
        for (class, tokens) in tokens.into_iter().enumerate() {
            self.peers.tokens[class] -= u64::from(tokens);
            let by_ms = &mut self.peers.tokens_by_ms[class];
            // An empty sum starts from zero again, so that errors of rounding do not add up.
            *by_ms = match self.peers.tokens[class] {
                0 => 0.0,
                _ => *by_ms - f64::from(tokens) * at.as_millis() as f64,
            };
        }
    }

    /// Returns the estimated tokens of all instances that are queued in `class` and the more urgent
    /// ones, if the engine prefills `free_per_ms` tokens in a millisecond more than it is sent.
    pub fn tokens(&self, now: Duration, class: QueueClass, free_per_ms: f64) -> f64 {
        let own: u64 = self.own_tokens[..=class.0]
            .iter()
            .copied()
            .map(u64::from)
            .sum();
        let of_peers: u64 = self.peers.tokens[..=class.0].iter().sum();
        if of_peers == 0 {
            return own as f64;
        }
        let by_ms: f64 = self.peers.tokens_by_ms[..=class.0].iter().sum();
        let reported_at_ms = by_ms / of_peers as f64;
        let age_ms = (now.as_secs_f64() * 1_000.0 - reported_at_ms).max(0.0);
        own as f64 + (of_peers as f64 - age_ms * free_per_ms).max(0.0)
    }
}
