//! The other instances, and which of them read the log for a data centre.
//!
//! Reads of the log are priced, and most tell every instance of a data centre the same. So in all
//! but small data centres a few instances read it, the first by a hash of their names, and the
//! others ask those. All agree without messages; whoever cannot ask reads the log itself.

use super::*;

use prost::Message;

/// Instances of a data centre that read the log themselves: one may be lost.
const READERS: usize = 2;

/// Instances of a data centre up to which all read the log: the few reads saved are not worth a
/// second hop.
const DIRECT_MAX: usize = 4;

/// Peers that are silent for longer are not asked: several rounds of digests in large deployments.
const LIVE_TTL: Duration = Duration::from_secs(8);

/// A peer.
#[derive(Debug)]
pub struct Peer {
    /// Address for digests and requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// When it was last heard, and the time of sending that it told.
    pub heard: Option<(Duration, Duration)>,
}

/// All peers.
#[derive(Debug, Default)]
pub struct Peers {
    by_name: BTreeMap<InstanceName, Peer>,
}

impl Peers {
    /// Takes a record of the instances' topic.
    pub fn take_record(&mut self, record: &KeyedRecord, own: &InstanceName) {
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
                    heard: None,
                };
                self.by_name.insert(record.key.clone(), peer);
            }
            None => {
                info!("peer instance={} left", record.key);
                self.by_name.remove(&record.key);
            }
        }
    }

    /// Records that a peer was heard, and the time of sending that it told; a peer that the log
    /// does not know yet is entered.
    pub fn hear(
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
            heard: None,
        });
        peer.heard = Some((now, sent));
    }

    /// All peers by name.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceName, &Peer)> {
        self.by_name.iter()
    }

    /// Peers that the log knows.
    pub fn known_count(&self) -> usize {
        self.by_name.len()
    }

    /// Peers of a data centre that an instance may read topics at instead of the log, best first;
    /// none if it is to read the log itself.
    pub fn readers(
        &self,
        now: Duration,
        own: &InstanceName,
        data_centre: &DataCentreName,
    ) -> SmallVec<[SocketAddr; READERS]> {
        let ranked = self.live_ranked(now, data_centre);
        let own_rank = rank_of(own);
        let before = ranked.iter().filter(|(rank, _)| *rank < own_rank).count();
        if ranked.len() < DIRECT_MAX || before < READERS {
            return SmallVec::new();
        }
        let mut readers: SmallVec<[SocketAddr; READERS]> = ranked[..READERS]
            .iter()
            .map(|(_, address)| *address)
            .collect();
        // Each reader serves its part of the others.
        readers.rotate_left(own_rank as usize % READERS);
        readers
    }

    /// Peers of a data centre that may know what the log tells, for an instance that cannot reach
    /// it.
    pub fn neighbours(
        &self,
        now: Duration,
        data_centre: &DataCentreName,
    ) -> SmallVec<[SocketAddr; READERS]> {
        let ranked = self.live_ranked(now, data_centre);
        let nearest = ranked.iter().take(READERS);
        nearest.map(|(_, address)| *address).collect()
    }

    fn live_ranked(&self, now: Duration, data_centre: &DataCentreName) -> Vec<(u64, SocketAddr)> {
        let mut ranked = Vec::new();
        for (name, peer) in &self.by_name {
            let is_live = peer
                .heard
                .is_some_and(|(heard_at, _)| now.saturating_sub(heard_at) < LIVE_TTL);
            if is_live && peer.data_centre == *data_centre {
                ranked.push((rank_of(name), peer.address));
            }
        }
        ranked.sort_unstable();
        ranked
    }
}

fn rank_of(name: &InstanceName) -> u64 {
    xxh3_64(name.as_bytes())
}
