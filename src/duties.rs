//! Duties that one instance has at a time: reports usage and orders capacity, under a lease.
//!
//! A report is entered in the duty topic before it is sent. Whoever holds the lease next sends
//! the report it finds there again, with the same counts, and goes on from it.

use super::*;

use std::cell::RefCell;
use std::rc::Rc;

use prost::Message;

/// Topic of the duties.
pub const DUTIES_TOPIC: &str = "keyed.duties";

/// Key of the lease's records.
const LEASE_KEY: &str = "lease";

/// Key of the reports' records.
const USAGE_KEY: &str = "usage";

/// Pause between looks at what is due.
const DUTY_PAUSE: Duration = Duration::from_millis(250);

/// Pause of instances without the lease after a read of the duty topic: each renewal would wake
/// them all.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(1_500);

/// Pause after a call to the log that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Time after a window's end at which it is reported: peers have told their counts twice by then.
const REPORT_AFTER: Duration = Duration::from_millis(2_000);

/// Time before a report is late at which it is given up: a report on its way may take as long.
const REPORT_MARGIN: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct DutyState {
    capacity: HashMap<ServiceName, Capacity>,
    lease: Lease,
    /// Report that is entered but not yet known to have arrived.
    pending: Option<(UsageWindow, UsageCounts)>,
    /// Last window in the duty topic.
    reported: Option<UsageWindow>,
}

/// Duties of one instance.
pub struct Duties {
    cloud: Rc<dyn Cloud>,
    log: Rc<dyn TopicLog>,
    serving: Rc<ServingState>,
    state: RefCell<DutyState>,
}

impl Duties {
    /// Creates the duties of an instance that holds no lease.
    pub fn new(serving: Rc<ServingState>, log: Rc<dyn TopicLog>, cloud: Rc<dyn Cloud>) -> Self {
        Self {
            cloud,
            log,
            serving,
            state: RefCell::default(),
        }
    }

    /// Competes for the lease and does what is due, until the shutdown.
    pub async fn run(self, shutdown: CancellationToken) {
        tokio::select! {
            () = shutdown.cancelled() => {}
            () = self.keep_lease() => {}
            () = self.do_duties() => {}
        }
    }

    async fn keep_lease(&self) {
        loop {
            let step = self.state.borrow().lease.next(boot_time());
            let held = self.state.borrow().lease.fence(boot_time());
            if held.is_none() && !self.serving.reads_log() {
                // Those that read the log for their data centre are enough to compete.
                tokio::time::sleep(LEASE).await;
                continue;
            }
            let done = match step {
                LeaseStep::Append { .. } if self.serving.draining.get() => {
                    tokio::time::sleep(LEASE).await;
                    continue;
                }
                LeaseStep::Append { at } => self.append_lease(at).await,
                LeaseStep::Newest => self.read_newest().await,
                LeaseStep::Read { from, wait } => self.read_records(from, wait).await,
            };
            if held.is_none() && matches!(step, LeaseStep::Read { .. }) {
                tokio::time::sleep(FOLLOWER_PAUSE).await;
            }
            if let Err(error) = done {
                debug!("duty lease step={step:?} failed reason=\"{error}\"");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            let holds = self.state.borrow().lease.fence(boot_time());
            if holds != held {
                info!("duty lease before={held:?} now={holds:?}");
            }
        }
    }

    async fn append_lease(&self, at: LogOffset) -> Result {
        let entry = wire::LeaseEntry {
            duration_ms: LEASE.as_millis() as u64,
        };
        let entry = wire::duty_record::Entry::Lease(entry);
        self.append(at, LEASE_KEY, entry, true).await.map(|_| ())
    }

    /// Appends a record of this holder; true if it stands.
    async fn append(
        &self,
        at: LogOffset,
        key: &'static str,
        entry: wire::duty_record::Entry,
        is_lease: bool,
    ) -> Result<bool> {
        let record = wire::DutyRecord {
            entry: Some(entry),
            holder: self.serving.settings.instance.to_string(),
            life: self.serving.life,
        };
        let began_at = boot_time();
        let record = record.encode_to_vec().into();
        let appended = self.log.append_at(DUTIES_TOPIC, at, key, record).await;
        let lease = &mut self.state.borrow_mut().lease;
        match appended {
            Ok(end) => {
                lease.take_append(began_at, end, is_lease);
                Ok(matches!(end, AppendEnd::Appended(_)))
            }
            Err(error) => {
                lease.lose_append();
                Err(error)
            }
        }
    }

    async fn read_newest(&self) -> Result {
        let page = self.log.newest(DUTIES_TOPIC, None).await?;
        let mut holder = LeaseHolder::Nobody;
        for item in &page.items {
            let Some(record) = decode_record(item) else {
                continue;
            };
            match record.entry {
                Some(wire::duty_record::Entry::Lease(_)) => holder = self.holder_of(&record),
                Some(wire::duty_record::Entry::Usage(usage)) => self.take_usage(usage),
                None => {}
            }
        }
        let lease = &mut self.state.borrow_mut().lease;
        lease.take_newest(boot_time(), page.end, holder);
        Ok(())
    }

    async fn read_records(&self, from: LogOffset, wait: Duration) -> Result {
        let records = match self.log.read(DUTIES_TOPIC, from, wait).await? {
            TopicRead::Records { records, .. } => records,
            TopicRead::Gone => {
                self.state.borrow_mut().lease.lose_append();
                return Ok(());
            }
        };
        for (offset, raw) in records {
            let item = keyed_record(offset, &raw)?;
            let Some(record) = decode_record(&item) else {
                continue;
            };
            let is_own = self.is_own(&record);
            {
                let lease = &mut self.state.borrow_mut().lease;
                lease.take_record(boot_time(), offset, is_own);
            }
            if let Some(wire::duty_record::Entry::Usage(usage)) = record.entry
                && !is_own
            {
                self.take_usage(usage);
            }
        }
        Ok(())
    }

    /// Whose a lease record is. An earlier life of this instance has ended: nobody acts for it.
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

    fn take_usage(&self, usage: wire::UsageWindowCounts) {
        let (window, counts) = decode_usage(usage);
        let state = &mut self.state.borrow_mut();
        state.reported = Some(window);
        state.pending = Some((window, counts));
    }

    async fn do_duties(&self) {
        loop {
            tokio::time::sleep(DUTY_PAUSE).await;
            self.report_usage().await;
            self.order_capacity().await;
        }
    }

    fn fence(&self) -> Option<LogOffset> {
        self.state.borrow().lease.fence(boot_time())
    }

    async fn report_usage(&self) {
        let Some(fence) = self.fence() else {
            return;
        };
        let pending = self.state.borrow().pending.clone();
        if let Some((window, counts)) = pending {
            let sent = self.cloud.report_usage(fence, window, &counts).await;
            let calls: u64 = counts.values().sum();
            info!(
                "duty usage window={window} calls={calls} fence={fence} sent={}",
                sent.is_ok()
            );
            let overdue = self.since_end(window) > self.report_until();
            let mut state = self.state.borrow_mut();
            if sent.is_ok() || overdue {
                state.pending = None;
            }
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
            Err(error) => warn!("duty usage window={window} not entered reason=\"{error}\""),
        }
    }

    /// The next window to report, if its counts are in and its report still counts.
    fn due_window(&self) -> Option<UsageWindow> {
        let first = self.serving.first_usage_window;
        let reported = self.state.borrow().reported;
        let mut window = reported.map_or(first, |reported| reported + 1);
        while self.since_end(window) > self.report_until() {
            window += 1;
        }
        let ended = self.serving.unix_now() >= self.end_of(window);
        (ended && self.since_end(window) >= REPORT_AFTER).then_some(window)
    }

    /// Time after a window's end up to which it is still reported; later reports count as missing.
    fn report_until(&self) -> Duration {
        let usage_late = self.serving.settings.usage_late;
        usage_late.saturating_sub(REPORT_MARGIN)
    }

    fn end_of(&self, window: UsageWindow) -> Duration {
        self.serving.settings.usage_window * (window as u32 + 1)
    }

    fn since_end(&self, window: UsageWindow) -> Duration {
        self.serving.unix_now().saturating_sub(self.end_of(window))
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
            let view = self.serving.fleet.borrow().capacity_view(now, service);
            let orders = {
                let state = &mut self.state.borrow_mut();
                let capacity = state.capacity.entry(service.name.clone()).or_default();
                capacity.plan(now, &service.name, capacity_policy, &view)
            };
            for order in orders {
                self.send_order(&order, &view).await;
            }
        }
    }

    async fn send_order(&self, order: &CapacityOrder, view: &CapacityView) {
        let Some(fence) = self.fence() else {
            return;
        };
        let end = self.cloud.order(fence, order).await;
        info!(
            "duty order service={} data_centre={} spot={} desired={} fence={fence} \
             prefill_tokens_per_s={:.0} running={} end={end:?}",
            order.service,
            order.data_centre,
            order.spot,
            order.desired,
            view.prefill_tokens_per_s,
            view.running,
        );
        let Ok(end) = end else {
            return;
        };
        let state = &mut self.state.borrow_mut();
        let capacity = state.capacity.entry(order.service.clone()).or_default();
        capacity.take_end(boot_time(), order, end);
    }
}

fn decode_record(item: &KeyedRecord) -> Option<wire::DutyRecord> {
    let value = item.value.as_ref()?;
    match wire::DutyRecord::decode(value.clone()) {
        Ok(record) => Some(record),
        Err(error) => {
            warn!("duty record offset={} is passed over: {error}", item.offset);
            None
        }
    }
}
