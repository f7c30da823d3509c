//! Duties that only one instance performs at a time, under a lease: reporting usage and ordering
//! capacity. The lease is the right to act for a limited time, which its holder, the instance that
//! has it, renews. Usage is the number of calls in a usage window, a period of fixed length;
//! capacity is the number of backend servers that the platform runs for a service.
//!
//! A report is appended to the duty topic, a topic of the log service, before it is sent. The next
//! holder of the lease sends the last report of the topic again with the same counts, and continues
//! from there. If the log was restored from an older copy, later reports may have been sent and lost;
//! windows whose report may have been sent are then left out by all but their sender.

use super::*;

use std::cell::RefCell;
use std::rc::Rc;

use prost::Message;

/// Topic that holds the lease and the usage reports.
pub const DUTIES_TOPIC: &str = "keyed.duties";

const LEASE_KEY: &str = "lease";

const USAGE_KEY: &str = "usage";

/// Interval at which the holder sends a report that is due and plans the capacity.
const DUTY_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which an instance that does not compete for the lease checks whether it should.
const COMPETE_INTERVAL: Duration = Duration::from_secs(1);

/// Delay after a read of the duty topic by an instance without the lease. Without the delay, every
/// renewal would wake all of these instances.
const FOLLOWER_READ_DELAY: Duration = Duration::from_millis(1_500);

/// Delay after a failed call to the log service, before the next attempt to read, acquire or renew
/// the lease.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Shortest time from the end of a usage window to its report. The other instances send their
/// counts, or those of their data centre, several times within this time.
const REPORT_DELAY: Duration = Duration::from_millis(2_000);

/// The holder gives up sending a report when less than this time is left until the platform counts
/// it as late, because sending it may take as long.
const REPORT_MARGIN: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct DutyState {
    /// Era of the log at the last listing of the topic; `None` before the first.
    era: Option<LogEra>,
    /// Time at which this instance became the holder.
    held_since: Duration,
    lease: Lease,
    /// Report that is in the duty topic but not yet known to have been accepted by the platform.
    pending: Option<(UsageWindow, UsageCounts)>,
    planners: HashMap<ServiceName, CapacityPlanner>,
    /// Last window with a report in the duty topic.
    reported: Option<UsageWindow>,
}

/// Competes for the lease on behalf of one instance, and performs the duties while the instance
/// holds the lease.
pub struct Duties {
    cloud: Rc<dyn Cloud>,
    log: Rc<dyn TopicLog>,
    serving: Rc<ServingState>,
    state: RefCell<DutyState>,
}

impl Duties {
    /// Creates the duties of an instance that does not hold the lease. `log` keeps the lease and
    /// the reports; `cloud` is the platform's API, which gets the reports and orders.
    pub fn new(serving: Rc<ServingState>, log: Rc<dyn TopicLog>, cloud: Rc<dyn Cloud>) -> Self {
        Self {
            cloud,
            log,
            serving,
            state: RefCell::default(),
        }
    }

    /// Competes for the lease and performs the duties until shutdown, which cancels calls that have
    /// not ended. The lease is not released at shutdown; it expires.
    pub async fn run(self, shutdown: CancellationToken) {
        tokio::select! {
            () = shutdown.cancelled() => {}
            () = self.keep_lease() => {}
            () = self.run_duties() => {}
        }
    }

    async fn keep_lease(&self) {
        loop {
            let step = self.state.borrow().lease.next_step(boot_time());
            let token_before = self.state.borrow().lease.fencing_token(boot_time());
            if token_before.is_none() && !self.serving.competes_for_duties() {
                // Only instances that read the log for their data centre compete for the lease;
                // they are enough.
                tokio::time::sleep(COMPETE_INTERVAL).await;
                continue;
            }
            let result = match step {
                LeaseStep::Append { .. } if self.serving.draining.get() => {
                    tokio::time::sleep(LEASE_DURATION).await;
                    continue;
                }
                LeaseStep::Append { at } => self.append_lease(at).await,
                LeaseStep::Newest => self.read_newest().await,
                LeaseStep::Read { from, wait } => self.read_records(from, wait).await,
            };
            if token_before.is_none() && matches!(step, LeaseStep::Read { .. }) {
                tokio::time::sleep(FOLLOWER_READ_DELAY).await;
            }
            if let Err(error) = result {
                debug!("duty lease step={step:?} failed reason=\"{error}\"");
                tokio::time::sleep(RETRY_DELAY).await;
            }
            let token_now = self.state.borrow().lease.fencing_token(boot_time());
            if token_now != token_before {
                info!("duty lease before={token_before:?} now={token_now:?}");
            }
        }
    }

    async fn append_lease(&self, at: LogOffset) -> Result {
        let entry = wire::LeaseEntry {
            duration_ms: LEASE_DURATION.as_millis() as u64,
        };
        let entry = wire::duty_record::Entry::Lease(entry);
        self.append(at, LEASE_KEY, entry, true).await.map(|_| ())
    }

    /// Appends a record in this instance's name. Returns false if the topic did not end at `at`, so
    /// that nothing was appended.
    async fn append(
        &self,
        at: LogOffset,
        key: &'static str,
        entry: wire::duty_record::Entry,
        is_lease: bool,
    ) -> Result<bool> {
        let record = wire::DutyRecord {
            entry: Some(entry),
            era: era_of(at),
            holder: self.serving.settings.instance.to_string(),
            life: self.serving.life,
        };
        let began_at = boot_time();
        let record = record.encode_to_vec().into();
        let appended = self.log.append_at(DUTIES_TOPIC, at, key, record).await;
        let lease = &mut self.state.borrow_mut().lease;
        match appended {
            Ok(outcome) => {
                lease.observe_append(began_at, outcome, is_lease);
                Ok(matches!(outcome, AppendOutcome::Appended(_)))
            }
            Err(error) => {
                lease.mark_append_unknown();
                Err(error)
            }
        }
    }

    async fn read_newest(&self) -> Result {
        let page = self.log.newest(DUTIES_TOPIC, None).await?;
        let era = era_of(page.end);
        // Without a record of this era, one may have been lost with the end of the topic.
        let may_be_lost = era > 0 && !self.serving.settings.first_start;
        let mut holder = match may_be_lost {
            true => LeaseHolder::Other,
            false => LeaseHolder::Nobody,
        };
        let mut usage_may_be_lost = may_be_lost;
        for item in page.items.iter().filter(|item| item.value.is_some()) {
            let Some(record) = self.decode_record(item) else {
                // A newer program may have written it, and hold the lease or have sent the report.
                match item.key.as_str() {
                    LEASE_KEY => holder = LeaseHolder::Other,
                    USAGE_KEY => self.leave_out_usage("unreadable"),
                    _ => {}
                }
                continue;
            };
            let is_of_era = record.era == era;
            match record.entry {
                Some(wire::duty_record::Entry::Lease(_)) if is_of_era => {
                    holder = self.holder_of(&record);
                }
                Some(wire::duty_record::Entry::Lease(_)) => holder = LeaseHolder::Other,
                Some(wire::duty_record::Entry::Usage(usage)) => {
                    usage_may_be_lost = !is_of_era;
                    self.observe_usage(usage);
                }
                None => {}
            }
        }
        if self.state.borrow().era != Some(era) {
            self.enter_era(era, usage_may_be_lost);
        }
        let lease = &mut self.state.borrow_mut().lease;
        lease.observe_newest(boot_time(), page.end, holder);
        Ok(())
    }

    /// Records that the topic was read for the first time in an era of the log. If reports may have
    /// been lost, the windows whose report another holder may have sent by now are left out; from
    /// now on, the topic shows all reports.
    fn enter_era(&self, era: LogEra, usage_may_be_lost: bool) {
        self.state.borrow_mut().era = Some(era);
        if usage_may_be_lost {
            self.leave_out_usage("lost");
        }
    }

    /// Leaves out the windows whose report another holder may have sent by now, unless this instance
    /// is the holder.
    fn leave_out_usage(&self, reports: &str) {
        let is_holder = self.fencing_token().is_some();
        let window = self.serving.usage_window_before(REPORT_DELAY);
        let state = &mut self.state.borrow_mut();
        if !is_holder && state.reported < Some(window) {
            info!("duty usage left out until window={window} reports={reports}");
            state.reported = Some(window);
        }
    }

    async fn read_records(&self, from: LogOffset, wait: Duration) -> Result {
        let records = match self.log.read(DUTIES_TOPIC, from, wait).await? {
            TopicRead::Records { records, .. } => records,
            TopicRead::Gone => {
                self.state.borrow_mut().lease.mark_append_unknown();
                return Ok(());
            }
        };
        for (offset, raw) in records {
            let item = decode_keyed_record(offset, &raw)?;
            if item.value.is_none() {
                continue;
            }
            let Some(record) = self.decode_record(&item) else {
                {
                    let lease = &mut self.state.borrow_mut().lease;
                    lease.observe_record(boot_time(), offset, false);
                }
                if item.key == USAGE_KEY {
                    self.leave_out_usage("unreadable");
                }
                continue;
            };
            let is_own = self.is_own(&record);
            {
                let lease = &mut self.state.borrow_mut().lease;
                lease.observe_record(boot_time(), offset, is_own);
            }
            if let Some(wire::duty_record::Entry::Usage(usage)) = record.entry
                && !is_own
            {
                self.observe_usage(usage);
            }
        }
        Ok(())
    }

    /// Returns the holder according to a lease record. If the record is of an earlier process of
    /// this instance, nobody holds the lease, because that process has ended.
    fn holder_of(&self, record: &wire::DutyRecord) -> LeaseHolder {
        match record.holder == self.serving.settings.instance.as_str() {
            true if record.life == self.serving.life => LeaseHolder::Own,
            true => LeaseHolder::Nobody,
            false => LeaseHolder::Other,
        }
    }

    fn is_own(&self, record: &wire::DutyRecord) -> bool {
        record.holder == self.serving.settings.instance.as_str() && record.life == self.serving.life
    }

    fn observe_usage(&self, usage: wire::UsageWindowCounts) {
        let (window, counts) = decode_usage(usage);
        let state = &mut self.state.borrow_mut();
        // A restored log may hold an older report than one that was seen before.
        if Some(window) >= state.reported {
            state.reported = Some(window);
            state.pending = Some((window, counts));
        }
    }

    async fn run_duties(&self) {
        loop {
            tokio::time::sleep(DUTY_INTERVAL).await;
            let holds_duties = self.fencing_token().is_some();
            if !self.serving.holds_duties.replace(holds_duties) && holds_duties {
                self.state.borrow_mut().held_since = boot_time();
            }
            self.report_usage().await;
            self.order_capacity().await;
        }
    }

    fn fencing_token(&self) -> Option<LogOffset> {
        self.state.borrow().lease.fencing_token(boot_time())
    }

    async fn report_usage(&self) {
        let Some(fencing_token) = self.fencing_token() else {
            return;
        };
        let pending = self.state.borrow().pending.clone();
        if let Some((window, counts)) = pending {
            let sent = self
                .cloud
                .report_usage(fencing_token, window, &counts)
                .await;
            let calls: u64 = counts.values().sum();
            info!(
                "duty usage window={window} calls={calls} fence={fencing_token} sent={}",
                sent.is_ok()
            );
            let overdue = self.time_since_end(window) > self.report_deadline();
            let mut state = self.state.borrow_mut();
            if sent.is_ok() || overdue {
                state.pending = None;
            }
            return;
        }
        if boot_time().saturating_sub(self.state.borrow().held_since) < PEER_COUNTS_DELAY {
            // The collectors have just learnt whom to send the counts to.
            return;
        }
        let Some(window) = self.due_window() else {
            return;
        };
        let Some(at) = self.state.borrow().lease.end() else {
            return;
        };
        let Some(counts) = self.serving.usage.borrow().total(boot_time(), window) else {
            return;
        };
        let entry = wire::duty_record::Entry::Usage(encode_usage(window, &counts));
        match self.append(at, USAGE_KEY, entry, false).await {
            Ok(true) => {
                let mut state = self.state.borrow_mut();
                state.reported = Some(window);
                state.pending = Some((window, counts));
            }
            Ok(false) => {}
            Err(error) => warn!("duty usage window={window} not appended reason=\"{error}\""),
        }
    }

    /// Returns the next usage window to report if it ended at least [`REPORT_DELAY`] ago. Windows
    /// whose report would be late are skipped.
    fn due_window(&self) -> Option<UsageWindow> {
        let first = self.serving.first_usage_window;
        let reported = self.state.borrow().reported;
        let mut window = reported.map_or(first, |reported| reported + 1);
        while self.time_since_end(window) > self.report_deadline() {
            window += 1;
        }
        let ended = self.serving.unix_now() >= self.window_end(window);
        (ended && self.time_since_end(window) >= REPORT_DELAY).then_some(window)
    }

    /// Returns how long after the end of a usage window its report may still be sent: until
    /// [`REPORT_MARGIN`] before the platform counts it as late.
    fn report_deadline(&self) -> Duration {
        let usage_late = self.serving.settings.usage_late;
        usage_late.saturating_sub(REPORT_MARGIN)
    }

    fn window_end(&self, window: UsageWindow) -> Duration {
        self.serving.settings.usage_window * (window as u32 + 1)
    }

    fn time_since_end(&self, window: UsageWindow) -> Duration {
        self.serving
            .unix_now()
            .saturating_sub(self.window_end(window))
    }

    async fn order_capacity(&self) {
        let policy = self.serving.policy.borrow().in_force().cloned();
        let Some(policy) = policy else {
            return;
        };
        for service in policy.services() {
            let Some(capacity_policy) = &service.capacity else {
                continue;
            };
            let now = boot_time();
            if self.serving.defers_capacity(now, &service.name) {
                continue;
            }
            let view = self.serving.fleet.borrow().capacity_view(now, service);
            let (orders, need) = {
                let state = &mut self.state.borrow_mut();
                let planner = state.planners.entry(service.name.clone()).or_default();
                let orders = planner.plan(now, &service.name, capacity_policy, &view);
                (orders, planner.need())
            };
            for order in orders {
                self.send_order(&order, &view, need).await;
            }
        }
    }

    async fn send_order(&self, order: &CapacityOrder, view: &CapacityView, need: CapacityNeed) {
        let Some(fencing_token) = self.fencing_token() else {
            return;
        };
        let outcome = self.cloud.order(fencing_token, order).await;
        info!(
            "duty order service={} data_centre={} spot={} desired={} fence={fencing_token} \
             prefill_tokens_per_s={:.0} prefill_rate_per_s={:.0} fixed_ms={:.0} running={} slots={} \
             limited={} by_prefill={:.2} by_slots={:.2} from_ready={} need={} sustained={} reserve={} \
             ready={} end={outcome:?}",
            order.service,
            order.data_centre,
            order.spot,
            order.desired,
            view.prefill_tokens_per_s,
            view.prefill_rate_per_s,
            view.fixed_ms,
            view.running,
            view.slots,
            view.limited,
            need.by_prefill,
            need.by_slots,
            need.from_ready,
            need.peak,
            need.sustained,
            need.reserve_fraction,
            view.counts_text(),
        );
        let Ok(outcome) = outcome else {
            return;
        };
        let state = &mut self.state.borrow_mut();
        let planner = state.planners.entry(order.service.clone()).or_default();
        planner.record_outcome(boot_time(), order, outcome);
    }

    /// Decodes a record of the duty topic. Returns `None` if it cannot be decoded or has no entry
    /// that this program knows.
    fn decode_record(&self, item: &KeyedRecord) -> Option<wire::DutyRecord> {
        let value = item.value.clone().unwrap_or_default();
        let error = match wire::DutyRecord::decode(value) {
            Ok(record) if record.entry.is_some() => return Some(record),
            Ok(_) => "its entry is of an unknown kind".to_owned(),
            Err(error) => error.to_string(),
        };
        self.serving.metrics.unreadable_record(DUTIES_TOPIC);
        warn!(
            "duty record key={} offset={} unreadable; it counts as one of another holder: {error}",
            item.key, item.offset
        );
        None
    }
}
