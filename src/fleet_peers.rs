//! What instances tell each other of the servers that they use: the load that each puts on a server,
//! its demand of a service, and its estimate of how fast the service's engines are.

use super::*;

/// Number of digests of a peer that may be lost before its report expires.
const PEER_LOAD_DIGESTS: u32 = 2;

/// Interval at which expired reports of peers are removed.
const PEER_LOADS_EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Largest part that the shared parts of a prompt may be of the rest if its answer is a sample of the
/// prefill rate although it is not known whether they were cached; half of it is the error.
const SMALL_SHARED_FRACTION: f64 = 0.35;

/// Interval at which the estimates of all instances are combined.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(500);

impl Fleet {
    /// Replaces the loads that a peer puts on all servers by those of its latest digest (the state
    /// that instances send each other); servers missing from `loads` have none.
    pub fn update_peer_loads(
        &mut self,
        now: Duration,
        peer: &InstanceName,
        loads: &HashMap<ServerName, ServerLoad>,
    ) {
        self.remove_peer_loads(now, peer);
        let mut servers = Vec::with_capacity(loads.len());
        for (id, load) in loads {
            if let Some(server) = self.servers.get_mut(id) {
                server.peer_loads.push((peer.clone(), now, *load));
                server.peer_running = server.peer_running.saturating_add(load.running);
                server.queue.add_report(now, load.queued_tokens);
                server.speed.add_report(now, load.speed);
                servers.push(id.clone());
            }
        }
        self.peer_load_servers.insert(peer.clone(), (now, servers));
        if now.saturating_sub(self.peer_loads_expired_at) >= PEER_LOADS_EXPIRY_INTERVAL {
            self.peer_loads_expired_at = now;
            self.expire_peer_loads(now);
        }
    }

    /// Replaces the loads and the demand of all instances of a data centre, except this one, by a
    /// sum whose inputs were stated at `inputs_at` on average. It is kept among the reports of the
    /// peers, and replaces them once they are removed.
    pub(crate) fn update_centre_sum(&mut self, inputs_at: Duration, sum: &RoomSum) {
        let reporter = centre_reporter(&sum.data_centre);
        let mut loads = HashMap::with_capacity(sum.loads.len());
        for id in self.servers.keys() {
            if let Some(load) = sum.loads.get(&server_hash(id)) {
                loads.insert(id.clone(), *load);
            }
        }
        self.update_peer_loads(inputs_at, &reporter, &loads);
        let work = sum.work.iter();
        let work = work.map(|(service, work)| (service.clone(), *work));
        self.update_peer_work(inputs_at, &reporter, work.collect());
    }

    /// Removes the sum of a data centre.
    pub(crate) fn remove_centre_sum(&mut self, now: Duration, data_centre: &DataCentreName) {
        self.remove_peer(now, &centre_reporter(data_centre));
    }

    /// Removes what a peer reported, as its data centre's sum includes it.
    pub(crate) fn remove_peer(&mut self, now: Duration, peer: &InstanceName) {
        self.remove_peer_loads(now, peer);
        self.peer_work.remove(peer);
    }

    fn remove_peer_loads(&mut self, now: Duration, peer: &InstanceName) {
        let Some((_, servers)) = self.peer_load_servers.remove(peer) else {
            return;
        };
        for id in servers {
            if let Some(server) = self.servers.get_mut(&id) {
                let (queue, speed) = (&mut server.queue, &mut server.speed);
                let running = &mut server.peer_running;
                server.peer_loads.retain(|(instance, at, load)| {
                    if instance == peer {
                        *running = running.saturating_sub(load.running);
                        queue.remove_report(*at, load.queued_tokens);
                        speed.remove_report(now, *at, load.speed);
                    }
                    instance != peer
                });
            }
        }
    }

    fn expire_peer_loads(&mut self, now: Duration) {
        let reports = self.peer_load_servers.iter();
        let expired: Vec<InstanceName> = reports
            .filter(|(_, (at, _))| now.saturating_sub(*at) >= self.peer_load_ttl)
            .map(|(peer, _)| peer.clone())
            .collect();
        for peer in &expired {
            self.remove_peer_loads(now, peer);
        }
    }

    /// Sets the time between two digests of a peer, from which it follows when its reports expire.
    pub fn set_digest_interval(&mut self, interval: Duration) {
        self.peer_load_ttl = PEER_LOAD_TTL_MIN.max(interval * PEER_LOAD_DIGESTS);
    }

    /// Returns what this instance sends to each service, averaged over the last few seconds, and its
    /// own estimate of the service's engines; reported to the peers.
    pub fn work(&mut self, now: Duration) -> HashMap<ServiceName, ServiceWork> {
        let mut work = HashMap::new();
        for (service, rate) in &mut self.prefill_rates {
            let samples = self.prefill_samples.get(service);
            let of_service = ServiceWork {
                estimate: samples.and_then(PrefillRate::estimate),
                prefill_tokens_per_s: rate.at(now),
            };
            work.insert(service.clone(), of_service);
        }
        work
    }

    /// Adds the time until a call's answer began (`elapsed`) to the samples from which the prefill
    /// rate is estimated, if it is known how many tokens were prefilled. That is so if the call ran
    /// on a warm preferred server: the one that its prompt's shared parts are sent to, once this
    /// instance has sent them there. Other servers may have cached parts that other instances sent,
    /// unknown to this one; a server that has only just become the preferred one may not have cached
    /// the parts that are estimated to be there. It is also so, within a sixth, if the shared parts
    /// are a small part of the prompt: with many instances, each sends most shared parts too rarely
    /// to know what is cached.
    pub fn observe_first_event(
        &mut self,
        now: Duration,
        service: &ServiceName,
        prompt: &Prompt,
        placed: &PlacedAttempt,
        elapsed: Duration,
    ) {
        let shared = prompt.tokens_in(prompt.shared_count());
        let own = prompt.tokens.saturating_sub(shared);
        let uncached = match placed.is_warm_preferred {
            true => prompt.tokens.saturating_sub(placed.cached_tokens),
            false if f64::from(shared) <= f64::from(own) * SMALL_SHARED_FRACTION => {
                own + shared / 2
            }
            false => return,
        };
        let samples = self.prefill_samples.entry(service.clone()).or_default();
        samples.observe(uncached, placed.backlog, elapsed);
        self.update_prefill_estimates(now);
    }

    /// Takes the median of the estimates of this instance and its peers, each of which sees only a
    /// few calls in a large deployment.
    fn update_prefill_estimates(&mut self, now: Duration) {
        if now.saturating_sub(self.prefill_estimated_at) < ESTIMATE_INTERVAL {
            return;
        }
        self.prefill_estimated_at = now;
        let mut estimates: HashMap<&ServiceName, Vec<PrefillEstimate>> = HashMap::new();
        for (service, samples) in &self.prefill_samples {
            let of_service = estimates.entry(service).or_default();
            of_service.extend(samples.estimate());
        }
        for (_, work) in self.peer_work.values() {
            for (service, work) in work {
                let of_service = estimates.entry(service).or_default();
                of_service.extend(work.estimate);
            }
        }
        for (service, mut estimates) in estimates {
            if let Some(median) = PrefillEstimate::median(&mut estimates) {
                self.prefill_estimates.insert(service.clone(), median);
            }
        }
    }

    /// Returns the estimate of one engine (model server) of a service; a default before there are
    /// enough samples.
    pub(crate) fn prefill_estimate(&self, service: &ServiceName) -> PrefillEstimate {
        let estimate = self.prefill_estimates.get(service).copied();
        estimate.unwrap_or_default()
    }

    /// Replaces what a peer sends to each service by that of its latest digest.
    pub fn update_peer_work(
        &mut self,
        now: Duration,
        peer: &InstanceName,
        work: HashMap<ServiceName, ServiceWork>,
    ) {
        self.peer_work.insert(peer.clone(), (now, work));
        let ttl = self.peer_load_ttl;
        self.peer_work
            .retain(|_, (received_at, _)| now.saturating_sub(*received_at) < ttl);
        self.update_prefill_estimates(now);
    }
}

/// Returns the name under which the sum of a data centre is kept among the reports of the peers; the
/// line break keeps it apart from names of instances.
fn centre_reporter(data_centre: &DataCentreName) -> InstanceName {
    format!("sum\n{data_centre}").into()
}
