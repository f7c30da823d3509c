//! Counts the calls that began to run, by window of time and client account.

use super::*;

/// Windows kept: a report is due a few windows after the window's end.
const WINDOWS_MAX: usize = 8;

/// Windows told to peers: the current one and those that are not reported yet.
const WINDOWS_TOLD: usize = 3;

/// Counts of one window by account.
pub type UsageCounts = BTreeMap<AccountName, u64>;

/// Time after a start in which peers tell what they counted: they tell it several times a second,
/// and find a new instance in the log at once.
pub const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Counts of this instance and, as they last told, of its peers.
#[derive(Debug)]
pub struct UsageBook {
    /// From when on the peers' counts are known.
    settled_at: Duration,
    own: BTreeMap<UsageWindow, UsageCounts>,
    peers: HashMap<(InstanceName, u64), BTreeMap<UsageWindow, UsageCounts>>,
}

impl UsageBook {
    /// Creates an empty book at the start of an instance.
    pub fn new(started_at: Duration) -> Self {
        Self {
            own: BTreeMap::new(),
            peers: HashMap::new(),
            settled_at: started_at + SETTLE_TIME,
        }
    }

    /// Counts a call that began to run in a window.
    pub fn count(&mut self, window: UsageWindow, account: &AccountName) {
        let counts = self.own.entry(window).or_default();
        *counts.entry(account.clone()).or_default() += 1;
        drop_oldest(&mut self.own);
    }

    /// Own counts of the newest windows, to tell peers.
    pub fn newest_own(&self) -> BTreeMap<UsageWindow, UsageCounts> {
        let newest = self.own.iter().rev().take(WINDOWS_TOLD);
        newest
            .map(|(window, counts)| (*window, counts.clone()))
            .collect()
    }

    /// Takes the counts that one life of a peer told; they only grow.
    pub fn take_peer(
        &mut self,
        peer: InstanceName,
        life: u64,
        windows: BTreeMap<UsageWindow, UsageCounts>,
    ) {
        let known = self.peers.entry((peer, life)).or_default();
        for (window, counts) in windows {
            known.insert(window, counts);
        }
        drop_oldest(known);
    }

    /// Counts of all instances in a window; `None` before the peers had time to tell theirs.
    pub fn total(&self, now: Duration, window: UsageWindow) -> Option<UsageCounts> {
        if now < self.settled_at {
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

fn drop_oldest(windows: &mut BTreeMap<UsageWindow, UsageCounts>) {
    while windows.len() > WINDOWS_MAX {
        windows.pop_first();
    }
}
