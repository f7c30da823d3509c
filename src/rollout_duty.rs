//! Follows the rollouts of all services at one instance, and performs those of the whole deployment
//! while the instance holds the duties: takes orders, writes steps, and keeps the statuses up to
//! date.
//!
//! A step is appended to the topic of rollouts before it is acted on, on the condition that the topic
//! ends where this instance has read it to. A holder that has missed a record therefore cannot write
//! one, and one that ends at any point leaves a record from which the next one continues. Statuses
//! follow from the records and are written again until they match.

use super::*;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use prost::Message;

/// Interval at which versions are judged and the holder looks for a step to write. It is a part of
/// the time that the fastest rollback may take.
const STEP_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum time that a read of the topic of rollouts waits for a record. What an instance knows is up
/// to two reads old, which has to stay well below [`KNOWLEDGE_AGE_MAX`].
const ROLLOUTS_READ_WAIT: Duration = Duration::from_millis(500);

/// Interval at which the holder lists the instances while old servers are drained.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time since its last digest or report after which an instance may be disconnected.
const LIVE_TIME: Duration = Duration::from_secs(4);

/// Time after a restore of the log for which the holder writes nothing, so that records which the
/// log has lost arrive from the peers that know them.
const RESTORE_WAIT: Duration = Duration::from_secs(2);

/// Interval at which the holder checks the statuses in the log: an earlier holder that was suspended
/// may still have written an outdated one.
const STATUS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Time after the last step of all services from which the statuses are checked rarely.
const STATUS_SETTLED_AFTER: Duration = Duration::from_secs(60);

/// Interval of these rare checks.
const STATUS_IDLE_INTERVAL: Duration = Duration::from_secs(30);

/// Platform-specific parts of rollouts.
#[derive(Debug, Clone, Copy)]
pub struct RolloutParts {
    /// Decodes a record of the operators' topic; `None` if it is not an order.
    pub decode_order: fn(&KeyedRecord) -> Option<OrderRecord>,
    /// Encodes a status as the key and value of its record.
    pub encode_status: fn(&RolloutStatus) -> (SmolStr, Bytes),
    /// Name of the topic to which statuses are written.
    pub status_topic: &'static str,
}

/// Rollouts at one instance.
pub struct RolloutDuty {
    /// End of the topic of rollouts up to which all records are known; `None` if it has to be read
    /// again before the next append.
    end: Cell<Option<LogOffset>>,
    /// Instances in the log with the start times of their processes, and the time at which the
    /// listing began.
    listed: RefCell<Option<(Duration, BTreeMap<InstanceName, u64>)>>,
    log: Rc<dyn TopicLog>,
    /// Number of the newest record of each service in the log; after a restore it may be lower than
    /// the known one.
    log_numbers: RefCell<HashMap<ServiceName, u64>>,
    parts: RolloutParts,
    restored_at: Cell<Option<Duration>>,
    serving: Rc<ServingState>,
    shared_log: Rc<SharedLog>,
    /// Time of the last check of the statuses in the log; `None` if one is due.
    status_checked_at: Cell<Option<Duration>>,
    /// Values of the statuses in the log, by key, as far as known.
    statuses: RefCell<HashMap<SmolStr, Bytes>>,
}

impl RolloutDuty {
    /// Creates the rollouts of an instance. Records are read from `shared_log` and appended to `log`.
    pub fn new(
        serving: Rc<ServingState>,
        log: Rc<dyn TopicLog>,
        shared_log: Rc<SharedLog>,
        parts: RolloutParts,
    ) -> Self {
        Self {
            end: Cell::default(),
            listed: RefCell::default(),
            log,
            log_numbers: RefCell::default(),
            parts,
            restored_at: Cell::default(),
            serving,
            shared_log,
            status_checked_at: Cell::default(),
            statuses: RefCell::default(),
        }
    }

    /// Follows the topic of rollouts, judges versions and performs the duties until shutdown. Returns
    /// at once if the settings allow no rollouts.
    pub async fn run(self, shutdown: CancellationToken) {
        let Some(state) = &self.serving.rollouts else {
            return;
        };
        let follower = TopicFollower {
            log: self.shared_log.clone(),
            pause: Duration::ZERO,
            peer_pause: Duration::ZERO,
            topic: ROLLOUTS_TOPIC,
            wait: ROLLOUTS_READ_WAIT,
        };
        tokio::select! {
            () = shutdown.cancelled() => {}
            () = follower.run(|event| self.on_event(state, event), shutdown.clone()) => {}
            () = self.judge(state) => {}
            () = self.perform(state) => {}
        }
    }

    fn on_event(&self, state: &RefCell<RolloutState>, event: TopicEvent) {
        match event {
            TopicEvent::CaughtUp { at, end } => {
                self.end.set(Some(end));
                state.borrow_mut().confirm_newest(at);
                self.serving.confirm_feed_end(ROLLOUTS_TOPIC, at, end);
            }
            TopicEvent::Change(record) => {
                if self.read_record(state, &record) {
                    self.serving.update_feed(ROLLOUTS_TOPIC, record);
                }
            }
            TopicEvent::Reachable(true) => {}
            TopicEvent::Reachable(false) => self.serving.mark_feed_lost(ROLLOUTS_TOPIC),
            TopicEvent::Restored => {
                self.end.set(None);
                self.log_numbers.borrow_mut().clear();
                self.restored_at.set(Some(boot_time()));
                self.status_checked_at.set(None);
            }
        }
    }

    /// Applies a record of the log. Returns true if peers may get it: it is not older than the known
    /// one.
    fn read_record(&self, state: &RefCell<RolloutState>, record: &KeyedRecord) -> bool {
        let service = ServiceName::from(record.key.as_str());
        let Some(value) = &record.value else {
            warn!("rollout service={service} record removed; the known one stays in force");
            return false;
        };
        let decoded = match RolloutRecord::decode(value.clone()) {
            Ok(decoded) => decoded,
            Err(error) => {
                self.serving.metrics.unreadable_record(ROLLOUTS_TOPIC);
                warn!(
                    "rollout service={service} offset={} unreadable; the new version gets no \
                     calls: {error}",
                    record.offset
                );
                state.borrow_mut().record_unreadable(&service);
                return false;
            }
        };
        let number = decoded.step.number;
        self.log_numbers
            .borrow_mut()
            .insert(service.clone(), number);
        self.apply(state, &service, decoded, "log");
        let state = state.borrow();
        let known = state.record(&service);
        known.is_none_or(|known| known.step.number <= number)
    }

    fn apply(
        &self,
        state: &RefCell<RolloutState>,
        service: &ServiceName,
        record: RolloutRecord,
        source: &str,
    ) {
        let line = format!(
            "rollout service={service} order={} step={:?} number={} target={} source={source} \
             reason=\"{}\"",
            record.step.order,
            record.step.step,
            record.step.number,
            record.target,
            record.step.reason,
        );
        if state.borrow_mut().apply(boot_time(), service, record) {
            info!("{line}");
        }
    }

    async fn judge(&self, state: &RefCell<RolloutState>) {
        loop {
            tokio::time::sleep(STEP_INTERVAL).await;
            let turned_bad = state.borrow_mut().judge(boot_time());
            for (service, reason) in turned_bad {
                self.serving.metrics.rollout_verdict("bad");
                let line = self.inputs_text(state, &service);
                warn!("rollout service={service} verdict=bad {line} reason=\"{reason}\"");
            }
            self.adopt(state).await;
        }
    }

    /// Gets the records from a peer that knows newer ones, which the log lost in a restore or this
    /// instance cannot read there.
    async fn adopt(&self, state: &RefCell<RolloutState>) {
        let address = state.borrow_mut().take_peer_ahead();
        let Some(address) = address else {
            return;
        };
        let Some(page) = self.shared_log.read_peer(address, ROLLOUTS_TOPIC).await else {
            return;
        };
        for record in page.records {
            let service = ServiceName::from(record.key.as_str());
            let decoded = record.value.map(RolloutRecord::decode);
            if let Some(Ok(decoded)) = decoded {
                self.apply(state, &service, decoded, "peer");
            }
        }
    }

    async fn perform(&self, state: &RefCell<RolloutState>) {
        loop {
            tokio::time::sleep(STEP_INTERVAL).await;
            if !self.serving.holds_duties.get() {
                self.status_checked_at.set(None);
                continue;
            }
            let restored_age = self.restored_age();
            if self.end.get().is_none() || restored_age.is_some_and(|age| age < RESTORE_WAIT) {
                continue;
            }
            self.restore_records(state).await;
            self.take_orders(state).await;
            self.take_steps(state).await;
            self.write_statuses(state).await;
        }
    }

    fn restored_age(&self) -> Option<Duration> {
        let restored_at = self.restored_at.get();
        restored_at.map(|at| boot_time().saturating_sub(at))
    }

    /// Writes the known records again that the log lost in a restore.
    async fn restore_records(&self, state: &RefCell<RolloutState>) {
        let mut lost = Vec::new();
        for (service, record, _) in state.borrow().records() {
            let number = self.log_numbers.borrow().get(service).copied();
            if number.is_none_or(|number| number < record.step.number) {
                lost.push((service.clone(), record.clone()));
            }
        }
        for (service, record) in lost {
            let written = self.append(state, &service, record).await;
            info!("rollout service={service} record written again={written}");
        }
    }

    async fn take_orders(&self, state: &RefCell<RolloutState>) {
        let Some(policy) = self.serving.policy.borrow().in_force().cloned() else {
            return;
        };
        let orders = state.borrow().waiting_orders();
        for (read_at, order) in orders {
            let service = order.service.clone();
            let known = state.borrow().record(&service).cloned();
            let record = known.unwrap_or_else(RolloutRecord::empty);
            let running = record.order(&service).filter(|_| record.is_running());
            let versions = {
                let fleet = self.serving.fleet.borrow();
                state.borrow().versions_in_force(&fleet, &service)
            };
            let context = OrderContext {
                is_known: policy.service(&service).is_some()
                    || !policy.longest_timeout(&service).is_zero(),
                running: running.as_ref(),
                versions: &versions,
            };
            let decision = match &order.order {
                Ok(order) => order.check(&context),
                Err(refusal) => OrderDecision::Refuse(refusal.clone()),
            };
            let age_ms = boot_time().saturating_sub(read_at).as_millis();
            let (offset, target) = (order.offset, &order.target);
            let next = match (&decision, &order.order) {
                (OrderDecision::Start, Ok(accepted)) => {
                    let mut plan = RolloutPlan::default();
                    if record.step.number > 0 {
                        plan.observe(record.step.clone());
                    }
                    let age = boot_time().saturating_sub(read_at);
                    let started_unix = self.serving.unix_now().saturating_sub(age);
                    plan.begin(offset)
                        .map(|step| record.begin(accepted, started_unix, step))
                }
                (OrderDecision::Refuse(refusal), _) => {
                    let refused = RefusedOrder {
                        reason: refusal.to_string().into(),
                        target: target.clone(),
                    };
                    Some(record.with_handled(&order, Some(refused), &versions))
                }
                (OrderDecision::Duplicate | OrderDecision::Start, _) => {
                    Some(record.with_handled(&order, None, &versions))
                }
            };
            let Some(next) = next else {
                continue;
            };
            let refused = next.refused.clone();
            let written = self.append(state, &service, next).await;
            info!(
                "rollout service={service} order={offset} target={target} age_ms={age_ms} \
                 versions={versions:?} decision={decision:?} written={written}"
            );
            if !written {
                continue;
            }
            if let (OrderDecision::Refuse(refusal), Some(refused)) = (&decision, refused) {
                warn!("rollout service={service} order={offset} refused: {refusal}");
                self.serving.metrics.rollout_step("refused");
                self.put_status(&RolloutStatus::refused(&service, &refused))
                    .await;
            }
        }
    }

    async fn take_steps(&self, state: &RefCell<RolloutState>) {
        let mut running = Vec::new();
        for (service, record, changed_at) in state.borrow().records() {
            if record.is_running() {
                running.push((service.clone(), record.clone(), changed_at));
            }
        }
        for (service, record, changed_at) in running {
            let Some(order) = record.order(&service) else {
                continue;
            };
            if record.step.step == RolloutStep::Draining {
                self.list_instances().await;
            }
            let now = boot_time();
            let instances = self.instances(now, state, &service);
            let listed_at = self.listed.borrow().as_ref().map(|(at, _)| *at);
            let verdict = state.borrow().verdict(&service);
            let target_servers = {
                let fleet = self.serving.fleet.borrow();
                let new_side = VersionRule::Only(order.target.clone());
                fleet.ready_servers(&service, &new_side).count()
            };
            let policy = self.serving.policy.borrow().in_force().cloned();
            let inputs = PlanInputs {
                instances: &instances,
                instances_age: now.saturating_sub(listed_at.unwrap_or_default()),
                longest_timeout: policy.map_or(Duration::MAX, |p| p.longest_timeout(&service)),
                order_age: self.serving.unix_now().saturating_sub(record.started_unix),
                restored_age: self.restored_age(),
                step_age: now.saturating_sub(changed_at),
                target_servers,
                verdict: &verdict,
            };
            let mut plan = RolloutPlan::default();
            plan.observe(record.step.clone());
            let Some(step) = plan.next_step(&order, &inputs) else {
                continue;
            };
            let line = self.inputs_text(state, &service);
            let text = format!(
                "rollout service={service} order={} step={:?} number={} target={} \
                 order_age_ms={} step_age_ms={} target_servers={target_servers} instances={} \
                 verdict={verdict:?} {line} reason=\"{}\"",
                step.order,
                step.step,
                step.number,
                order.target,
                inputs.order_age.as_millis(),
                inputs.step_age.as_millis(),
                instances.len(),
                step.reason,
            );
            let written = self.append(state, &service, record.with_step(step)).await;
            info!("{text} written={written}");
        }
    }

    /// Returns the counts that a decision on a service's version is based on, and their age, for the
    /// log.
    fn inputs_text(&self, state: &RefCell<RolloutState>, service: &ServiceName) -> String {
        let state = state.borrow();
        let now = boot_time();
        let counts = state.new_side(service);
        let reports = state.step_reports(now, service);
        let oldest = reports.values().map(|report| report.age).max();
        let old_running: u32 = reports.values().map(|report| report.old_running).sum();
        format!(
            "answers={} failures={} slow={} old_running={old_running} reports={} \
             reports_age_ms={} record_age_ms={}",
            counts.answers,
            counts.failures,
            counts.slow,
            reports.len(),
            oldest.unwrap_or_default().as_millis(),
            state.age(now, service).as_millis(),
        )
    }

    /// Appends a record, on the condition that all earlier ones are known, and applies it. Returns
    /// false if it was not appended or that is not known; the topic is then read again first.
    async fn append(
        &self,
        state: &RefCell<RolloutState>,
        service: &ServiceName,
        record: RolloutRecord,
    ) -> bool {
        let Some(at) = self.end.get() else {
            return false;
        };
        let value = record.encode();
        let appended = self.log.append_at(ROLLOUTS_TOPIC, at, service, value).await;
        match appended {
            Ok(AppendOutcome::Appended(offset)) => {
                self.end.set(Some(offset + 1));
                let (step, number) = (record.step.step, record.step.number);
                self.log_numbers
                    .borrow_mut()
                    .insert(service.clone(), number);
                self.serving.metrics.rollout_step(step_name(step));
                self.apply(state, service, record, "own");
                true
            }
            Ok(AppendOutcome::EndMismatch(end)) => {
                info!("rollout service={service} not appended at={at} end={end}");
                self.end.set(None);
                false
            }
            Err(error) => {
                warn!("rollout service={service} append at={at} unknown: {error}");
                self.end.set(None);
                false
            }
        }
    }

    /// Lists the instances in the log, if the last listing is not recent.
    async fn list_instances(&self) {
        let now = boot_time();
        let listed_at = self.listed.borrow().as_ref().map(|(at, _)| *at);
        if listed_at.is_some_and(|at| now.saturating_sub(at) < LIST_INTERVAL) {
            return;
        }
        let mut instances = BTreeMap::new();
        let mut after = None;
        loop {
            let page = match self.log.newest(INSTANCES_TOPIC, after).await {
                Ok(page) => page,
                Err(error) => {
                    warn!("rollout instances not listed: {error}");
                    return;
                }
            };
            after = page.items.last().map(|item| item.key.clone());
            for item in page.items {
                let Some(value) = item.value else {
                    continue;
                };
                // An instance with an unreadable record may run calls, too.
                let life = wire::InstanceRecord::decode(value).map_or(0, |record| record.life);
                instances.insert(InstanceName::from(item.key.as_str()), life);
            }
            if !page.has_more {
                break;
            }
        }
        *self.listed.borrow_mut() = Some((now, instances));
    }

    /// Returns all instances that may send calls to a service: those in the log, those that sent
    /// digests, and those that reported on the rollout.
    fn instances(
        &self,
        now: Duration,
        state: &RefCell<RolloutState>,
        service: &ServiceName,
    ) -> Vec<RolloutInstance> {
        let reports = state.borrow().step_reports(now, service);
        let mut lives: BTreeMap<InstanceName, u64> = BTreeMap::new();
        if let Some((_, listed)) = &*self.listed.borrow() {
            lives.extend(listed.clone());
        }
        let peers = self.serving.peers.borrow();
        let mut heard = HashMap::new();
        for (name, peer) in peers.iter() {
            lives.entry(name.clone()).or_default();
            if let Some((received_at, _)) = peer.last_digest {
                heard.insert(name.clone(), now.saturating_sub(received_at));
            }
        }
        for name in reports.keys() {
            lives.entry(name.clone()).or_default();
        }
        let instances = lives.into_iter().map(|(name, life)| {
            let report = reports.get(&name).copied();
            let ages = [heard.get(&name).copied(), report.map(|report| report.age)];
            let silence = ages.into_iter().flatten().min();
            RolloutInstance {
                is_live: silence.is_some_and(|silence| silence < LIVE_TIME),
                life,
                name,
                report,
            }
        });
        instances.collect()
    }

    /// Writes the statuses that do not match the records.
    async fn write_statuses(&self, state: &RefCell<RolloutState>) {
        let now = boot_time();
        let mut expected = Vec::new();
        let mut last_change = None;
        for (service, record, changed_at) in state.borrow().records() {
            expected.push(RolloutStatus::of(service, record));
            last_change = last_change.max(Some(changed_at));
        }
        let Some(last_change) = last_change else {
            return;
        };
        let interval = match now.saturating_sub(last_change) < STATUS_SETTLED_AFTER {
            true => STATUS_CHECK_INTERVAL,
            false => STATUS_IDLE_INTERVAL,
        };
        let checked_at = self.status_checked_at.get();
        if checked_at.is_none_or(|at| now.saturating_sub(at) >= interval) {
            self.read_statuses().await;
        }
        if self.status_checked_at.get().is_none() {
            return;
        }
        for status in expected {
            let (key, value) = (self.parts.encode_status)(&status);
            let is_written = self.statuses.borrow().get(&key) == Some(&value);
            if !is_written {
                self.put_status(&status).await;
            }
        }
    }

    async fn read_statuses(&self) {
        let topic = self.parts.status_topic;
        let began_at = boot_time();
        let mut statuses = HashMap::new();
        let mut after = None;
        loop {
            let page = match self.log.newest(topic, after).await {
                Ok(page) => page,
                Err(error) => {
                    warn!("rollout statuses not read: {error}");
                    return;
                }
            };
            after = page.items.last().map(|item| item.key.clone());
            for item in page.items {
                statuses.insert(item.key, item.value.unwrap_or_default());
            }
            if !page.has_more {
                break;
            }
        }
        *self.statuses.borrow_mut() = statuses;
        self.status_checked_at.set(Some(began_at));
    }

    async fn put_status(&self, status: &RolloutStatus) {
        let (key, value) = (self.parts.encode_status)(status);
        let topic = self.parts.status_topic;
        let put = self.log.put(topic, &key, value.clone()).await;
        info!(
            "rollout service={} status={:?} target={} written={} reason=\"{}\"",
            status.service,
            status.state,
            status.target,
            put.is_ok(),
            status.reason,
        );
        match put {
            Ok(()) => {
                self.statuses.borrow_mut().insert(key, value);
            }
            Err(error) => {
                warn!("rollout service={} status unknown: {error}", status.service);
                self.status_checked_at.set(None);
            }
        }
    }
}

/// Name of a step in metrics.
pub(crate) fn step_name(step: RolloutStep) -> &'static str {
    match step {
        RolloutStep::Observing => "observing",
        RolloutStep::Draining => "draining",
        RolloutStep::Completed => "completed",
        RolloutStep::RolledBack => "rolled_back",
    }
}
