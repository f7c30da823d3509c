//! Choice of the server of a call among a few candidates, for services whose routes have different
//! priorities.
//!
//! The load pattern that this is designed for: tens to hundreds of instances choose at once, each
//! with loads of its peers that are up to seconds old. If all took the server that seems to have the
//! shortest queue, they would all take the same one until the next report. And a call that leaves the
//! server that has its shared parts costs a second prefill of them, so that a burst that the engines
//! could just handle would become one that they cannot.
//!
//! A call is therefore placed on one of the few servers with the highest rendezvous hashes of its
//! shared parts, on which all instances agree, so that the calls of a popular part stay at these. It
//! goes to another server only if all of these have queues and that one has none; which of the idle
//! servers it is depends on the call's own part, so that the calls of all instances spread over them.

use super::*;

/// Number of servers among which the calls with the same shared parts are divided.
const CANDIDATES: usize = 3;

/// Largest fraction of busy engines that is assumed when the cost of a second prefill is weighed.
const BUSY_MAX: f64 = 0.8;

/// Server that a call may be placed on.
#[derive(Debug, Clone)]
struct Candidate<'a> {
    /// Expected time until the answer begins and the cost for other calls.
    cost_ms: f64,
    server: &'a FleetServer,
    wait_ms: f64,
}

/// Candidates with the highest rendezvous hashes, highest first.
type Ranked<'a> = SmallVec<[(f64, &'a FleetServer); CANDIDATES + 1]>;

impl Fleet {
    /// Chooses the server of a call of a service whose routes have different priorities. Returns its
    /// name with the expected time until the answer begins, in milliseconds; `None` if no server is
    /// eligible.
    pub(crate) fn choose_candidate(
        &self,
        now: Duration,
        query: &PlacementQuery<'_>,
        prompt: &Prompt,
        prefixes: &PrefixHashes,
        affinity: &PrefixAffinity,
        healthy_only: bool,
    ) -> Option<(f64, ServerName)> {
        let own_hash = prefixes.last().copied().unwrap_or_default();
        let shared_hash = prompt
            .shared_count()
            .checked_sub(1)
            .and_then(|last| prefixes.get(last).copied());
        let mut ranked = Ranked::new();
        let mut idle: Option<(u64, &FleetServer)> = None;
        for server in self.servers.values() {
            if !self.is_eligible(server, now, query, healthy_only) {
                continue;
            }
            // Prompts without shared parts need no agreement between instances.
            let Some(shared_hash) = shared_hash else {
                break;
            };
            let id = server.record.id.as_bytes();
            let hash = xxh3_64_with_seed(id, shared_hash);
            insert_ranked(&mut ranked, server.speed.rendezvous_score(hash), server);
            if !server.queue.is_empty() || server.running() >= server.record.slots {
                continue;
            }
            let rank = xxh3_64_with_seed(id, own_hash);
            if idle.is_none_or(|(highest, _)| rank > highest) {
                idle = Some((rank, server));
            }
        }
        let mut best: Option<Candidate<'_>> = None;
        let idle = idle.map(|(_, server)| server);
        let others = self.candidates(now, query, prefixes, affinity, healthy_only);
        let candidates = ranked.iter().map(|(_, server)| *server);
        for server in candidates.chain(idle).chain(others) {
            let candidate = self.weigh_candidate(now, server, query, prompt, prefixes, affinity);
            if best
                .as_ref()
                .is_none_or(|known| candidate.cost_ms < known.cost_ms)
            {
                best = Some(candidate);
            }
        }
        best.map(|best| (best.wait_ms, best.server.record.id.clone()))
    }

    /// Adds to the expected wait what a second prefill of shared parts costs other calls: the time
    /// that it takes, multiplied by the number of calls that wait behind it on average.
    fn weigh_candidate<'a>(
        &self,
        now: Duration,
        server: &'a FleetServer,
        query: &PlacementQuery<'_>,
        prompt: &Prompt,
        prefixes: &PrefixHashes,
        affinity: &PrefixAffinity,
    ) -> Candidate<'a> {
        let wait_ms = self.cost_ms(now, server, query, prefixes, affinity);
        let mut cost_ms = wait_ms;
        if !affinity.is_preferred(&server.record.id) {
            let shared = f64::from(prompt.tokens_in(prompt.shared_count()));
            let own = (f64::from(prompt.tokens) - shared).max(0.0);
            let tokens = server.tokens_to_prefill(prompt, prefixes, affinity);
            let again_ms =
                (tokens - own).max(0.0) / self.prefill_estimate(query.service).tokens_per_ms;
            let busy = self.busy_fraction(query.service).min(BUSY_MAX);
            cost_ms += again_ms * busy / (1.0 - busy);
        }
        Candidate {
            cost_ms,
            server,
            wait_ms,
        }
    }
}

fn insert_ranked<'a>(ranked: &mut Ranked<'a>, rank: f64, server: &'a FleetServer) {
    let position = ranked.partition_point(|(known, _)| *known > rank);
    if position >= CANDIDATES {
        return;
    }
    ranked.insert(position, (rank, server));
    ranked.truncate(CANDIDATES);
}
