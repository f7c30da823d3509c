//! Counts the calls that started to run, by time window (a period for which usage is reported) and
//! client account. Each instance counts its own calls and sends the counts to its peers, the other
//! instances.
//!
//! In a large deployment a digest of each peer comes only every few seconds, too rarely for the
//! holder of the duty to report all of them in time. So two instances of each data centre collect
//! its counts: every instance there sends them its digest in each round, and the collectors of all
//! data centres send each other the sums. Counts of a window only grow, so that a lost message costs
//! nothing, and of two sums the larger is the more complete one. What an instance had counted when
//! it was killed is kept by its collectors.

use super::*;

/// Number of windows for which counts are kept. The report on a window is due a few windows after
/// its end.
const WINDOWS_MAX: usize = 8;

/// Number of windows whose counts are sent to peers: the current one and those that have not been
/// reported yet.
const WINDOWS_SENT: usize = 3;

/// Number of calls that started to run in one window, by account.
pub type UsageCounts = BTreeMap<AccountName, u64>;

/// Time after the start of an instance until it has the counts of its peers. Peers, or the collectors
/// of their data centres, send counts several times a second, and find a new instance in the log at
/// once.
pub const PEER_COUNTS_DELAY: Duration = Duration::from_millis(1_500);

/// Counts of this instance, and the counts last received from its peers, for the newest 8 windows.
#[derive(Debug)]
pub struct UsageCounter {
    /// Time, by the clock of [`boot_time`], from which the counts of the peers are complete.
    complete_at: Duration,
    /// Sums that collectors of data centres sent; of each account the largest count.
    centres: BTreeMap<DataCentreName, BTreeMap<UsageWindow, UsageCounts>>,
    data_centre: DataCentreName,
    own: BTreeMap<UsageWindow, UsageCounts>,
    peers: HashMap<(InstanceName, u64), PeerCounts>,
}

/// Counts of one process of a peer.
#[derive(Debug)]
struct PeerCounts {
    data_centre: DataCentreName,
    windows: BTreeMap<UsageWindow, UsageCounts>,
}

impl UsageCounter {
    /// Creates a counter for an instance in `data_centre` that started at `started_at` by the clock
    /// of [`boot_time`].
    pub fn new(started_at: Duration, data_centre: DataCentreName) -> Self {
        Self {
            centres: BTreeMap::new(),
            data_centre,
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
        data_centre: &DataCentreName,
        windows: BTreeMap<UsageWindow, UsageCounts>,
    ) {
        let newest = windows.keys().next_back().copied();
        let received = self
            .peers
            .entry((peer, life))
            .or_insert_with(|| PeerCounts {
                data_centre: data_centre.clone(),
                windows: BTreeMap::new(),
            });
        received.windows.extend(windows);
        evict_oldest(&mut received.windows);
        if let Some(newest) = newest {
            // Otherwise the counts of ended processes would be kept for ever.
            let oldest = newest.saturating_sub(WINDOWS_MAX as UsageWindow);
            self.peers.retain(|_, peer| {
                let last = peer.windows.keys().next_back();
                last.is_none_or(|last| *last >= oldest)
            });
        }
    }

    /// Returns the number of processes of peers whose counts are kept.
    pub fn process_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the sums over the instances of this data centre in the newest three windows, for
    /// sending to the collectors of all data centres.
    pub fn centre_sums(&self) -> BTreeMap<UsageWindow, UsageCounts> {
        let of_centre = |peer: &&PeerCounts| peer.data_centre == self.data_centre;
        let of_peers = self.peers.values().filter(of_centre);
        let windows = of_peers.flat_map(|peer| peer.windows.keys());
        let mut windows: Vec<UsageWindow> = windows.chain(self.own.keys()).copied().collect();
        windows.sort_unstable();
        windows.dedup();
        let newest = windows.iter().rev().take(WINDOWS_SENT);
        newest
            .map(|window| (*window, self.centre_total(&self.data_centre, *window)))
            .collect()
    }

    /// Applies the sums that a collector of a data centre sent.
    pub fn merge_centre_sums(
        &mut self,
        data_centre: &DataCentreName,
        windows: BTreeMap<UsageWindow, UsageCounts>,
    ) {
        if windows.is_empty() {
            return;
        }
        let known = self.centres.entry(data_centre.clone()).or_default();
        for (window, counts) in windows {
            raise_to(known.entry(window).or_default(), counts);
        }
        evict_oldest(known);
    }

    /// Returns the counts of all instances in a window; `None` during the first
    /// [`PEER_COUNTS_DELAY`] after the start, while the counts of the peers may be incomplete.
    pub fn total(&self, now: Duration, window: UsageWindow) -> Option<UsageCounts> {
        if now < self.complete_at {
            return None;
        }
        let mut centres: Vec<&DataCentreName> = vec![&self.data_centre];
        centres.extend(self.centres.keys());
        centres.extend(self.peers.values().map(|peer| &peer.data_centre));
        centres.sort_unstable();
        centres.dedup();
        let mut total = UsageCounts::new();
        for centre in centres {
            for (account, count) in self.centre_total(centre, window) {
                *total.entry(account).or_default() += count;
            }
        }
        Some(total)
    }

    /// Returns the counts of a data centre in a window: those that its instances sent here, or those
    /// that a collector has summed up, whichever is larger.
    fn centre_total(&self, centre: &DataCentreName, window: UsageWindow) -> UsageCounts {
        let mut total = UsageCounts::new();
        if *centre == self.data_centre
            && let Some(counts) = self.own.get(&window)
        {
            add_to(&mut total, counts);
        }
        for peer in self
            .peers
            .values()
            .filter(|peer| peer.data_centre == *centre)
        {
            if let Some(counts) = peer.windows.get(&window) {
                add_to(&mut total, counts);
            }
        }
        let collected = self.centres.get(centre).and_then(|sums| sums.get(&window));
        raise_to(&mut total, collected.cloned().unwrap_or_default());
        total
    }
}

fn add_to(total: &mut UsageCounts, counts: &UsageCounts) {
    for (account, count) in counts {
        *total.entry(account.clone()).or_default() += count;
    }
}

fn raise_to(known: &mut UsageCounts, counts: UsageCounts) {
    for (account, count) in counts {
        let known = known.entry(account).or_default();
        *known = count.max(*known);
    }
}

fn evict_oldest(windows: &mut BTreeMap<UsageWindow, UsageCounts>) {
    while windows.len() > WINDOWS_MAX {
        windows.pop_first();
    }
}
