//! Counts the calls that started to run, by time window (a period for which usage is reported) and
//! client account. Each instance counts its own calls and sends the counts to its peers, the other
//! instances.

use super::*;

/// Number of windows for which counts are kept. The report on a window is due a few windows after
/// its end.
const WINDOWS_MAX: usize = 8;

/// Number of windows whose counts are sent to peers: the current one and those that have not been
/// reported yet.
const WINDOWS_SENT: usize = 3;

/// Number of calls that started to run in one window, by account.
pub type UsageCounts = BTreeMap<AccountName, u64>;

/// Time after the start of an instance until it has the counts of its peers. Peers send their
/// counts several times a second, or about once a second in deployments of a hundred instances, and
/// find a new instance in the log at once.
pub const PEER_COUNTS_DELAY: Duration = Duration::from_millis(1_500);

/// Counts of this instance, and the counts last received from its peers, for the newest 8 windows.
#[derive(Debug)]
pub struct UsageCounter {
    /// Time, by the clock of [`boot_time`], from which the counts of the peers are complete.
    complete_at: Duration,
    own: BTreeMap<UsageWindow, UsageCounts>,
    peers: HashMap<(InstanceName, u64), BTreeMap<UsageWindow, UsageCounts>>,
}

impl UsageCounter {
    /// Creates a counter for an instance that started at `started_at` by the clock of
    /// [`boot_time`].
    pub fn new(started_at: Duration) -> Self {
        Self {
            own: BTreeMap::new(),
            peers: HashMap::new(),
            complete_at: started_at + PEER_COUNTS_DELAY,
        }
    }

    /// Counts one call of an account. Must be called when the call starts to run, with the window
    /// that contains that time.
    pub fn count(&mut self, window: UsageWindow, account: &AccountName) {
        let counts = self.own.entry(window).or_default();
        *counts.entry(account.clone()).or_default() += 1;
        evict_oldest(&mut self.own);
    }

    /// Returns the counts of this instance in the newest three windows in which it ran a call, for
    /// sending to peers.
    pub fn recent_own_counts(&self) -> BTreeMap<UsageWindow, UsageCounts> {
        let newest = self.own.iter().rev().take(WINDOWS_SENT);
        newest
            .map(|(window, counts)| (*window, counts.clone()))
            .collect()
    }

    /// Stores the counts received from one process of a peer; `life` is the start time of that
    /// process in milliseconds since 1970. The counts of a process only grow, so the newest ones
    /// replace earlier ones.
    pub fn set_peer_counts(
        &mut self,
        peer: InstanceName,
        life: u64,
        windows: BTreeMap<UsageWindow, UsageCounts>,
    ) {
        let received = self.peers.entry((peer, life)).or_default();
        for (window, counts) in windows {
            received.insert(window, counts);
        }
        evict_oldest(received);
    }

    /// Returns the counts of all instances in a window; `None` during the first
    /// [`PEER_COUNTS_DELAY`] after the start, while the counts of the peers may be incomplete.
    pub fn total(&self, now: Duration, window: UsageWindow) -> Option<UsageCounts> {
        if now < self.complete_at {
            return None;
        }
        let mut total = self.own.get(&window).cloned().unwrap_or_default();
        for windows in self.peers.values() {
            let Some(counts) = windows.get(&window) else {
                continue;
            };
            for (account, count) in counts {
                *total.entry(account.clone()).or_default() += count;
            }
        }
        Some(total)
    }
}

fn evict_oldest(windows: &mut BTreeMap<UsageWindow, UsageCounts>) {
    while windows.len() > WINDOWS_MAX {
        windows.pop_first();
    }
}
