//! Simulates at-most-once calls at several instances. Faults: killed instances, freezes that may
//! outlast every timeout, loss of connectivity, log outages, lost appends, refused connections, and
//! lost or late answers. Callers reuse keys concurrently, late and with a different body.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::btree_map::Entry;
use std::time::Duration;

use bytes::Bytes;
use ebonyspread::at_most_once::AtMostOnceAction;
use ebonyspread::at_most_once::AtMostOnceCall;
use ebonyspread::at_most_once::AtMostOnceEvent;
use ebonyspread::at_most_once::AtMostOnceReply;
use ebonyspread::at_most_once::AtMostOnceStage;
use ebonyspread::claim_batcher::CLAIM_TIMEOUT;
use ebonyspread::claim_batcher::ClaimBatcher;
use ebonyspread::claim_index::Claim;
use ebonyspread::claim_index::ClaimRecord;
use ebonyspread::claim_index::KeyHash;
use ebonyspread::claim_index::RecordedAnswer;
use ebonyspread::claim_index::Verdict;
use ebonyspread::error::Error;
use ebonyspread::error::Outcome;
use ebonyspread::log_client::LogRead;
use ebonyspread::wire;
use rand::Rng;
use rand::RngExt;

use crate::fake_log::FakeLog;
use crate::report::Report;
use crate::schedule::Schedule;

const BATCH_WINDOW: Duration = Duration::from_millis(10);
const KEY_WINDOW: Duration = Duration::from_secs(300);
const RETENTION: Duration = Duration::from_secs(1_800);
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
const BATCHER_TIMEOUT: Duration = Duration::from_millis(1_500);
const DISPATCH_TIMEOUT: Duration = Duration::from_secs(10);
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);
const READ_TIMEOUT: Duration = Duration::from_secs(60);
const PARTITIONS: u32 = 2;

type Ticket = u64;

/// A call at one incarnation of an instance.
#[derive(Debug, Clone, Copy)]
struct CallRef {
    call: u64,
    instance: usize,
    incarnation: u64,
}

#[derive(Debug, Clone)]
enum Event {
    /// A caller sends a request for an order to an instance.
    Request { order: usize, instance: usize },
    /// A message arrives at one incarnation of an instance.
    Deliver {
        instance: usize,
        incarnation: u64,
        message: Message,
    },
    /// An append reaches the log.
    Append {
        instance: usize,
        incarnation: u64,
        partition: u32,
        records: Vec<ClaimRecord>,
        answered: bool,
    },
    /// A read reaches the log.
    Read {
        instance: usize,
        incarnation: u64,
        partition: u32,
        from: u64,
        sequence: u64,
        waits: bool,
    },
    /// A call reaches the service.
    Run {
        origin: CallRef,
        key: KeyHash,
        nonce: u64,
        fencing: u64,
        answer: AnswerDelivery,
    },
    /// A lookup reaches the service.
    LookUp { origin: CallRef, key: KeyHash },
    /// A random fault starts.
    Fault,
    /// All faults end.
    Heal,
}

/// Whether the answer of a run reaches the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerDelivery {
    Delivered,
    Lost,
}

#[derive(Debug, Clone)]
enum Message {
    /// A claim batcher at another instance has not answered in time.
    BatcherTimeout { call: u64 },
    /// A record for this instance's claim batcher.
    Submit {
        origin: CallRef,
        record: ClaimRecord,
    },
    /// Verdict of a claim batcher.
    Verdict { call: u64, verdict: Verdict },
    /// Result of an append.
    Appended { partition: u32, succeeded: bool },
    /// Result of a read; `None` after a timeout.
    Records {
        partition: u32,
        sequence: u64,
        read: Option<LogRead>,
    },
    /// Batches or timeouts may be due.
    Tick,
    /// Result of a placement, dispatch or lookup.
    CallEvent {
        call: u64,
        attempt: u32,
        event: AtMostOnceEvent,
    },
}

struct Call {
    attempt: u32,
    /// Nonces of the calls accepted for the key up to and including this one.
    earlier_nonces: BTreeSet<u64>,
    is_answered: bool,
    is_waiting_for_verdict: bool,
    machine: AtMostOnceCall,
    order: usize,
}

struct Instance {
    batchers: BTreeMap<u32, ClaimBatcher>,
    calls: HashMap<u64, Call>,
    frozen_until: Duration,
    incarnation: u64,
    is_alive: bool,
    is_disconnected_from_log: bool,
    is_disconnected_from_peers: bool,
    read_sequence: BTreeMap<u32, u64>,
    tickets: HashMap<Ticket, CallRef>,
}

impl Instance {
    fn new(incarnation: u64) -> Self {
        Self {
            batchers: BTreeMap::new(),
            calls: HashMap::new(),
            frozen_until: Duration::ZERO,
            incarnation,
            is_alive: true,
            is_disconnected_from_log: false,
            is_disconnected_from_peers: false,
            read_sequence: BTreeMap::new(),
            tickets: HashMap::new(),
        }
    }
}

struct Order {
    /// Requests that the caller may still send for the order.
    attempts_left: u32,
    has_key: bool,
    is_done: bool,
    key: KeyHash,
    key_time_ms: u64,
    /// Nonces of all calls for the key so far.
    nonces: BTreeSet<u64>,
    /// Nonces of the calls reported as not run, and of all calls accepted before them.
    reported_not_run: BTreeSet<u64>,
}

/// Fake service that records its runs.
#[derive(Default)]
struct Service {
    checks_fencing: bool,
    has_lookup: bool,
    /// Nonce and fencing token of each run, by key.
    runs: HashMap<KeyHash, Vec<(u64, u64)>>,
}

struct OrdersWorld<'a> {
    fault_count: u32,
    instances: Vec<Instance>,
    log: FakeLog,
    next_call: u64,
    next_ticket: Ticket,
    orders: Vec<Order>,
    /// Long polls that wait for new records: instance, incarnation, partition, offset, sequence.
    pending_reads: Vec<(usize, u64, u32, u64, u64)>,
    report: &'a mut Report,
    schedule: Schedule<Event>,
    service: Service,
}

/// Simulates one schedule and records its checks in the report.
pub fn run(seed: u64, report: &mut Report) {
    let mut schedule = Schedule::new(seed);
    let instance_count = schedule.rng.random_range(2..5);
    let order_count = schedule.rng.random_range(4..24);
    let mut world = OrdersWorld {
        fault_count: schedule.rng.random_range(0..12),
        instances: (0..instance_count).map(|_| Instance::new(1)).collect(),
        log: FakeLog::new(RETENTION),
        next_call: 0,
        next_ticket: 0,
        orders: Vec::new(),
        pending_reads: Vec::new(),
        report,
        service: Service {
            checks_fencing: schedule.chance(0.5),
            has_lookup: schedule.chance(0.5),
            runs: HashMap::new(),
        },
        schedule,
    };
    world.schedule_workload(order_count);
    while let Some(event) = world.schedule.pop() {
        world.step(event);
    }
}

impl OrdersWorld<'_> {
    fn schedule_workload(&mut self, order_count: usize) {
        let span_ms = self.schedule.rng.random_range(2_000..2_400_000);
        for order in 0..order_count {
            let start = self.schedule.millis(0, span_ms);
            // The timestamp in a key comes from the caller's clock, which may be off by minutes.
            let skew_ms = match self.schedule.chance(0.2) {
                true => self.schedule.rng.random_range(0..900_000),
                false => 0,
            };
            let created_ms = FakeLog::time_ms(start) + skew_ms - 450_000 * u64::from(skew_ms > 0);
            self.orders.push(Order {
                attempts_left: self.schedule.rng.random_range(1..6),
                has_key: self.schedule.chance(0.9),
                is_done: false,
                key: KeyHash::from(self.schedule.rng.next_u64()) << 64 | order as u128,
                key_time_ms: created_ms,
                nonces: BTreeSet::new(),
                reported_not_run: BTreeSet::new(),
            });
            let has_key = self.orders[order].has_key;
            let copies = 1 + usize::from(has_key && self.schedule.chance(0.2));
            for _ in 0..copies {
                let instance = self.schedule.below(self.instances.len());
                let wait = start + self.schedule.latency();
                self.schedule
                    .after(wait, Event::Request { order, instance });
            }
        }
        self.schedule
            .after(Duration::from_millis(span_ms), Event::Heal);
        for _ in 0..self.fault_count {
            let at = self.schedule.millis(0, span_ms);
            self.schedule.after(at, Event::Fault);
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Request { order, instance } => self.handle_request(order, instance),
            Event::Deliver {
                instance,
                incarnation,
                message,
            } => self.deliver(instance, incarnation, message),
            Event::Append {
                instance,
                incarnation,
                partition,
                records,
                answered,
            } => self.append(instance, incarnation, partition, records, answered),
            Event::Read {
                instance,
                incarnation,
                partition,
                from,
                sequence,
                waits,
            } => self.read(instance, incarnation, partition, from, sequence, waits),
            Event::Run {
                origin,
                key,
                nonce,
                fencing,
                answer,
            } => self.run_call(origin, key, nonce, fencing, answer),
            Event::LookUp { origin, key } => self.look_up(origin, key),
            Event::Fault => self.inject_fault(),
            Event::Heal => self.heal(),
        }
    }

    // ---- Callers ----

    fn handle_request(&mut self, order: usize, instance: usize) {
        if self.orders[order].is_done {
            return;
        }
        if !self.instances[instance].is_alive || self.is_frozen(instance) {
            self.schedule_retry(order);
            return;
        }
        let incarnation = self.instances[instance].incarnation;
        let nonce = self.schedule.rng.next_u64();
        let is_other_body = self.schedule.chance(0.03);
        let order_state = &mut self.orders[order];
        order_state.nonces.insert(nonce);
        let claim = Claim {
            is_generated: false,
            body_hash: u64::from(is_other_body),
            holder: format!("instance-{instance}").into(),
            key: order_state.key,
            key_time_ms: order_state.key_time_ms,
            nonce,
        };
        let is_generated_key = !order_state.has_key && order_state.nonces.len() == 1;
        let earlier_nonces = order_state.nonces.clone();
        self.next_call += 1;
        let call = self.next_call;
        self.instances[instance].calls.insert(
            call,
            Call {
                attempt: 0,
                earlier_nonces,
                is_answered: false,
                is_waiting_for_verdict: true,
                machine: AtMostOnceCall::new(
                    self.schedule.now,
                    claim.clone(),
                    is_generated_key,
                    KEY_WINDOW,
                ),
                order,
            },
        );
        let origin = CallRef {
            call,
            instance,
            incarnation,
        };
        self.submit_record(origin, ClaimRecord::Claim(claim), true);
        // The caller may retry whether or not it receives an answer.
        self.schedule_retry(order);
    }

    fn schedule_retry(&mut self, order: usize) {
        let state = &mut self.orders[order];
        if state.attempts_left == 0 || !state.has_key {
            return;
        }
        state.attempts_left -= 1;
        let wait = match self.schedule.below(10) {
            0 => self.schedule.millis(300_000, 3_000_000),
            1..=3 => self.schedule.millis(1, 300),
            _ => self.schedule.millis(300, 30_000),
        };
        let instance = self.schedule.below(self.instances.len());
        self.schedule
            .after(wait, Event::Request { order, instance });
    }

    /// Checks a reply of an instance, whether or not the caller receives it.
    ///
    /// `earlier_nonces` are the nonces of the calls accepted for the key up to and including this
    /// one.
    fn check_reply(
        &mut self,
        order: usize,
        reply: &AtMostOnceReply,
        earlier_nonces: &BTreeSet<u64>,
    ) {
        let state = &mut self.orders[order];
        let runs = self.service.runs.get(&state.key).map_or(0, Vec::len);
        let earlier_runs = self.service.runs.get(&state.key).into_iter().flatten();
        let earlier_run_count = earlier_runs
            .filter(|(nonce, _)| earlier_nonces.contains(nonce))
            .count();
        let answer = match reply {
            AtMostOnceReply::Answer => None,
            AtMostOnceReply::Error(error) => {
                if error.outcome() == Outcome::NotRun {
                    state
                        .reported_not_run
                        .extend(earlier_nonces.iter().copied());
                    self.report.check(
                        "orders: a call reported not-run has not run",
                        earlier_run_count == 0,
                        || format!("key {:x} ran {earlier_run_count} times: {error}", state.key),
                    );
                }
                if matches!(error, Error::Invariant { .. }) {
                    self.report
                        .check("orders: no internal invariant is violated", false, || {
                            error.to_string()
                        });
                }
                return;
            }
            AtMostOnceReply::Replay(answer) => Some(answer),
        };
        state.is_done = true;
        let is_own = answer.is_none_or(|answer| answer.body == state.key.to_le_bytes().as_slice());
        self.report.check(
            "orders: a replayed answer belongs to its key",
            is_own,
            || format!("key {:x}", state.key),
        );
        self.report
            .check("orders: an answered call has run", runs > 0, || {
                format!("key {:x}", state.key)
            });
    }

    // ---- Instances ----

    fn is_frozen(&self, instance: usize) -> bool {
        self.instances[instance].frozen_until > self.schedule.now
    }

    fn deliver(&mut self, instance: usize, incarnation: u64, message: Message) {
        let state = &self.instances[instance];
        if !state.is_alive || state.incarnation != incarnation {
            return;
        }
        if self.is_frozen(instance) {
            let wait = state.frozen_until - self.schedule.now;
            let event = Event::Deliver {
                instance,
                incarnation,
                message,
            };
            self.schedule.after(wait, event);
            return;
        }
        match message {
            Message::BatcherTimeout { call } => self.submit_locally_after_timeout(instance, call),
            Message::Submit { origin, record } => self.submit_to_batcher(instance, origin, record),
            Message::Verdict { call, verdict } => self.handle_verdict(instance, call, verdict),
            Message::Appended {
                partition,
                succeeded,
            } => self.finish_append(instance, partition, succeeded),
            Message::Records {
                partition,
                sequence,
                read,
            } => self.handle_records(instance, partition, sequence, read),
            Message::Tick => self.tick(instance),
            Message::CallEvent {
                call,
                attempt,
                event,
            } => self.handle_call_event(instance, call, attempt, event),
        }
    }

    fn deliver_after(
        &mut self,
        instance: usize,
        incarnation: u64,
        wait: Duration,
        message: Message,
    ) {
        let event = Event::Deliver {
            instance,
            incarnation,
            message,
        };
        self.schedule.after(wait, event);
    }

    /// Sends a message to an instance over a network that loses and delays messages.
    fn send_to_peer(&mut self, from: usize, to: usize, message: Message) {
        let is_disconnected = self.instances[from].is_disconnected_from_peers
            || self.instances[to].is_disconnected_from_peers;
        if from != to && (is_disconnected || self.schedule.chance(0.01)) {
            return;
        }
        let wait = match from == to {
            true => Duration::ZERO,
            false => self.schedule.latency(),
        };
        let incarnation = self.instances[to].incarnation;
        self.deliver_after(to, incarnation, wait, message);
    }

    /// Submits a record to the partition's claim batcher, sometimes to one at a wrong instance. A
    /// claim whose batcher does not answer in time is submitted to this instance's own batcher.
    fn submit_record(&mut self, origin: CallRef, record: ClaimRecord, waits: bool) {
        let partition = partition_of(record.key());
        let target = match self.schedule.chance(0.2) {
            true => self.schedule.below(self.instances.len()),
            false => partition as usize % self.instances.len(),
        };
        self.send_to_peer(origin.instance, target, Message::Submit { origin, record });
        if waits && target != origin.instance {
            let message = Message::BatcherTimeout { call: origin.call };
            self.deliver_after(
                origin.instance,
                origin.incarnation,
                BATCHER_TIMEOUT,
                message,
            );
        }
    }

    fn submit_locally_after_timeout(&mut self, instance: usize, call: u64) {
        let incarnation = self.instances[instance].incarnation;
        let Some(state) = self.instances[instance].calls.get(&call) else {
            return;
        };
        if !state.is_waiting_for_verdict {
            return;
        }
        let record = ClaimRecord::Claim(state.machine.claim().clone());
        let origin = CallRef {
            call,
            instance,
            incarnation,
        };
        self.submit_to_batcher(instance, origin, record);
    }

    fn submit_to_batcher(&mut self, instance: usize, origin: CallRef, record: ClaimRecord) {
        let partition = partition_of(record.key());
        if let Entry::Vacant(vacant) = self.instances[instance].batchers.entry(partition) {
            vacant.insert(ClaimBatcher::new(KEY_WINDOW, BATCH_WINDOW));
            self.start_read(instance, partition);
        }
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let now = self.schedule.now;
        let state = &mut self.instances[instance];
        let incarnation = state.incarnation;
        state.tickets.insert(ticket, origin);
        let batcher = state.batchers.get_mut(&partition);
        let verdict = batcher.and_then(|batcher| batcher.submit(now, ticket, record));
        if let Some(verdict) = verdict {
            self.send_verdict(instance, ticket, verdict);
            return;
        }
        self.deliver_after(instance, incarnation, BATCH_WINDOW, Message::Tick);
        self.deliver_after(instance, incarnation, CLAIM_TIMEOUT, Message::Tick);
    }

    fn send_verdict(&mut self, instance: usize, ticket: Ticket, verdict: Verdict) {
        let Some(origin) = self.instances[instance].tickets.remove(&ticket) else {
            return;
        };
        if self.instances[origin.instance].incarnation != origin.incarnation {
            return;
        }
        let message = Message::Verdict {
            call: origin.call,
            verdict,
        };
        self.send_to_peer(instance, origin.instance, message);
    }

    fn tick(&mut self, instance: usize) {
        let now = self.schedule.now;
        let incarnation = self.instances[instance].incarnation;
        let mut batches = Vec::new();
        let mut expired = Vec::new();
        for (partition, batcher) in &mut self.instances[instance].batchers {
            if let Some(records) = batcher.next_batch(now) {
                batches.push((*partition, records));
            }
            expired.extend(batcher.expire(now));
        }
        for (partition, records) in batches {
            self.send_append(instance, incarnation, partition, records);
        }
        for answer in expired {
            self.send_verdict(instance, answer.ticket, answer.verdict);
        }
    }

    /// Sends an append, which may be lost, take effect without an answer, or take effect after its
    /// sender's timeout.
    fn send_append(
        &mut self,
        instance: usize,
        incarnation: u64,
        partition: u32,
        records: Vec<ClaimRecord>,
    ) {
        let draw = self.schedule.below(100);
        let is_lost = self.instances[instance].is_disconnected_from_log || draw < 2;
        if is_lost || draw < 6 {
            let message = Message::Appended {
                partition,
                succeeded: false,
            };
            self.deliver_after(instance, incarnation, APPEND_TIMEOUT, message);
        }
        if is_lost {
            self.report.fault("append lost");
            return;
        }
        let answered = draw >= 6;
        let wait = match draw {
            2..4 => self.schedule.millis(2_000, 60_000),
            _ => self.schedule.latency().min(APPEND_TIMEOUT),
        };
        if !answered {
            self.report.fault("append answer lost or late");
        }
        let event = Event::Append {
            instance,
            incarnation,
            partition,
            records,
            answered,
        };
        self.schedule.after(wait, event);
    }

    fn append(
        &mut self,
        instance: usize,
        incarnation: u64,
        partition: u32,
        records: Vec<ClaimRecord>,
        answered: bool,
    ) {
        let now = self.schedule.now;
        let is_unavailable = self.log.is_unavailable(now);
        if !is_unavailable {
            let records = records.iter().map(wire::LogRecord::from).collect();
            self.log.append(now, partition, records);
            self.complete_pending_reads(partition);
        }
        if answered {
            let wait = self.schedule.millis(1, 5);
            let message = Message::Appended {
                partition,
                succeeded: !is_unavailable,
            };
            self.deliver_after(instance, incarnation, wait, message);
        }
    }

    fn finish_append(&mut self, instance: usize, partition: u32, succeeded: bool) {
        let now = self.schedule.now;
        let incarnation = self.instances[instance].incarnation;
        if let Some(batcher) = self.instances[instance].batchers.get_mut(&partition) {
            batcher.finish_append(now, succeeded);
        }
        let wait = match succeeded {
            true => BATCH_WINDOW,
            false => Duration::from_millis(200),
        };
        self.deliver_after(instance, incarnation, wait, Message::Tick);
    }

    fn start_read(&mut self, instance: usize, partition: u32) {
        let state = &mut self.instances[instance];
        let Some(batcher) = state.batchers.get(&partition) else {
            return;
        };
        let sequence = state.read_sequence.entry(partition).or_default();
        *sequence += 1;
        let (from, incarnation, sequence) = (batcher.next_offset(), state.incarnation, *sequence);
        let waits = batcher.is_caught_up();
        let is_disconnected = state.is_disconnected_from_log;
        // An idle instance sets no read timeout: repeated reads would keep the schedule from
        // ending.
        let has_work = !state.tickets.is_empty();
        if has_work || !waits {
            let message = Message::Records {
                partition,
                read: None,
                sequence,
            };
            let wait = match is_disconnected || self.log.is_unavailable(self.schedule.now) {
                true => Duration::from_millis(200),
                false => READ_TIMEOUT,
            };
            self.deliver_after(instance, incarnation, wait, message);
        }
        if is_disconnected {
            return;
        }
        let wait = self.schedule.millis(1, 5);
        let event = Event::Read {
            instance,
            incarnation,
            partition,
            from,
            sequence,
            waits,
        };
        self.schedule.after(wait, event);
    }

    fn read(
        &mut self,
        instance: usize,
        incarnation: u64,
        partition: u32,
        from: u64,
        sequence: u64,
        waits: bool,
    ) {
        if self.instances[instance].incarnation != incarnation {
            return;
        }
        let now = self.schedule.now;
        if self.log.is_unavailable(now) {
            return;
        }
        let read = self.log.read(now, partition, from);
        if waits && read.entries.is_empty() && read.start <= from {
            self.pending_reads
                .push((instance, incarnation, partition, from, sequence));
            return;
        }
        let message = Message::Records {
            partition,
            sequence,
            read: Some(read),
        };
        let wait = self.schedule.millis(1, 5);
        self.deliver_after(instance, incarnation, wait, message);
    }

    fn complete_pending_reads(&mut self, partition: u32) {
        let pending_reads = std::mem::take(&mut self.pending_reads);
        for (instance, incarnation, read_partition, from, sequence) in pending_reads {
            if read_partition == partition {
                self.read(instance, incarnation, read_partition, from, sequence, true);
            } else {
                self.pending_reads
                    .push((instance, incarnation, read_partition, from, sequence));
            }
        }
    }

    fn handle_records(
        &mut self,
        instance: usize,
        partition: u32,
        sequence: u64,
        read: Option<LogRead>,
    ) {
        let state = &mut self.instances[instance];
        if state.read_sequence.get(&partition) != Some(&sequence) {
            return;
        }
        let Some(batcher) = state.batchers.get_mut(&partition) else {
            return;
        };
        let mut answers = Vec::new();
        if let Some(read) = read {
            batcher.skip_to(read.start, read.first_time_ms());
            for entry in &read.entries {
                let record = entry.record.clone();
                let record = record.and_then(|record| ClaimRecord::try_from(record).ok());
                let answers_of_record = batcher.read(entry.offset, entry.time_ms, record.as_ref());
                let is_in_order = answers_of_record.is_ok();
                answers.extend(answers_of_record.into_iter().flatten());
                self.report.check(
                    "orders: claim records are applied in offset order",
                    is_in_order,
                    || format!("offset {}", entry.offset),
                );
            }
            if batcher.next_offset() >= read.tail {
                batcher.set_caught_up();
            }
        }
        let incarnation = state.incarnation;
        for answer in answers {
            self.send_verdict(instance, answer.ticket, answer.verdict);
        }
        self.start_read(instance, partition);
        self.deliver_after(instance, incarnation, Duration::ZERO, Message::Tick);
    }

    fn handle_verdict(&mut self, instance: usize, call: u64, verdict: Verdict) {
        let Some(state) = self.instances[instance].calls.get_mut(&call) else {
            return;
        };
        if !state.is_waiting_for_verdict {
            return;
        }
        state.is_waiting_for_verdict = false;
        self.step_call(instance, call, AtMostOnceEvent::Ordered(verdict));
    }

    fn handle_call_event(
        &mut self,
        instance: usize,
        call: u64,
        attempt: u32,
        event: AtMostOnceEvent,
    ) {
        let state = self.instances[instance].calls.get(&call);
        if state.is_some_and(|state| state.attempt == attempt) {
            self.step_call(instance, call, event);
        }
    }

    fn step_call(&mut self, instance: usize, call: u64, event: AtMostOnceEvent) {
        let incarnation = self.instances[instance].incarnation;
        let origin = CallRef {
            call,
            instance,
            incarnation,
        };
        let Some(state) = self.instances[instance].calls.get_mut(&call) else {
            return;
        };
        if state.is_answered {
            return;
        }
        state.attempt += 1;
        let attempt = state.attempt;
        let order = state.order;
        let claim = state.machine.claim().clone();
        let step = match state.machine.step(self.schedule.now, event) {
            Ok(step) => step,
            Err(error) => {
                self.report
                    .check("orders: no internal invariant is violated", false, || {
                        error.to_string()
                    });
                return;
            }
        };
        self.report.check(
            "orders: no internal invariant is violated",
            true,
            String::new,
        );
        let is_release = matches!(step.action, AtMostOnceAction::Release);
        if let Some(record) = step.record {
            self.submit_record(origin, record, false);
        }
        if is_release && let Some(state) = self.instances[instance].calls.get_mut(&call) {
            state.is_waiting_for_verdict = true;
            let verdict = Verdict::Unavailable;
            let message = Message::Verdict { call, verdict };
            self.deliver_after(instance, incarnation, RELEASE_TIMEOUT, message);
        }
        match step.action {
            AtMostOnceAction::Release => {}
            AtMostOnceAction::LookUp => {
                let wait = self.schedule.latency();
                self.schedule.after(
                    wait,
                    Event::LookUp {
                        origin,
                        key: claim.key,
                    },
                );
                let event = AtMostOnceEvent::LookedUp(None);
                let message = Message::CallEvent {
                    call,
                    attempt,
                    event,
                };
                self.deliver_after(instance, incarnation, Duration::from_secs(2), message);
            }
            AtMostOnceAction::Place { pause } => {
                let placed = match self.schedule.chance(0.7) {
                    true => Err(Error::TableMissing),
                    false => Ok(()),
                };
                let event = AtMostOnceEvent::Placed(placed);
                let message = Message::CallEvent {
                    call,
                    attempt,
                    event,
                };
                self.deliver_after(instance, incarnation, pause, message);
            }
            AtMostOnceAction::Reply(reply) => {
                let Some(state) = self.instances[instance].calls.get_mut(&call) else {
                    return;
                };
                state.is_answered = true;
                let earlier_nonces = std::mem::take(&mut state.earlier_nonces);
                self.check_reply(order, &reply, &earlier_nonces);
            }
            AtMostOnceAction::Send { fencing } => self.dispatch(origin, attempt, &claim, fencing),
        }
    }

    /// Sends a call to the service. The connection may be refused before anything is sent;
    /// otherwise the call runs with or without an answer, possibly long after its sender's timeout
    /// or death.
    fn dispatch(&mut self, origin: CallRef, attempt: u32, claim: &Claim, fencing: u64) {
        let (instance, incarnation, call) = (origin.instance, origin.incarnation, origin.call);
        let draw = self.schedule.below(100);
        if draw < 10 {
            let message = Message::CallEvent {
                call,
                attempt,
                event: AtMostOnceEvent::NotSent,
            };
            let wait = self.schedule.latency();
            self.deliver_after(instance, incarnation, wait, message);
            self.report.fault("connection refused");
            return;
        }
        let answer = match draw < 25 {
            true => AnswerDelivery::Lost,
            false => AnswerDelivery::Delivered,
        };
        let wait = match draw {
            10..13 => self.schedule.millis(10_000, 900_000),
            _ => self.schedule.latency(),
        };
        if answer == AnswerDelivery::Lost {
            self.report.fault("run answer lost or late");
            let message = Message::CallEvent {
                call,
                attempt,
                event: AtMostOnceEvent::AnswerLost(Error::ResponseTimeout {
                    server: "service".into(),
                    timeout_ms: 10_000,
                }),
            };
            self.deliver_after(instance, incarnation, DISPATCH_TIMEOUT, message);
        }
        let event = Event::Run {
            origin,
            key: claim.key,
            nonce: claim.nonce,
            fencing,
            answer,
        };
        self.schedule.after(wait, event);
    }

    // ---- The service ----

    fn run_call(
        &mut self,
        origin: CallRef,
        key: KeyHash,
        nonce: u64,
        fencing: u64,
        answer: AnswerDelivery,
    ) {
        let checks_fencing = self.service.checks_fencing;
        let runs = self.service.runs.entry(key).or_default();
        let is_stale = runs.iter().any(|(_, known)| *known >= fencing);
        if checks_fencing && is_stale && !runs.is_empty() {
            return;
        }
        runs.push((nonce, fencing));
        let count = runs.len();
        self.report
            .check("orders: a key runs at most once", count <= 1, || {
                format!("key {key:x} ran {count} times")
            });
        for order in &self.orders {
            if order.key != key {
                continue;
            }
            let was_reported_not_run = order.reported_not_run.contains(&nonce);
            self.report.check(
                "orders: a call reported not-run never runs later",
                !was_reported_not_run,
                || format!("key {key:x} nonce {nonce:x}"),
            );
        }
        if answer == AnswerDelivery::Delivered {
            let event = AtMostOnceEvent::Answered(answer_of(key));
            self.reply_to(origin, event);
        }
    }

    fn look_up(&mut self, origin: CallRef, key: KeyHash) {
        let has_run = self.service.runs.contains_key(&key);
        let found = (self.service.has_lookup && has_run).then(|| answer_of(key));
        self.reply_to(origin, AtMostOnceEvent::LookedUp(found));
    }

    fn reply_to(&mut self, origin: CallRef, event: AtMostOnceEvent) {
        let state = self.instances[origin.instance].calls.get(&origin.call);
        let Some(attempt) = state.map(|state| state.attempt) else {
            return;
        };
        // The sender drops an answer to an attempt that it no longer waits for.
        let stage = state.map(|state| state.machine.stage());
        let is_expected = matches!(
            (&event, stage),
            (
                AtMostOnceEvent::Answered(_) | AtMostOnceEvent::LookedUp(_),
                Some(AtMostOnceStage::Sent { .. })
            ) | (
                AtMostOnceEvent::LookedUp(_),
                Some(AtMostOnceStage::LookingUp)
            )
        );
        if !is_expected {
            return;
        }
        let wait = self.schedule.millis(1, 20);
        let message = Message::CallEvent {
            call: origin.call,
            attempt,
            event,
        };
        self.deliver_after(origin.instance, origin.incarnation, wait, message);
    }

    // ---- Faults ----

    fn inject_fault(&mut self) {
        let now = self.schedule.now;
        let instance = self.schedule.below(self.instances.len());
        match self.schedule.below(8) {
            0 => self.kill(instance),
            1 => {
                self.report.fault("all instances replaced");
                for instance in 0..self.instances.len() {
                    self.kill(instance);
                }
            }
            2 | 3 => {
                self.report.fault("instance frozen");
                let time = self.schedule.millis(100, 400_000);
                self.instances[instance].frozen_until = now + time;
            }
            4 => {
                self.report.fault("instance disconnected from the log");
                let disconnected = !self.instances[instance].is_disconnected_from_log;
                self.instances[instance].is_disconnected_from_log = disconnected;
            }
            5 => {
                self.report.fault("instance disconnected from its peers");
                let disconnected = !self.instances[instance].is_disconnected_from_peers;
                self.instances[instance].is_disconnected_from_peers = disconnected;
            }
            _ => {
                self.report.fault("log outage");
                let time = self.schedule.millis(500, 120_000);
                self.log.outage_end = now + time;
            }
        }
    }

    /// Ends all faults, so that pending calls can complete.
    fn heal(&mut self) {
        self.log.outage_end = Duration::ZERO;
        for instance in 0..self.instances.len() {
            let state = &mut self.instances[instance];
            state.frozen_until = Duration::ZERO;
            state.is_disconnected_from_log = false;
            state.is_disconnected_from_peers = false;
            let partitions: Vec<u32> = state.batchers.keys().copied().collect();
            for partition in partitions {
                self.start_read(instance, partition);
            }
        }
    }

    /// Kills an instance and replaces it by a new one with empty state.
    fn kill(&mut self, instance: usize) {
        self.report.fault("instance killed");
        let incarnation = self.instances[instance].incarnation + 1;
        self.instances[instance] = Instance::new(incarnation);
    }
}

fn partition_of(key: KeyHash) -> u32 {
    ebonyspread::at_most_once::partition_of(key, PARTITIONS)
}

fn answer_of(key: KeyHash) -> RecordedAnswer {
    RecordedAnswer {
        body: Bytes::copy_from_slice(&key.to_le_bytes()),
        status: 201,
        ..RecordedAnswer::default()
    }
}
