//! Queues at the engines (model servers) of services whose routes have different priorities, as the
//! [`Fleet`] of one instance estimates them. Other services' servers are chosen without them.

use super::*;

/// Interval at which the utilization of a service and the speeds of its servers are estimated anew.
const ENGINES_INTERVAL: Duration = Duration::from_millis(100);

/// Fewest servers, chosen at random, that are compared for a call. An instance knows the calls that the
/// others sent within the last second only in part: if all of them compared all servers, they would
/// choose the same few that seemed idle. With four servers instead of two, fewer calls stay where
/// their shared parts are cached (0.73 instead of 0.80 of them, with 76 instances).
const CHOICES_MIN: usize = 2;

/// Wait beyond twice the mean of the service from which a server gets no call while another has a
/// shorter one.
const WAIT_BOUND_MS: f64 = 100.0;

/// Distinguishes the hashes that choose other servers from those that choose preferred ones.
const SPREAD_SEED: u64 = 0x5eed;

/// Servers that fit without an allocation.
const CANDIDATES: usize = 128;

/// Servers among which one is chosen for a call, in the order of their names.
pub(crate) type Candidates<'a> = SmallVec<[&'a FleetServer; CANDIDATES]>;

/// Utilization of a service's engines: the fraction of them for which unanswered prompts are known.
/// The prompts sent in a second would show it too, but their average follows a burst seconds late.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Utilization {
    at: Duration,
    value: f64,
}

/// What one call has to know of a service to estimate its queueing delay at any of the servers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QueueView {
    class: QueueClass,
    /// Tokens that an engine of mean speed prefills in a millisecond beyond those that it is sent.
    free_per_ms: f64,
    now: Duration,
    tokens_per_ms: f64,
}

impl QueueView {
    /// Returns the time until a server has prefilled what is queued there in the class of the call
    /// and the more urgent ones.
    pub(crate) fn delay_ms(&self, server: &FleetServer) -> f64 {
        let free_per_ms = self.free_per_ms * server.speed.speed();
        let tokens = server.queue.tokens(self.now, self.class, free_per_ms);
        self.prefill_ms(server, tokens)
    }

    /// Returns the time that a server takes to prefill prompt tokens.
    pub(crate) fn prefill_ms(&self, server: &FleetServer, tokens: f64) -> f64 {
        tokens / (self.tokens_per_ms * server.speed.speed())
    }
}

/// Returns `count` different numbers below `len`, or some fewer, that depend on `seed`.
fn choose_indexes(seed: u64, count: usize, len: usize) -> SmallVec<[usize; 8]> {
    let hash = xxh3_64(&seed.to_le_bytes());
    let first = (hash >> 32) as usize % len;
    let stride = 1 + (hash as u32) as usize % (len - 1).max(1);
    let chosen = (0..count).map(|number| (first + number * stride) % len);
    chosen.collect()
}

impl Fleet {
    /// Returns the servers of which the one with the lowest cost gets the call. For a call in a queue
    /// they are those that may have its shared parts cached and a few others, which differ between
    /// calls, as long as their waits are within the bound.
    pub(crate) fn candidates(
        &self,
        now: Duration,
        query: &PlacementQuery<'_>,
        prefixes: &PrefixHashes,
        affinity: &PrefixAffinity,
        healthy_only: bool,
    ) -> Candidates<'_> {
        let servers = self.servers.values();
        let eligible = servers.filter(|server| self.is_eligible(server, now, query, healthy_only));
        let mut eligible: Candidates<'_> = eligible.collect();
        let (Some(class), Some(prompt)) = (query.queue_class, query.prompt) else {
            return eligible;
        };
        let view = self.queue_view(now, query.service, class);
        let delays: SmallVec<[f64; CANDIDATES]> = eligible
            .iter()
            .map(|server| view.delay_ms(server))
            .collect();
        let mean_ms = delays.iter().sum::<f64>() / delays.len().max(1) as f64;
        let bound_ms = mean_ms * 2.0 + WAIT_BOUND_MS;
        let mut index = 0;
        eligible.retain(|_| {
            index += 1;
            delays[index - 1] <= bound_ms
        });
        let instances = self.peer_load_servers.len() + 1;
        let choices = CHOICES_MIN.max(eligible.len() / instances);
        if choices >= eligible.len() {
            return eligible;
        }
        let seed = prefixes.last().copied().unwrap_or_default() ^ SPREAD_SEED;
        let chosen = choose_indexes(seed, choices, eligible.len());
        let shared = prompt.shared_count().checked_sub(1);
        let shared = shared.and_then(|last| prefixes.get(last));
        let mut index = 0;
        eligible.retain(|server| {
            index += 1;
            chosen.contains(&(index - 1))
                || affinity.names(&server.record.id)
                || shared.is_some_and(|hash| server.prefixes.contains(*hash))
        });
        eligible
    }

    /// Removes the prompt of an attempt from the queue of its server; called when the head of the
    /// answer arrives, and when the attempt ends. Has no effect the second time.
    pub fn leave_queue(&mut self, placed: &PlacedAttempt) {
        if let Some(ticket) = placed.queue_ticket
            && let Some(server) = self.servers.get_mut(&placed.server)
        {
            server.queue.remove(ticket);
        }
    }

    /// Records that a server began a successful answer `elapsed` after the call was sent.
    pub fn observe_speed(&mut self, now: Duration, placed: &PlacedAttempt, elapsed: Duration) {
        if placed.queue_ticket.is_none() {
            return;
        }
        let server = self.servers.get(&placed.server);
        let Some(server) = server.filter(|server| server.record.address == placed.address) else {
            return;
        };
        let fixed_ms = self.prefill_estimate(&server.record.service).fixed_ms;
        let measured = elapsed.saturating_sub(Duration::from_secs_f64(fixed_ms / 1_000.0));
        if let Some(server) = self.servers.get_mut(&placed.server) {
            let expected = placed.prefill_at_mean_speed;
            server.speed.observe(now, expected, measured);
        }
    }

    /// Estimates the time until a server has prefilled the prompts of all instances that are queued
    /// there with `class` or a more urgent one; `None` if it is not registered.
    pub fn queueing_delay(
        &mut self,
        now: Duration,
        id: &str,
        class: QueueClass,
    ) -> Option<Duration> {
        let service = self.servers.get(id)?.record.service.clone();
        self.update_engines(now, &service);
        let view = self.queue_view(now, &service, class);
        let server = self.servers.get(id)?;
        Some(Duration::from_secs_f64(view.delay_ms(server) / 1_000.0))
    }

    pub(crate) fn next_queue_ticket(&mut self) -> QueueTicket {
        self.queue_tickets += 1;
        self.queue_tickets
    }

    pub(crate) fn queue_view(
        &self,
        now: Duration,
        service: &ServiceName,
        class: QueueClass,
    ) -> QueueView {
        let tokens_per_ms = self.prefill_estimate(service).tokens_per_ms;
        let utilization = self.busy_fraction(service);
        QueueView {
            class,
            free_per_ms: tokens_per_ms * (1.0 - utilization).max(0.0),
            now,
            tokens_per_ms,
        }
    }

    /// Returns the fraction of a service's engines for which unanswered prompts are known, as last
    /// computed.
    pub(crate) fn busy_fraction(&self, service: &ServiceName) -> f64 {
        let utilization = self.utilizations.get(service);
        utilization.map_or(0.0, |known| known.value)
    }

    /// Estimates the utilization of a service and the speeds of its servers, unless that was done
    /// shortly before.
    pub(crate) fn update_engines(&mut self, now: Duration, service: &ServiceName) {
        let known = self.utilizations.get(service);
        if known.is_some_and(|known| now.saturating_sub(known.at) < ENGINES_INTERVAL) {
            return;
        }
        let mut sums_by_server: SmallVec<[SpeedSums; CANDIDATES]> = SmallVec::new();
        let mut sums = SpeedSums::default();
        let mut busy = 0;
        for server in self.servers.values() {
            if server.record.service == *service && !server.is_leaving() {
                let of_server = server.speed.sums(now);
                sums = sums.plus(of_server);
                sums_by_server.push(of_server);
                busy += usize::from(!server.queue.is_empty());
            }
        }
        let mean = sums.ratio();
        let mut of_servers = sums_by_server.iter();
        for server in self.servers.values_mut() {
            if server.record.service == *service
                && !server.is_leaving()
                && let Some(sums) = of_servers.next()
            {
                server.speed.update(*sums, mean);
            }
        }
        let value = busy as f64 / sums_by_server.len().max(1) as f64;
        let utilization = Utilization { at: now, value };
        self.utilizations.insert(service.clone(), utilization);
    }
}
