//! The other instances, called peers, and the choice of the instances that read the log for a data
//! centre.
//!
//! Reads of the log cost money, and most return the same records to every instance of a data
//! centre. In all but small data centres a few instances therefore read the log, those with the
//! lowest hashes of their names, and the others read from them. All instances agree on the readers
//! without messages; one that cannot reach a reader reads the log itself. Peers show that they are
//! live by digests, datagrams with their state that they send regularly.

use super::*;

use prost::Message;

/// Number of instances of a data centre that read the log themselves; one of them may fail.
const READER_COUNT: usize = 2;

/// Number of live peers in its data centre below which an instance reads the log itself: there the
/// reads saved are not worth a second hop.
const DIRECT_READ_MAX: usize = 4;

/// Time since its last digest after which a peer no longer counts as live and is not read from. It
/// covers several rounds of digests in large deployments.
const LIVE_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum number of peers that receive a digest in one round. Small deployments send to all peers
/// at once; larger ones rotate through them, so that traffic grows linearly with the number of
/// instances instead of quadratically. With a hundred instances, account limits rely on demand that
/// is up to 1.5 s old; the overage that they allow covers this delay. What has to arrive sooner goes
/// through [`Peers::collectors`].
const PEERS_PER_ROUND_MAX: usize = 24;

/// Number of peers above which the sums of data centres are used. With fewer, digests reach all
/// instances within four rounds; a sum takes a collector on the smallest machines a third of its
/// processor, and digests that it then lost contained the usage of its data centre.
const SUM_PEERS_MIN: usize = 4 * PEERS_PER_ROUND_MAX;

/// Time without a digest from a peer after which this instance sends it one only every
/// [`SILENT_ROUNDS`] rounds.
const SILENT_AFTER: Duration = Duration::from_secs(10);

/// A silent peer receives a digest in only one of this many rounds.
const SILENT_ROUNDS: u64 = 10;

/// Address of a peer and the send time of the last digest that it sent, which the next digest to it
/// contains; `None` if it sent none.
pub type DigestTarget = (SocketAddr, Option<Duration>);

/// Another instance, known from its record in the log or from a digest.
#[derive(Debug)]
pub struct Peer {
    /// Address to which digests and topic reads are sent.
    pub address: SocketAddr,
    /// Data centre that the peer named in its record or first digest; only peers of the same one
    /// are read from.
    pub data_centre: DataCentreName,
    /// True if the peer used the sums of all data centres when it sent its last digest.
    pub has_sums: bool,
    /// True if the peer held the duties when it sent its last digest.
    pub holds_duties: bool,
    /// Time at which the address became known.
    pub known_at: Duration,
    /// Receipt time of the peer's last digest, and the send time that the digest contained; `None`
    /// before the first digest.
    pub last_digest: Option<(Duration, Duration)>,
    /// Version of the policy that the peer has in force, by its last digest.
    pub policy_version: PolicyVersion,
}

impl Peer {
    /// Returns true if a digest has come within [`LIVE_TIMEOUT`].
    fn is_live(&self, now: Duration) -> bool {
        self.last_digest
            .is_some_and(|(received_at, _)| now.saturating_sub(received_at) < LIVE_TIMEOUT)
    }

    /// Returns true if no digest has come for [`SILENT_AFTER`], although the address was known.
    fn is_silent(&self, now: Duration) -> bool {
        let received_at = self.last_digest.map(|(received_at, _)| received_at);
        let since = received_at.unwrap_or_default().max(self.known_at);
        now.saturating_sub(since) > SILENT_AFTER
    }
}

/// The known peers of an instance, in the order of their names.
#[derive(Debug, Default)]
pub struct Peers {
    by_name: BTreeMap<InstanceName, Peer>,
}

impl Peers {
    /// Applies a record of the instances' topic, which maps instance names to addresses. A record
    /// with no value or an invalid one removes the peer; the record of the instance `own` is
    /// ignored.
    pub fn apply_record(&mut self, now: Duration, record: &KeyedRecord, own: &InstanceName) {
        if record.key == *own {
            return;
        }
        let entry = record.value.as_ref().and_then(|value| {
            let entry = wire::InstanceRecord::decode(value.clone()).ok()?;
            let address: SocketAddr = entry.peer_address.parse().ok()?;
            Some((address, entry.data_centre))
        });
        match entry {
            Some((address, data_centre)) => {
                info!("peer instance={} address={address}", record.key);
                let peer = Peer {
                    address,
                    data_centre: data_centre.into(),
                    has_sums: false,
                    holds_duties: false,
                    known_at: now,
                    last_digest: None,
                    policy_version: 0,
                };
                self.by_name.insert(record.key.clone(), peer);
            }
            None => {
                info!("peer instance={} removed", record.key);
                self.by_name.remove(&record.key);
            }
        }
    }

    /// Records the receipt of a digest of a peer and the send time that it contained. A peer that
    /// is not in the log yet is added.
    pub fn record_digest(
        &mut self,
        now: Duration,
        name: &InstanceName,
        address: SocketAddr,
        data_centre: &DataCentreName,
        sent: Duration,
    ) {
        let peer = self.by_name.entry(name.clone()).or_insert_with(|| Peer {
            address,
            data_centre: data_centre.clone(),
            has_sums: false,
            holds_duties: false,
            known_at: now,
            last_digest: None,
            policy_version: 0,
        });
        peer.last_digest = Some((now, sent));
    }

    /// Returns true if the peer is in the log or has sent a digest.
    pub fn is_known(&self, name: &InstanceName) -> bool {
        self.by_name.contains_key(name)
    }

    /// Records whether a peer holds the duties, by its digest.
    pub fn record_duties(&mut self, name: &InstanceName, holds_duties: bool) {
        if let Some(peer) = self.by_name.get_mut(name) {
            peer.holds_duties = holds_duties;
        }
    }

    /// Records whether a peer uses the sums of all data centres, by its digest.
    pub fn record_sums(&mut self, name: &InstanceName, has_sums: bool) {
        if let Some(peer) = self.by_name.get_mut(name) {
            peer.has_sums = has_sums;
        }
    }

    /// Returns the addresses of the peers that use the sums of all data centres.
    pub fn addresses_with_sums(&self) -> HashSet<SocketAddr> {
        let with_sums = self.by_name.values().filter(|peer| peer.has_sums);
        with_sums.map(|peer| peer.address).collect()
    }

    /// Records the version of the policy that a peer named in its digest.
    pub fn record_version(&mut self, name: &InstanceName, version: PolicyVersion) {
        if let Some(peer) = self.by_name.get_mut(name) {
            peer.policy_version = version;
        }
    }

    /// Returns up to two live peers whose policy is newer than `version`.
    pub fn ahead(&self, now: Duration, version: PolicyVersion) -> SmallVec<[SocketAddr; 2]> {
        let is_ahead = |peer: &&Peer| peer.policy_version > version && !peer.is_silent(now);
        let ahead = self.by_name.values().filter(is_ahead);
        ahead.take(2).map(|peer| peer.address).collect()
    }

    /// Returns all known peers in the order of their names, including silent ones.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceName, &Peer)> {
        self.by_name.iter()
    }

    /// Returns the peers to which the instance `own` sends a digest in this round: all of them, or
    /// [`PEERS_PER_ROUND_MAX`] of them in turn. Silent peers are left out of most rounds.
    pub fn digest_targets(
        &self,
        now: Duration,
        own: &InstanceName,
        round: u64,
    ) -> Vec<DigestTarget> {
        let mut ranked = Vec::new();
        for (name, peer) in &self.by_name {
            if peer.is_silent(now) && !round.is_multiple_of(SILENT_ROUNDS) {
                continue;
            }
            let echoed = peer.last_digest.map(|(_, sent)| sent);
            ranked.push((name_hash(name), (peer.address, echoed)));
        }
        if ranked.len() > PEERS_PER_ROUND_MAX {
            // The order by hash and a first peer that differs between senders spread the digests
            // that a peer receives evenly over rounds and data centres, even if all instances
            // started at the same time.
            ranked.sort_unstable();
            let first = (name_hash(own) as usize)
                .wrapping_add((round as usize).wrapping_mul(PEERS_PER_ROUND_MAX))
                % ranked.len();
            ranked.rotate_left(first);
            ranked.truncate(PEERS_PER_ROUND_MAX);
        }
        ranked.into_iter().map(|(_, target)| target).collect()
    }

    /// Returns true if the instance `own` collects the usage of its data centre.
    pub fn is_collector(
        &self,
        now: Duration,
        own: &InstanceName,
        data_centre: &DataCentreName,
    ) -> bool {
        let own_rank = name_hash(own);
        let ranked = self.live_ranked(now, data_centre);
        ranked.iter().filter(|(rank, _)| *rank < own_rank).count() < READER_COUNT
    }

    /// Returns the instances, other than `own`, to which it sends a digest in every round for the
    /// sake of usage: those that collect it in its data centre; those of all data centres, if it is
    /// one of them or holds the duties (`is_holder`); and the holder, if it is one of them.
    pub fn collectors(
        &self,
        now: Duration,
        own: &InstanceName,
        data_centre: &DataCentreName,
        is_holder: bool,
    ) -> Vec<DigestTarget> {
        let is_collector = self.is_collector(now, own, data_centre);
        let mut centres: Vec<&DataCentreName> = vec![data_centre];
        if is_collector || is_holder {
            centres.extend(self.by_name.values().map(|peer| &peer.data_centre));
            centres.sort_unstable();
            centres.dedup();
        }
        let mut addresses: Vec<SocketAddr> = Vec::new();
        for centre in centres {
            let own_share = usize::from(is_collector && centre == data_centre);
            let ranked = self.live_ranked(now, centre);
            let chosen = ranked.iter().take(READER_COUNT - own_share);
            addresses.extend(chosen.map(|(_, address)| *address));
        }
        if is_collector {
            let holders = self.by_name.values().filter(|peer| peer.holds_duties);
            addresses.extend(holders.map(|peer| peer.address));
            addresses.sort_unstable();
            addresses.dedup();
        }
        let echo_of = |address: &SocketAddr| {
            let mut peers = self.by_name.values();
            let peer = peers.find(|peer| peer.address == *address)?;
            peer.last_digest.map(|(_, sent)| sent)
        };
        let targets = addresses.iter();
        targets
            .map(|address| (*address, echo_of(address)))
            .collect()
    }

    /// Returns the peers of a data centre that are not silent, to which a collector sends its sums.
    pub fn centre_targets(
        &self,
        now: Duration,
        data_centre: &DataCentreName,
    ) -> Vec<(InstanceName, DigestTarget)> {
        let of_centre = self.of_centre(data_centre);
        let active = of_centre.filter(|(_, peer)| !peer.is_silent(now));
        let target = |peer: &Peer| (peer.address, peer.last_digest.map(|(_, sent)| sent));
        active
            .map(|(name, peer)| (name.clone(), target(peer)))
            .collect()
    }

    /// Returns the names of all known peers of a data centre.
    pub fn names_in(&self, data_centre: &DataCentreName) -> impl Iterator<Item = &InstanceName> {
        self.of_centre(data_centre).map(|(name, _)| name)
    }

    /// Returns the data centres with live peers.
    pub fn live_centres(&self, now: Duration) -> Vec<DataCentreName> {
        let live = self.by_name.values().filter(|peer| peer.is_live(now));
        let mut centres: Vec<DataCentreName> = live.map(|peer| peer.data_centre.clone()).collect();
        centres.sort_unstable();
        centres.dedup();
        centres
    }

    fn of_centre(
        &self,
        data_centre: &DataCentreName,
    ) -> impl Iterator<Item = (&InstanceName, &Peer)> {
        let peers = self.by_name.iter();
        peers.filter(move |(_, peer)| peer.data_centre == *data_centre)
    }

    /// Returns the time between two digests that this instance sends to the same peer.
    pub fn digest_interval(&self) -> Duration {
        let rounds = self.by_name.len().div_ceil(PEERS_PER_ROUND_MAX).max(1);
        DIGEST_INTERVAL * rounds as u32
    }

    /// Returns true if digests take so long to reach all instances that the sums of data centres are
    /// used.
    pub fn uses_sums(&self) -> bool {
        self.by_name.len() > SUM_PEERS_MIN
    }

    /// Returns true if every instance sends all others a digest in each round.
    pub fn sends_to_all(&self) -> bool {
        self.by_name.len() <= PEERS_PER_ROUND_MAX
    }

    /// Returns the hashes of the names of the peers that are not silent.
    pub fn active_hashes(&self, now: Duration) -> Vec<u64> {
        let active = self.by_name.iter().filter(|(_, peer)| !peer.is_silent(now));
        active.map(|(name, _)| name_hash(name)).collect()
    }

    /// Returns the number of known peers, including silent ones and excluding this instance.
    pub fn known_count(&self) -> usize {
        self.by_name.len()
    }

    /// Returns the peers of a data centre from which an instance may read topics instead of the
    /// log, best first; none if it must read the log itself.
    pub fn readers(
        &self,
        now: Duration,
        own: &InstanceName,
        data_centre: &DataCentreName,
    ) -> SmallVec<[SocketAddr; READER_COUNT]> {
        let ranked = self.live_ranked(now, data_centre);
        let own_rank = name_hash(own);
        let before = ranked.iter().filter(|(rank, _)| *rank < own_rank).count();
        if ranked.len() < DIRECT_READ_MAX || before < READER_COUNT {
            return SmallVec::new();
        }
        let mut readers: SmallVec<[SocketAddr; READER_COUNT]> = ranked[..READER_COUNT]
            .iter()
            .map(|(_, address)| *address)
            .collect();
        // Spreads the other instances evenly over the readers.
        readers.rotate_left(own_rank as usize % READER_COUNT);
        readers
    }

    /// Returns up to `READER_COUNT` live peers of a data centre that may have the log's contents.
    /// An instance that cannot reach the log reads from them.
    pub fn fallback_readers(
        &self,
        now: Duration,
        data_centre: &DataCentreName,
    ) -> SmallVec<[SocketAddr; READER_COUNT]> {
        let ranked = self.live_ranked(now, data_centre);
        let chosen = ranked.iter().take(READER_COUNT);
        chosen.map(|(_, address)| *address).collect()
    }

    /// Returns the addresses of up to two live peers of a data centre, which vary with `round`. The
    /// data centre is reachable if a connection to one of them can be opened.
    pub fn probe_addresses(
        &self,
        now: Duration,
        data_centre: &DataCentreName,
        round: usize,
    ) -> SmallVec<[SocketAddr; 2]> {
        let live = self.live_ranked(now, data_centre);
        let chosen = live.iter().cycle().skip(round % live.len().max(1));
        chosen
            .take(live.len().min(2))
            .map(|(_, address)| *address)
            .collect()
    }

    fn live_ranked(&self, now: Duration, data_centre: &DataCentreName) -> Vec<(u64, SocketAddr)> {
        let mut ranked = Vec::new();
        for (name, peer) in &self.by_name {
            if peer.is_live(now) && peer.data_centre == *data_centre {
                ranked.push((name_hash(name), peer.address));
            }
        }
        ranked.sort_unstable();
        ranked
    }
}

/// Hashes the name of an instance, for orders on which all instances agree without messages.
pub(crate) fn name_hash(name: &InstanceName) -> u64 {
    xxh3_64(name.as_bytes())
}
