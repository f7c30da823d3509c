//! Queues at the engines (model servers) of services whose routes have different priorities, as the
//! [`Fleet`] of one instance estimates them. Other services' servers are chosen without them.

use super::*;

/// Interval at which the utilization of a service is computed anew.
const UTILIZATION_INTERVAL: Duration = Duration::from_millis(100);

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
    /// Tokens that an engine prefills in a millisecond beyond those that it is sent.
    free_per_ms: f64,
    now: Duration,
    tokens_per_ms: f64,
}

impl QueueView {
    /// Returns the time until a server has prefilled what is queued there in the class of the call
    /// and the more urgent ones.
    pub(crate) fn delay_ms(&self, server: &FleetServer) -> f64 {
        let tokens = server.queue.tokens(self.now, self.class, self.free_per_ms);
        tokens / self.tokens_per_ms
    }
}

impl Fleet {
    /// Removes the prompt of an attempt from the queue of its server; called when the head of the
    /// answer arrives, and when the attempt ends. Has no effect the second time.
    pub fn leave_queue(&mut self, placed: &PlacedAttempt) {
        if let Some(ticket) = placed.queue_ticket
            && let Some(server) = self.servers.get_mut(&placed.server)
        {
            server.queue.remove(ticket);
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
        self.update_utilization(now, &service);
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

    /// Computes the utilization of a service, unless that was done shortly before.
    pub(crate) fn update_utilization(&mut self, now: Duration, service: &ServiceName) {
        let known = self.utilizations.get(service);
        if known.is_some_and(|known| now.saturating_sub(known.at) < UTILIZATION_INTERVAL) {
            return;
        }
        let (mut busy, mut servers) = (0_u32, 0_u32);
        for server in self.servers.values() {
            if server.record.service == *service && !server.is_leaving() {
                servers += 1;
                busy += u32::from(!server.queue.is_empty());
            }
        }
        let value = f64::from(busy) / f64::from(servers.max(1));
        let utilization = Utilization { at: now, value };
        self.utilizations.insert(service.clone(), utilization);
    }
}
