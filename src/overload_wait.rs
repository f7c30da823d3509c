//! What the [`Fleet`] of one instance knows of the waits at a service's servers, from which the
//! admission of a call is decided.

use super::*;

/// Longest wait beyond a call's own prefill at a server that counts as idle. Decode steps and the
/// calls that run there add tens of milliseconds to the wait at a server without a queue.
pub const IDLE_WAIT_MAX: Duration = Duration::from_millis(100);

impl Fleet {
    /// Returns the shortest wait for a call at the servers that are idle; `None` if none is.
    pub fn idle_wait(&self, now: Duration, query: &PlacementQuery<'_>) -> Option<Duration> {
        let prompt = query.prompt?;
        let prefixes = prompt.prefixes();
        let healthy_only = self.has_healthy_server(now, query);
        let affinity = self.prefix_affinity(now, query, &prefixes, healthy_only);
        let tokens_per_ms = self.prefill_estimate(query.service).tokens_per_ms;
        let mut shortest_ms: Option<f64> = None;
        for server in self.servers.values() {
            if !self.is_eligible(server, now, query, healthy_only) {
                continue;
            }
            let wait_ms = self.cost_ms(now, server, query, &prefixes, &affinity);
            let own_ms = server.tokens_to_prefill(prompt, &prefixes, &affinity) / tokens_per_ms;
            if wait_ms - own_ms < IDLE_WAIT_MAX.as_secs_f64() * 1_000.0 {
                shortest_ms = Some(shortest_ms.map_or(wait_ms, |known| known.min(wait_ms)));
            }
        }
        shortest_ms.map(|wait_ms| Duration::from_secs_f64(wait_ms / 1_000.0))
    }

    /// Returns the time that an engine of the service needs for an answer to begin in addition to
    /// the prefill; `None` before there is an estimate of how fast its engines are.
    pub fn answer_time(&self, service: &ServiceName) -> Option<Duration> {
        let estimate = self.prefill_estimates.get(service)?;
        Some(Duration::from_secs_f64(estimate.fixed_ms / 1_000.0))
    }

    /// Returns the prompt tokens that the server of an estimate has to prefill for a call.
    pub fn tokens_at(&self, query: &PlacementQuery<'_>, estimate: &PlacementEstimate) -> f64 {
        match (query.prompt, self.servers.get(&estimate.server)) {
            (Some(prompt), Some(server)) => {
                server.tokens_to_prefill(prompt, &estimate.prefixes, &estimate.affinity)
            }
            (None, _) | (_, None) => 0.0,
        }
    }

    /// Returns the prompt tokens per second that the healthy servers of a service prefill together.
    pub fn prefill_capacity(&self, now: Duration, service: &ServiceName) -> f64 {
        let servers = self.servers.values();
        let usable = servers.filter(|server| {
            server.record.service == *service
                && !server.is_leaving()
                && self.is_healthy(server, now)
        });
        usable.count() as f64 * self.prefill_estimate(service).tokens_per_ms * 1_000.0
    }

    /// Returns the part of the demand for a service that this instance receives.
    pub fn own_part(&self, now: Duration, service: &ServiceName) -> f64 {
        let own = self.prefill_rates.get(service);
        let own = own.map_or(0.0, |rate| rate.at(now));
        let peers = self.peer_work.values();
        let of_service = peers.filter_map(|(_, work)| work.get(service));
        let of_peers: f64 = of_service.map(|work| work.prefill_tokens_per_s).sum();
        match own > 0.0 {
            true => own / (own + of_peers),
            false => 1.0 / (self.peer_hashes.len() + 1) as f64,
        }
    }

    /// Returns the calls for each slot of the server, among those that can take the call, that has
    /// the fewest; 0 if there is no server.
    pub fn fewest_calls_per_slot(&self, now: Duration, query: &PlacementQuery<'_>) -> f64 {
        let healthy_only = self.has_healthy_server(now, query);
        let servers = self.servers.values();
        let eligible = servers.filter(|server| self.is_eligible(server, now, query, healthy_only));
        let fewest = eligible
            .map(|server| server.calls_per_slot())
            .min_by(f64::total_cmp);
        fewest.unwrap_or(0.0)
    }

    /// Returns the age of the oldest report of a peer's load on a server; zero if there is none.
    pub fn load_age(&self, now: Duration, id: &str) -> Duration {
        let reports = self.servers.get(id).into_iter();
        let reports = reports.flat_map(|server| &server.peer_loads);
        let oldest = reports.map(|(_, received_at, _)| *received_at).min();
        oldest.map_or(Duration::ZERO, |oldest| now.saturating_sub(oldest))
    }
}
