//! What one instance knows of the rollouts of all services, and to which servers it sends calls by
//! it.
//!
//! The fault patterns that this is designed for: the instance is cut off from the store in the
//! middle of a rollout, so that what it knows may be out of date; it learns of an order before the
//! first step, or of servers of the new version before the order; the log is restored from an older
//! copy, which must not bring back an earlier step. An instance that cannot tell whether its record
//! is the newest sends nothing to the new side, and from the record's time on nothing to the old one
//! either, since the old servers may have been stopped by then.

use super::*;

/// Time for which the choice of canary servers (the few servers of the new version that get calls
/// while it is observed) is kept.
const CANARIES_TTL: Duration = Duration::from_millis(100);

/// Retry delay sent to callers while the instance may use neither side. Reads of the log that
/// failed are repeated sooner.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time after the last step for which the number of a record is sent in every digest; later only in
/// one of [`IDLE_ROUNDS`].
const ACTIVE_TIME: Duration = Duration::from_secs(30);

const IDLE_ROUNDS: u64 = 10;

/// Servers to which a call may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SideChoice {
    /// True if the share was charged for the call, which therefore may go to the old side if no
    /// server of the new one can take it.
    pub is_canary: bool,
    /// Rule for the call's servers.
    pub versions: VersionRule,
}

/// Attempt that runs, for the counts; returned by [`RolloutState::begin_attempt`].
#[derive(Debug)]
pub struct CountedAttempt {
    order: Option<LogOffset>,
    service: ServiceName,
    version: ServerVersion,
}

#[derive(Debug, Default)]
struct ServiceRollout {
    canaries: Option<(Duration, Arc<[ServerName]>)>,
    /// Time at which this instance took over the record.
    changed_at: Duration,
    /// Highest number of a record that a peer has named.
    heard_number: u64,
    /// Orders that no known record has handled, oldest first, with the times at which they were
    /// read.
    orders: VecDeque<(Duration, OrderRecord)>,
    /// Time at which a peer proved that the record is the newest.
    proven_at: Duration,
    record: Option<RolloutRecord>,
    /// Newest report of each other instance, for the order that runs.
    reports: BTreeMap<InstanceName, RolloutReport>,
    /// Attempts that run, by the version of their server.
    running: HashMap<ServerVersion, u32>,
    share: Option<RolloutShare>,
    tally: Option<RolloutTally>,
    verdict: Option<RolloutVerdict>,
}

/// Rollouts of all services, as one instance knows them.
#[derive(Debug)]
pub struct RolloutState {
    instance: InstanceName,
    life: u64,
    /// Peer that knows a newer record.
    peer_ahead: Option<SocketAddr>,
    /// Time at which the known records were last proven to be the newest; `None` before the first
    /// read of the topic reached its end.
    proven_at: Option<Duration>,
    services: BTreeMap<ServiceName, ServiceRollout>,
    settings: RolloutSettings,
}

impl ServiceRollout {
    fn number(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.step.number)
    }

    /// Record of a rollout that has not ended.
    fn running_record(&self) -> Option<&RolloutRecord> {
        self.record.as_ref().filter(|record| record.is_running())
    }

    /// Returns the calls of this instance that run at servers of other versions than the target.
    fn old_running(&self) -> u32 {
        let Some(record) = &self.record else {
            return 0;
        };
        let running = self.running.iter();
        let of_old = running.filter(|(version, _)| **version != record.target);
        of_old.map(|(_, count)| count).sum()
    }

    /// Returns true if an order that no known record has handled is old enough that the servers of
    /// the version in force may be drained by now.
    fn may_be_drained(&self, now: Duration) -> bool {
        let mut orders = self.orders.iter();
        orders.any(|(read_at, order)| match &order.order {
            Ok(order) => now.saturating_sub(*read_at) >= not_before(order.duration),
            Err(_) => false,
        })
    }

    /// Returns true if a peer has named a record that may be of an order which is not known here.
    fn may_have_next_order(&self) -> bool {
        self.heard_number > self.number() && self.running_record().is_none()
    }

    /// Rule for the old side. Targets of orders that were not handled yet are left out of it, unless
    /// no other server is left.
    fn old_side(&self, fleet: &Fleet, service: &ServiceName) -> VersionRule {
        let known = self.record.as_ref().map(RolloutRecord::old_side);
        let known = known.unwrap_or_default();
        let mut versions = match &known {
            VersionRule::Any => SmallVec::new(),
            VersionRule::Except(versions) => versions.clone(),
            VersionRule::Listed { .. } | VersionRule::Only(_) => return known,
        };
        let count_before = versions.len();
        let targets = self.orders.iter().map(|(_, order)| &order.target);
        versions.extend(targets.filter(|target| !target.is_empty()).cloned());
        if versions.len() == count_before {
            return known;
        }
        let rule = VersionRule::Except(versions);
        let has_server = fleet.ready_servers(service, &rule).next().is_some();
        match has_server {
            true => rule,
            false => known,
        }
    }

    fn canaries(
        &mut self,
        now: Duration,
        fleet: &Fleet,
        service: &ServiceName,
        share: f64,
    ) -> Arc<[ServerName]> {
        if let Some((at, canaries)) = &self.canaries
            && now.saturating_sub(*at) < CANARIES_TTL
        {
            return canaries.clone();
        }
        let old_side = self.old_side(fleet, service);
        let old_count = fleet.ready_servers(service, &old_side).count();
        let (target, order) = match &self.record {
            Some(record) => (record.target.clone(), record.step.order),
            None => return Arc::new([]),
        };
        let new_side = VersionRule::Only(target);
        let new_servers: Vec<ServerName> = fleet
            .ready_servers(service, &new_side)
            .map(|server| server.id.clone())
            .collect();
        let canaries: Arc<[ServerName]> =
            canary_servers(share, order, old_count, &new_servers).into();
        self.canaries = Some((now, canaries.clone()));
        canaries
    }
}

impl RolloutState {
    /// Creates the state of a process of an instance that has read no record yet.
    pub fn new(settings: RolloutSettings, instance: InstanceName, life: u64) -> Self {
        Self {
            instance,
            life,
            peer_ahead: None,
            proven_at: None,
            services: BTreeMap::new(),
            settings,
        }
    }

    /// Records that all records of the topic were known at time `at`.
    pub fn confirm_newest(&mut self, at: Duration) {
        self.proven_at = self.proven_at.max(Some(at));
    }

    /// Returns true once the topic was read to its end.
    pub fn is_read(&self) -> bool {
        self.proven_at.is_some()
    }

    /// Returns the time since the known record of a service was proven to be the newest, by a read or
    /// by a peer; since boot if it never was.
    pub fn age(&self, now: Duration, service: &ServiceName) -> Duration {
        let by_peer = self.services.get(service).map(|known| known.proven_at);
        let proven_at = self.proven_at.max(by_peer);
        now.saturating_sub(proven_at.unwrap_or_default())
    }

    /// Applies a record. Returns false and keeps the known one if that is newer or the same.
    pub fn apply(&mut self, now: Duration, service: &ServiceName, record: RolloutRecord) -> bool {
        let known = self.services.entry(service.clone()).or_default();
        if let Some(newest) = &known.record
            && !record.step.replaces(&newest.step)
        {
            return false;
        }
        let order_before = known.record.as_ref().map(|record| record.step.order);
        if order_before != Some(record.step.order) {
            let seed = share_seed(&self.instance, self.life, record.step.order);
            known.share = Some(RolloutShare::new(self.settings.exposure_share, seed));
            known.tally = Some(RolloutTally::new(record.step.order));
            known.reports.clear();
            known.verdict = None;
        }
        if !record.is_running() {
            known.tally = None;
            known.reports.clear();
        }
        if record.step.step == RolloutStep::Draining
            && let Some(tally) = &mut known.tally
        {
            tally.begin_draining(now);
        }
        known.changed_at = now;
        known.canaries = None;
        known.orders.retain(|(_, order)| !record.has_handled(order));
        known.record = Some(record);
        true
    }

    /// Adds an order that was read. Returns false if it was handled before.
    pub fn add_order(&mut self, now: Duration, order: OrderRecord) -> bool {
        let known = self.services.entry(order.service.clone()).or_default();
        let is_handled = known
            .record
            .as_ref()
            .is_some_and(|record| record.has_handled(&order));
        let is_known = known
            .orders
            .iter()
            .any(|(_, other)| other.offset == order.offset);
        if is_handled || is_known {
            return false;
        }
        known.canaries = None;
        known.orders.push_back((now, order));
        true
    }

    /// Returns the oldest order of each service that no known record has handled, with the time at
    /// which it was read.
    pub fn waiting_orders(&self) -> Vec<(Duration, OrderRecord)> {
        let services = self.services.values();
        services
            .filter_map(|known| known.orders.front().cloned())
            .collect()
    }

    /// Returns the newest record of a service.
    pub fn record(&self, service: &ServiceName) -> Option<&RolloutRecord> {
        self.services.get(service)?.record.as_ref()
    }

    /// Returns the newest record of each service, with the time at which this instance took it over.
    pub fn records(&self) -> impl Iterator<Item = (&ServiceName, &RolloutRecord, Duration)> {
        self.services.iter().filter_map(|(service, known)| {
            let record = known.record.as_ref()?;
            Some((service, record, known.changed_at))
        })
    }

    /// Returns true if orders for servers of a service have to wait: a rollout of it runs, or ended a
    /// short time ago and servers that get no calls have not been stopped yet. The servers of both
    /// versions together are more than the service needs.
    pub fn defers_capacity(&self, now: Duration, fleet: &Fleet, service: &ServiceName) -> bool {
        let Some(known) = self.services.get(service) else {
            return false;
        };
        let Some(record) = &known.record else {
            return !known.orders.is_empty();
        };
        if record.is_running() {
            return true;
        }
        let rule = record.final_rule();
        let mut servers = fleet.ready_servers(service, &VersionRule::Any);
        now.saturating_sub(known.changed_at) < ACTIVE_TIME
            && servers.any(|server| !rule.allows(server))
    }

    /// Returns the versions of a service's servers that may get calls at present, for the check of an
    /// order.
    pub fn versions_in_force(&self, fleet: &Fleet, service: &ServiceName) -> Vec<ServerVersion> {
        let rule = self.record(service).map(RolloutRecord::final_rule);
        let rule = rule.unwrap_or_default();
        let servers = fleet.ready_servers(service, &rule);
        servers.map(|server| server.version.clone()).collect()
    }

    /// Chooses the servers to which a call of a route may be sent. `is_first` is true for its first
    /// attempt; only that is counted against the share of the new side. Fails with
    /// [`Error::RolloutStale`] while the instance may use neither side.
    pub fn choose_side(
        &mut self,
        now: Duration,
        unix: Duration,
        fleet: &Fleet,
        service: &ServiceName,
        route: &str,
        is_first: bool,
    ) -> Result<SideChoice> {
        let age = self.age(now, service);
        let stale = Error::RolloutStale {
            age_ms: age.as_millis() as u64,
            retry_after_ms: STALE_RETRY_AFTER.as_millis() as u64,
            subject: Subject::Service(service.clone()),
        };
        if !self.is_read() {
            return Err(stale);
        }
        let plain = |versions: VersionRule| SideChoice {
            is_canary: false,
            versions,
        };
        let Some(known) = self.services.get_mut(service) else {
            return Ok(plain(VersionRule::Any));
        };
        let is_current = age <= KNOWLEDGE_AGE_MAX;
        if !is_current && (known.may_be_drained(now) || known.may_have_next_order()) {
            return Err(stale);
        }
        let Some(record) = &known.record else {
            return Ok(plain(known.old_side(fleet, service)));
        };
        let is_bad = matches!(known.verdict, Some(RolloutVerdict::Bad { .. }));
        match record.step.step {
            RolloutStep::Completed => {
                return Ok(plain(VersionRule::Only(record.target.clone())));
            }
            RolloutStep::RolledBack => return Ok(plain(known.old_side(fleet, service))),
            RolloutStep::Draining if is_current && !is_bad => {
                return Ok(plain(VersionRule::Only(record.target.clone())));
            }
            RolloutStep::Draining => return Err(stale),
            RolloutStep::Observing if !is_current && unix >= record.not_before_unix() => {
                return Err(stale);
            }
            RolloutStep::Observing => {}
        }
        let target = record.target.clone();
        let may_use_new = is_first && is_current && !is_bad && known.heard_number <= known.number();
        if may_use_new {
            let share = self.settings.exposure_share;
            let servers = known.canaries(now, fleet, service, share);
            let picks_new = |share: &mut RolloutShare| share.pick(route) == RolloutSide::New;
            if !servers.is_empty() && known.share.as_mut().is_some_and(picks_new) {
                let versions = VersionRule::Listed {
                    servers,
                    version: target,
                };
                return Ok(SideChoice {
                    is_canary: true,
                    versions,
                });
            }
        }
        Ok(plain(known.old_side(fleet, service)))
    }

    /// Returns the rule for the old side of a service, for a call that no canary server could take,
    /// and returns the call's credit.
    pub fn give_back(&mut self, fleet: &Fleet, service: &ServiceName, route: &str) -> VersionRule {
        let Some(known) = self.services.get_mut(service) else {
            return VersionRule::Any;
        };
        if let Some(share) = &mut known.share {
            share.give_back(route);
        }
        known.old_side(fleet, service)
    }

    /// Returns the step of a rollout that runs and the side of a version's servers in it.
    pub fn placement_of(
        &self,
        service: &ServiceName,
        version: &ServerVersion,
    ) -> Option<(RolloutStep, RolloutSide)> {
        let record = self.services.get(service)?.running_record()?;
        let side = match *version == record.target {
            true => RolloutSide::New,
            false => RolloutSide::Old,
        };
        Some((record.step.step, side))
    }

    /// Counts an attempt at a server of a version until [`end_attempt`](Self::end_attempt) is called.
    pub fn begin_attempt(
        &mut self,
        service: &ServiceName,
        version: ServerVersion,
    ) -> CountedAttempt {
        let known = self.services.entry(service.clone()).or_default();
        *known.running.entry(version.clone()).or_default() += 1;
        CountedAttempt {
            order: known.running_record().map(|record| record.step.order),
            service: service.clone(),
            version,
        }
    }

    /// Ends an attempt. `sample` is what its answer says about the version, if anything. It counts if
    /// the attempt began in the rollout that runs.
    pub fn end_attempt(
        &mut self,
        attempt: &CountedAttempt,
        route: &str,
        server: &str,
        sample: Option<AnswerSample>,
    ) {
        let Some(known) = self.services.get_mut(&attempt.service) else {
            return;
        };
        if let Some(count) = known.running.get_mut(&attempt.version) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                known.running.remove(&attempt.version);
            }
        }
        let running = known.running_record();
        let running = running.map(|record| (record.step.order, &record.target));
        let Some((order, target)) = running else {
            return;
        };
        let side = match attempt.version == *target {
            true => RolloutSide::New,
            false => RolloutSide::Old,
        };
        if let (Some(sample), Some(tally)) = (sample, &mut known.tally)
            && attempt.order == Some(order)
        {
            tally.record(route, side, server, sample);
        }
    }

    /// Judges the versions of all rollouts that run. Returns those whose verdict is `Bad` now and was
    /// not before, with its reason.
    pub fn judge(&mut self, now: Duration) -> Vec<(ServiceName, SmolStr)> {
        let mut turned_bad = Vec::new();
        for (service, known) in &mut self.services {
            if known.running_record().is_none() {
                continue;
            }
            let Some(tally) = &mut known.tally else {
                continue;
            };
            tally.mark(now);
            let verdict = judge(tally);
            let was_bad = matches!(known.verdict, Some(RolloutVerdict::Bad { .. }));
            if was_bad {
                // More answers of the old side must not bring back a version that was bad.
                continue;
            }
            if let RolloutVerdict::Bad { reason, .. } = &verdict {
                turned_bad.push((service.clone(), reason.clone()));
            }
            known.verdict = Some(verdict);
        }
        turned_bad
    }

    /// Returns the verdict on the version that is rolled out.
    pub fn verdict(&self, service: &ServiceName) -> RolloutVerdict {
        let known = self.services.get(service);
        let verdict = known.and_then(|known| known.verdict.clone());
        verdict.unwrap_or(RolloutVerdict::Open)
    }

    /// Returns the answers of the new side and its failures and slow answers, of all instances, for
    /// the log.
    pub fn new_side(&self, service: &ServiceName) -> SideCounts {
        let mut counts = SideCounts::default();
        let tally = self.services.get(service).and_then(|s| s.tally.as_ref());
        if let Some(tally) = tally {
            for route in tally.sums().values() {
                counts.add(&route.new);
            }
        }
        counts
    }

    /// Returns this instance's reports on the rollouts that run, and, for collectors, those of the
    /// instances in `others`. Of these at most [`FORWARDED_COUNTS_MAX`], which vary with `round`,
    /// have counts.
    pub fn reports_to_send(
        &self,
        now: Duration,
        round: u64,
        others: &HashSet<InstanceName>,
    ) -> Vec<RolloutReport> {
        let mut reports = Vec::new();
        let mut forwarded: Vec<RolloutReport> = Vec::new();
        for (service, known) in &self.services {
            let (Some(record), Some(tally)) = (known.running_record(), &known.tally) else {
                continue;
            };
            reports.push(RolloutReport {
                at: now,
                old_running: known.old_running(),
                service: service.clone(),
                step_number: record.step.number,
                tally: TallyReport {
                    instance: self.instance.clone(),
                    life: self.life,
                    order: record.step.order,
                    routes: tally.own_counts().clone(),
                },
            });
            let of_centre = known.reports.iter();
            let of_centre = of_centre.filter(|(instance, _)| others.contains(*instance));
            forwarded.extend(of_centre.map(|(_, report)| report.clone()));
        }
        if forwarded.len() > FORWARDED_COUNTS_MAX {
            let first = (round as usize).wrapping_mul(FORWARDED_COUNTS_MAX) % forwarded.len();
            forwarded.rotate_left(first);
            for report in forwarded.iter_mut().skip(FORWARDED_COUNTS_MAX) {
                report.tally.routes.clear();
            }
        }
        reports.extend(forwarded);
        reports
    }

    /// Applies the reports of a digest. Those of other orders, or of this instance, are ignored.
    /// Collectors keep the counts of each instance to forward them (`keeps_counts`).
    pub fn merge_reports(&mut self, reports: Vec<RolloutReport>, keeps_counts: bool) {
        for mut report in reports {
            if report.tally.instance == self.instance {
                continue;
            }
            let Some(known) = self.services.get_mut(&report.service) else {
                continue;
            };
            let Some(tally) = &mut known.tally else {
                continue;
            };
            if !tally.merge(report.tally.clone()) {
                continue;
            }
            let instance = report.tally.instance.clone();
            if !keeps_counts {
                report.tally.routes.clear();
            }
            let last = known.reports.get(&instance);
            if last.is_none_or(|last| report.replaces(last)) {
                known.reports.insert(instance, report);
            }
        }
    }

    /// Returns the numbers of the known records for the digests of a round: of those that changed a
    /// short time ago, and of all in some rounds.
    pub fn knowledge_to_send(&self, now: Duration, round: u64) -> Vec<RolloutKnowledge> {
        let is_full_round = round.is_multiple_of(IDLE_ROUNDS);
        let records = self.records().filter(|(_, record, changed_at)| {
            let is_recent = now.saturating_sub(*changed_at) < ACTIVE_TIME;
            is_full_round || record.is_running() || is_recent
        });
        records
            .map(|(service, record, _)| RolloutKnowledge {
                age: self.is_read().then(|| self.age(now, service)),
                number: record.step.number,
                service: service.clone(),
            })
            .collect()
    }

    /// Records which records a peer at an address knows. `echoed` is the send time of the last digest
    /// that it received from this instance: it has told the ages after that time, so that they are
    /// counted from then.
    pub fn record_knowledge(
        &mut self,
        peer: SocketAddr,
        echoed: Option<Duration>,
        knowledge: Vec<RolloutKnowledge>,
    ) {
        for told in knowledge {
            let known = self.services.entry(told.service).or_default();
            known.heard_number = known.heard_number.max(told.number);
            if told.number > known.number() {
                self.peer_ahead = Some(peer);
            }
            if let (Some(echoed), Some(age)) = (echoed, told.age)
                && told.number == known.number()
            {
                let proven_at = echoed.saturating_sub(age);
                known.proven_at = known.proven_at.max(proven_at);
            }
        }
    }

    /// Records that the log holds a record of a service that cannot be decoded.
    pub fn record_unreadable(&mut self, service: &ServiceName) {
        let known = self.services.entry(service.clone()).or_default();
        known.heard_number = known.heard_number.max(known.number() + 1);
    }

    /// Returns the address of a peer that has last named a higher number than that of the record
    /// known here; `None` until one does so again.
    pub fn take_peer_ahead(&mut self) -> Option<SocketAddr> {
        self.peer_ahead.take()
    }

    /// Returns this instance and all others that reported on a rollout, with their newest reports,
    /// as input for the plan.
    pub fn step_reports(
        &self,
        now: Duration,
        service: &ServiceName,
    ) -> BTreeMap<InstanceName, StepReport> {
        let mut reports = BTreeMap::new();
        let Some(known) = self.services.get(service) else {
            return reports;
        };
        for (instance, report) in &known.reports {
            let step_report = StepReport {
                age: now.saturating_sub(report.at),
                life: report.tally.life,
                old_running: report.old_running,
                step_number: report.step_number,
            };
            reports.insert(instance.clone(), step_report);
        }
        let own = StepReport {
            age: Duration::ZERO,
            life: self.life,
            old_running: known.old_running(),
            step_number: known.number(),
        };
        reports.insert(self.instance.clone(), own);
        reports
    }
}
