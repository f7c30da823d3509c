//! Calls that may not be repeated, at several instances: kills, freezes past every timeout, cuts,
//! log outages, lost and late answers, keys sent again at once, late and with another body.

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
const GATHER_TIMEOUT: Duration = Duration::from_millis(1_500);
const DISPATCH_TIMEOUT: Duration = Duration::from_secs(10);
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);
const READ_TIMEOUT: Duration = Duration::from_secs(60);
const PARTITIONS: u32 = 2;

type Ticket = u64;

/// Who asked a gatherer.
#[derive(Debug, Clone, Copy)]
struct Asker {
    call: u64,
    instance: usize,
    life: u64,
}

#[derive(Debug, Clone)]
enum Event {
    /// A caller sends an order to an instance.
    Ask { order: usize, instance: usize },
    /// A message for one life of an instance.
    Deliver {
        instance: usize,
        life: u64,
        message: Message,
    },
    /// An append reaches the log.
    Append {
        instance: usize,
        life: u64,
        partition: u32,
        records: Vec<ClaimRecord>,
        answered: bool,
    },
    /// A read reaches the log.
    Read {
        instance: usize,
        life: u64,
        partition: u32,
        from: u64,
        sequence: u64,
        waits: bool,
    },
    /// A call reaches the service.
    Run {
        asker: Asker,
        key: KeyHash,
        nonce: u64,
        fencing: u64,
        answer: Fate,
    },
    /// A look-up reaches the service.
    LookUp { asker: Asker, key: KeyHash },
    /// A fault of the schedule.
    Fault,
    /// All faults end.
    Heal,
}

/// What becomes of a run's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Answered,
    Lost,
}

#[derive(Debug, Clone)]
enum Message {
    /// Timeout of a gatherer at another instance.
    GatherTimeout { call: u64 },
    /// A record for this instance's gatherer.
    Gather { asker: Asker, record: ClaimRecord },
    /// Verdict of a gatherer.
    Verdict { call: u64, verdict: Verdict },
    /// End of an append.
    Appended { partition: u32, succeeded: bool },
    /// Records read.
    Records {
        partition: u32,
        sequence: u64,
        read: Option<LogRead>,
    },
    /// Batches and timeouts are due.
    Tick,
    /// End of a dispatch or look-up.
    Happened {
        call: u64,
        attempt: u32,
        event: AtMostOnceEvent,
    },
}

struct Call {
    attempt: u32,
    /// Calls sent with the key up to this one.
    earlier: BTreeSet<u64>,
    is_answered: bool,
    is_waiting_for_verdict: bool,
    once: AtMostOnceCall,
    order: usize,
}

struct Instance {
    calls: HashMap<u64, Call>,
    frozen_until: Duration,
    batchers: BTreeMap<u32, ClaimBatcher>,
    is_alive: bool,
    is_cut_from_log: bool,
    is_cut_from_peers: bool,
    life: u64,
    read_sequence: BTreeMap<u32, u64>,
    tickets: HashMap<Ticket, Asker>,
}

impl Instance {
    fn new(life: u64) -> Self {
        Self {
            calls: HashMap::new(),
            frozen_until: Duration::ZERO,
            batchers: BTreeMap::new(),
            is_alive: true,
            is_cut_from_log: false,
            is_cut_from_peers: false,
            life,
            read_sequence: BTreeMap::new(),
            tickets: HashMap::new(),
        }
    }
}

struct Order {
    asks_left: u32,
    has_key: bool,
    is_done: bool,
    key: KeyHash,
    key_time_ms: u64,
    /// Nonces of all calls for the key so far.
    nonces: BTreeSet<u64>,
    /// Nonces of the calls that were said not to have run, and of those before them.
    said_not_run: BTreeSet<u64>,
}

/// The plain service: what ran, by key.
#[derive(Default)]
struct Service {
    checks_fencing: bool,
    has_look_up: bool,
    runs: HashMap<KeyHash, Vec<(u64, u64)>>,
}

struct OrdersWorld<'a> {
    faults_left: u32,
    instances: Vec<Instance>,
    log: FakeLog,
    next_call: u64,
    next_ticket: Ticket,
    orders: Vec<Order>,
    parked: Vec<(usize, u64, u32, u64, u64)>,
    report: &'a mut Report,
    schedule: Schedule<Event>,
    service: Service,
}

/// Runs one schedule.
pub fn run(seed: u64, report: &mut Report) {
    let mut schedule = Schedule::new(seed);
    let instance_count = schedule.rng.random_range(2..5);
    let order_count = schedule.rng.random_range(4..24);
    let mut world = OrdersWorld {
        faults_left: schedule.rng.random_range(0..12),
        instances: (0..instance_count).map(|_| Instance::new(1)).collect(),
        log: FakeLog::new(RETENTION),
        next_call: 0,
        next_ticket: 0,
        orders: Vec::new(),
        parked: Vec::new(),
        report,
        service: Service {
            checks_fencing: schedule.chance(0.5),
            has_look_up: schedule.chance(0.5),
            runs: HashMap::new(),
        },
        schedule,
    };
    world.plan(order_count);
    while let Some(event) = world.schedule.pop() {
        world.step(event);
    }
}

impl OrdersWorld<'_> {
    fn plan(&mut self, order_count: usize) {
        let span_ms = self.schedule.rng.random_range(2_000..2_400_000);
        for order in 0..order_count {
            let start = self.schedule.millis(0, span_ms);
            // Callers' clocks may be wrong by minutes.
            let skew_ms = match self.schedule.chance(0.2) {
                true => self.schedule.rng.random_range(0..900_000),
                false => 0,
            };
            let created_ms = FakeLog::time_ms(start) + skew_ms - 450_000 * u64::from(skew_ms > 0);
            self.orders.push(Order {
                asks_left: self.schedule.rng.random_range(1..6),
                has_key: self.schedule.chance(0.9),
                is_done: false,
                key: KeyHash::from(self.schedule.rng.next_u64()) << 64 | order as u128,
                key_time_ms: created_ms,
                nonces: BTreeSet::new(),
                said_not_run: BTreeSet::new(),
            });
            let has_key = self.orders[order].has_key;
            let copies = 1 + usize::from(has_key && self.schedule.chance(0.2));
            for _ in 0..copies {
                let instance = self.schedule.below(self.instances.len());
                let wait = start + self.schedule.latency();
                self.schedule.after(wait, Event::Ask { order, instance });
            }
        }
        self.schedule
            .after(Duration::from_millis(span_ms), Event::Heal);
        for _ in 0..self.faults_left {
            let at = self.schedule.millis(0, span_ms);
            self.schedule.after(at, Event::Fault);
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Ask { order, instance } => self.ask(order, instance),
            Event::Deliver {
                instance,
                life,
                message,
            } => self.deliver(instance, life, message),
            Event::Append {
                instance,
                life,
                partition,
                records,
                answered,
            } => self.append(instance, life, partition, records, answered),
            Event::Read {
                instance,
                life,
                partition,
                from,
                sequence,
                waits,
            } => self.read(instance, life, partition, from, sequence, waits),
            Event::Run {
                asker,
                key,
                nonce,
                fencing,
                answer,
            } => self.run_call(asker, key, nonce, fencing, answer),
            Event::LookUp { asker, key } => self.look_up(asker, key),
            Event::Fault => self.fault(),
            Event::Heal => self.heal(),
        }
    }

    // ---- Callers ----

    fn ask(&mut self, order: usize, instance: usize) {
        if self.orders[order].is_done {
            return;
        }
        if !self.instances[instance].is_alive || self.is_frozen(instance) {
            self.ask_again(order);
            return;
        }
        let life = self.instances[instance].life;
        let nonce = self.schedule.rng.next_u64();
        let is_other_body = self.schedule.chance(0.03);
        let order_state = &mut self.orders[order];
        order_state.nonces.insert(nonce);
        let claim = Claim {
            body_hash: u64::from(is_other_body),
            holder: format!("instance-{instance}").into(),
            key: order_state.key,
            key_time_ms: order_state.key_time_ms,
            nonce,
        };
        let is_own_key = !order_state.has_key && order_state.nonces.len() == 1;
        let earlier = order_state.nonces.clone();
        self.next_call += 1;
        let call = self.next_call;
        self.instances[instance].calls.insert(
            call,
            Call {
                attempt: 0,
                earlier,
                is_answered: false,
                is_waiting_for_verdict: true,
                once: AtMostOnceCall::new(self.schedule.now, claim.clone(), is_own_key, KEY_WINDOW),
                order,
            },
        );
        let asker = Asker {
            call,
            instance,
            life,
        };
        self.order_record(asker, ClaimRecord::Claim(claim), true);
        // The caller comes back even if it is never answered.
        self.ask_again(order);
    }

    fn ask_again(&mut self, order: usize) {
        let state = &mut self.orders[order];
        if state.asks_left == 0 || !state.has_key {
            return;
        }
        state.asks_left -= 1;
        let wait = match self.schedule.below(10) {
            0 => self.schedule.millis(300_000, 3_000_000),
            1..=3 => self.schedule.millis(1, 300),
            _ => self.schedule.millis(300, 30_000),
        };
        let instance = self.schedule.below(self.instances.len());
        self.schedule.after(wait, Event::Ask { order, instance });
    }

    /// The instance tells the caller an outcome; it is checked whether or not it gets there.
    ///
    /// `earlier` are the calls that had been sent with the key when this one was accepted.
    fn tell(&mut self, order: usize, reply: &AtMostOnceReply, earlier: &BTreeSet<u64>) {
        let state = &mut self.orders[order];
        let runs = self.service.runs.get(&state.key).map_or(0, Vec::len);
        let early = self.service.runs.get(&state.key).into_iter().flatten();
        let early_runs = early.filter(|(nonce, _)| earlier.contains(nonce)).count();
        let answer = match reply {
            AtMostOnceReply::Answer => None,
            AtMostOnceReply::Error(error) => {
                if error.outcome() == Outcome::NotRun {
                    state.said_not_run.extend(earlier.iter().copied());
                    self.report
                        .check("orders: said not run, had not run", early_runs == 0, || {
                            format!("key {:x} ran {early_runs} times: {error}", state.key)
                        });
                }
                if matches!(error, Error::Invariant { .. }) {
                    self.report
                        .check("orders: invariants inside", false, || error.to_string());
                }
                return;
            }
            AtMostOnceReply::Replay(answer) => Some(answer),
        };
        state.is_done = true;
        let own = answer.is_none_or(|answer| answer.body == state.key.to_le_bytes().as_slice());
        self.report
            .check("orders: answer is the key's own", own, || {
                format!("key {:x}", state.key)
            });
        self.report
            .check("orders: answered means it ran", runs > 0, || {
                format!("key {:x}", state.key)
            });
    }

    // ---- Instances ----

    fn is_frozen(&self, instance: usize) -> bool {
        self.instances[instance].frozen_until > self.schedule.now
    }

    fn deliver(&mut self, instance: usize, life: u64, message: Message) {
        let state = &self.instances[instance];
        if !state.is_alive || state.life != life {
            return;
        }
        if self.is_frozen(instance) {
            let wait = state.frozen_until - self.schedule.now;
            let event = Event::Deliver {
                instance,
                life,
                message,
            };
            self.schedule.after(wait, event);
            return;
        }
        match message {
            Message::GatherTimeout { call } => self.gather_here_after_timeout(instance, call),
            Message::Gather { asker, record } => self.gather(instance, asker, record),
            Message::Verdict { call, verdict } => self.take_verdict(instance, call, verdict),
            Message::Appended {
                partition,
                succeeded,
            } => self.appended(instance, partition, succeeded),
            Message::Records {
                partition,
                sequence,
                read,
            } => self.take_records(instance, partition, sequence, read),
            Message::Tick => self.tick(instance),
            Message::Happened {
                call,
                attempt,
                event,
            } => self.happened(instance, call, attempt, event),
        }
    }

    fn send_here(&mut self, instance: usize, life: u64, wait: Duration, message: Message) {
        let event = Event::Deliver {
            instance,
            life,
            message,
        };
        self.schedule.after(wait, event);
    }

    /// Sends between instances, over a network that loses and delays.
    fn send_peer(&mut self, from: usize, to: usize, message: Message) {
        let is_cut = self.instances[from].is_cut_from_peers || self.instances[to].is_cut_from_peers;
        if from != to && (is_cut || self.schedule.chance(0.01)) {
            return;
        }
        let wait = match from == to {
            true => Duration::ZERO,
            false => self.schedule.latency(),
        };
        let life = self.instances[to].life;
        self.send_here(to, life, wait, message);
    }

    /// Orders a record through the partition's gatherer; a claim falls back to this instance.
    fn order_record(&mut self, asker: Asker, record: ClaimRecord, waits: bool) {
        let partition = partition_of(record.key());
        let home = match self.schedule.chance(0.2) {
            true => self.schedule.below(self.instances.len()),
            false => partition as usize % self.instances.len(),
        };
        self.send_peer(asker.instance, home, Message::Gather { asker, record });
        if waits && home != asker.instance {
            let message = Message::GatherTimeout { call: asker.call };
            self.send_here(asker.instance, asker.life, GATHER_TIMEOUT, message);
        }
    }

    fn gather_here_after_timeout(&mut self, instance: usize, call: u64) {
        let life = self.instances[instance].life;
        let Some(state) = self.instances[instance].calls.get(&call) else {
            return;
        };
        if !state.is_waiting_for_verdict {
            return;
        }
        let record = ClaimRecord::Claim(state.once.claim().clone());
        let asker = Asker {
            call,
            instance,
            life,
        };
        self.gather(instance, asker, record);
    }

    fn gather(&mut self, instance: usize, asker: Asker, record: ClaimRecord) {
        let partition = partition_of(record.key());
        if let Entry::Vacant(vacant) = self.instances[instance].batchers.entry(partition) {
            vacant.insert(ClaimBatcher::new(KEY_WINDOW, BATCH_WINDOW));
            self.read_on(instance, partition);
        }
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let now = self.schedule.now;
        let state = &mut self.instances[instance];
        let life = state.life;
        state.tickets.insert(ticket, asker);
        let batcher = state.batchers.get_mut(&partition);
        let settled = batcher.and_then(|batcher| batcher.submit(now, ticket, record));
        if let Some(verdict) = settled {
            self.answer(instance, ticket, verdict);
            return;
        }
        self.send_here(instance, life, BATCH_WINDOW, Message::Tick);
        self.send_here(instance, life, CLAIM_TIMEOUT, Message::Tick);
    }

    fn answer(&mut self, instance: usize, ticket: Ticket, verdict: Verdict) {
        let Some(asker) = self.instances[instance].tickets.remove(&ticket) else {
            return;
        };
        if self.instances[asker.instance].life != asker.life {
            return;
        }
        let message = Message::Verdict {
            call: asker.call,
            verdict,
        };
        self.send_peer(instance, asker.instance, message);
    }

    fn tick(&mut self, instance: usize) {
        let now = self.schedule.now;
        let life = self.instances[instance].life;
        let mut batches = Vec::new();
        let mut expired = Vec::new();
        for (partition, batcher) in &mut self.instances[instance].batchers {
            if let Some(records) = batcher.next_batch(now) {
                batches.push((*partition, records));
            }
            expired.extend(batcher.expire(now));
        }
        for (partition, records) in batches {
            self.send_append(instance, life, partition, records);
        }
        for answer in expired {
            self.answer(instance, answer.ticket, answer.verdict);
        }
    }

    /// Sends an append: it may be lost, take effect without an answer, or take effect after its
    /// sender has given up.
    fn send_append(
        &mut self,
        instance: usize,
        life: u64,
        partition: u32,
        records: Vec<ClaimRecord>,
    ) {
        let fate = self.schedule.below(100);
        let is_lost = self.instances[instance].is_cut_from_log || fate < 2;
        if is_lost || fate < 6 {
            let message = Message::Appended {
                partition,
                succeeded: false,
            };
            self.send_here(instance, life, APPEND_TIMEOUT, message);
        }
        if is_lost {
            self.report.fault("append lost");
            return;
        }
        let answered = fate >= 6;
        let wait = match fate {
            2..4 => self.schedule.millis(2_000, 60_000),
            _ => self.schedule.latency().min(APPEND_TIMEOUT),
        };
        if !answered {
            self.report.fault("append's answer lost or late");
        }
        let event = Event::Append {
            instance,
            life,
            partition,
            records,
            answered,
        };
        self.schedule.after(wait, event);
    }

    fn append(
        &mut self,
        instance: usize,
        life: u64,
        partition: u32,
        records: Vec<ClaimRecord>,
        answered: bool,
    ) {
        let now = self.schedule.now;
        let is_out = self.log.is_out(now);
        if !is_out {
            let records = records.iter().map(wire::LogRecord::from).collect();
            self.log.append(now, partition, records);
            self.wake_readers(partition);
        }
        if answered {
            let wait = self.schedule.millis(1, 5);
            let message = Message::Appended {
                partition,
                succeeded: !is_out,
            };
            self.send_here(instance, life, wait, message);
        }
    }

    fn appended(&mut self, instance: usize, partition: u32, succeeded: bool) {
        let now = self.schedule.now;
        let life = self.instances[instance].life;
        if let Some(batcher) = self.instances[instance].batchers.get_mut(&partition) {
            batcher.finish_append(now, succeeded);
        }
        let wait = match succeeded {
            true => BATCH_WINDOW,
            false => Duration::from_millis(200),
        };
        self.send_here(instance, life, wait, Message::Tick);
    }

    fn read_on(&mut self, instance: usize, partition: u32) {
        let state = &mut self.instances[instance];
        let Some(batcher) = state.batchers.get(&partition) else {
            return;
        };
        let sequence = state.read_sequence.entry(partition).or_default();
        *sequence += 1;
        let (from, life, sequence) = (batcher.next_offset(), state.life, *sequence);
        let waits = batcher.is_caught_up();
        let is_cut = state.is_cut_from_log;
        // Idle reads end with the schedule's work, so that the schedule ends.
        let has_work = !state.tickets.is_empty();
        if has_work || !waits {
            let message = Message::Records {
                partition,
                read: None,
                sequence,
            };
            let wait = match is_cut || self.log.is_out(self.schedule.now) {
                true => Duration::from_millis(200),
                false => READ_TIMEOUT,
            };
            self.send_here(instance, life, wait, message);
        }
        if is_cut {
            return;
        }
        let wait = self.schedule.millis(1, 5);
        let event = Event::Read {
            instance,
            life,
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
        life: u64,
        partition: u32,
        from: u64,
        sequence: u64,
        waits: bool,
    ) {
        if self.instances[instance].life != life {
            return;
        }
        let now = self.schedule.now;
        if self.log.is_out(now) {
            return;
        }
        let read = self.log.read(now, partition, from);
        if waits && read.entries.is_empty() && read.start <= from {
            self.parked
                .push((instance, life, partition, from, sequence));
            return;
        }
        let message = Message::Records {
            partition,
            sequence,
            read: Some(read),
        };
        let wait = self.schedule.millis(1, 5);
        self.send_here(instance, life, wait, message);
    }

    fn wake_readers(&mut self, partition: u32) {
        let parked = std::mem::take(&mut self.parked);
        for (instance, life, of, from, sequence) in parked {
            if of == partition {
                self.read(instance, life, of, from, sequence, true);
            } else {
                self.parked.push((instance, life, of, from, sequence));
            }
        }
    }

    fn take_records(
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
                let folded = batcher.read(entry.offset, entry.time_ms, record.as_ref());
                let is_folded = folded.is_ok();
                answers.extend(folded.into_iter().flatten());
                self.report
                    .check("orders: claims fold in order", is_folded, || {
                        format!("offset {}", entry.offset)
                    });
            }
            if batcher.next_offset() >= read.tail {
                batcher.set_caught_up();
            }
        }
        let life = state.life;
        for answer in answers {
            self.answer(instance, answer.ticket, answer.verdict);
        }
        self.read_on(instance, partition);
        self.send_here(instance, life, Duration::ZERO, Message::Tick);
    }

    fn take_verdict(&mut self, instance: usize, call: u64, verdict: Verdict) {
        let Some(state) = self.instances[instance].calls.get_mut(&call) else {
            return;
        };
        if !state.is_waiting_for_verdict {
            return;
        }
        state.is_waiting_for_verdict = false;
        self.step_call(instance, call, AtMostOnceEvent::Ordered(verdict));
    }

    fn happened(&mut self, instance: usize, call: u64, attempt: u32, event: AtMostOnceEvent) {
        let state = self.instances[instance].calls.get(&call);
        if state.is_some_and(|state| state.attempt == attempt) {
            self.step_call(instance, call, event);
        }
    }

    fn step_call(&mut self, instance: usize, call: u64, event: AtMostOnceEvent) {
        let life = self.instances[instance].life;
        let asker = Asker {
            call,
            instance,
            life,
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
        let claim = state.once.claim().clone();
        let step = match state.once.step(self.schedule.now, event) {
            Ok(step) => step,
            Err(error) => {
                self.report
                    .check("orders: invariants inside", false, || error.to_string());
                return;
            }
        };
        self.report
            .check("orders: invariants inside", true, String::new);
        let is_release = matches!(step.action, AtMostOnceAction::Release);
        if let Some(record) = step.record {
            self.order_record(asker, record, false);
        }
        if is_release && let Some(state) = self.instances[instance].calls.get_mut(&call) {
            state.is_waiting_for_verdict = true;
            let verdict = Verdict::Unavailable;
            let message = Message::Verdict { call, verdict };
            self.send_here(instance, life, RELEASE_TIMEOUT, message);
        }
        match step.action {
            AtMostOnceAction::Release => {}
            AtMostOnceAction::LookUp => {
                let wait = self.schedule.latency();
                self.schedule.after(
                    wait,
                    Event::LookUp {
                        asker,
                        key: claim.key,
                    },
                );
                let event = AtMostOnceEvent::LookedUp(None);
                let message = Message::Happened {
                    call,
                    attempt,
                    event,
                };
                self.send_here(instance, life, Duration::from_secs(2), message);
            }
            AtMostOnceAction::Place { pause } => {
                let placed = match self.schedule.chance(0.7) {
                    true => Err(Error::TableMissing),
                    false => Ok(()),
                };
                let event = AtMostOnceEvent::Placed(placed);
                let message = Message::Happened {
                    call,
                    attempt,
                    event,
                };
                self.send_here(instance, life, pause, message);
            }
            AtMostOnceAction::Reply(reply) => {
                let Some(state) = self.instances[instance].calls.get_mut(&call) else {
                    return;
                };
                state.is_answered = true;
                let earlier = std::mem::take(&mut state.earlier);
                self.tell(order, &reply, &earlier);
            }
            AtMostOnceAction::Send { fencing } => self.dispatch(asker, attempt, &claim, fencing),
        }
    }

    /// Sends a call to the service. It may be refused unsent, run with or without an answer, or
    /// run long after its sender has given up or died.
    fn dispatch(&mut self, asker: Asker, attempt: u32, claim: &Claim, fencing: u64) {
        let (instance, life, call) = (asker.instance, asker.life, asker.call);
        let fate = self.schedule.below(100);
        if fate < 10 {
            let message = Message::Happened {
                call,
                attempt,
                event: AtMostOnceEvent::NotSent,
            };
            let wait = self.schedule.latency();
            self.send_here(instance, life, wait, message);
            self.report.fault("connection refused");
            return;
        }
        let answer = match fate < 25 {
            true => Fate::Lost,
            false => Fate::Answered,
        };
        let wait = match fate {
            10..13 => self.schedule.millis(10_000, 900_000),
            _ => self.schedule.latency(),
        };
        if answer == Fate::Lost {
            self.report.fault("answer of a run lost or late");
            let message = Message::Happened {
                call,
                attempt,
                event: AtMostOnceEvent::AnswerLost(Error::ResponseTimeout {
                    server: "service".into(),
                    timeout_ms: 10_000,
                }),
            };
            self.send_here(instance, life, DISPATCH_TIMEOUT, message);
        }
        let event = Event::Run {
            asker,
            key: claim.key,
            nonce: claim.nonce,
            fencing,
            answer,
        };
        self.schedule.after(wait, event);
    }

    // ---- The service ----

    fn run_call(&mut self, asker: Asker, key: KeyHash, nonce: u64, fencing: u64, answer: Fate) {
        let checks_fencing = self.service.checks_fencing;
        let runs = self.service.runs.entry(key).or_default();
        let is_old = runs.iter().any(|(_, known)| *known >= fencing);
        if checks_fencing && is_old && !runs.is_empty() {
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
            let was_denied = order.said_not_run.contains(&nonce);
            self.report
                .check("orders: said not run, never runs", !was_denied, || {
                    format!("key {key:x} nonce {nonce:x}")
                });
        }
        if answer == Fate::Answered {
            let event = AtMostOnceEvent::Answered(answer_of(key));
            self.reply_to(asker, event);
        }
    }

    fn look_up(&mut self, asker: Asker, key: KeyHash) {
        let has_run = self.service.runs.contains_key(&key);
        let found = (self.service.has_look_up && has_run).then(|| answer_of(key));
        self.reply_to(asker, AtMostOnceEvent::LookedUp(found));
    }

    fn reply_to(&mut self, asker: Asker, event: AtMostOnceEvent) {
        let state = self.instances[asker.instance].calls.get(&asker.call);
        let Some(attempt) = state.map(|state| state.attempt) else {
            return;
        };
        // An answer to an attempt that its sender has given up finds no reader.
        let stage = state.map(|state| state.once.stage());
        let fits = matches!(
            (&event, stage),
            (
                AtMostOnceEvent::Answered(_) | AtMostOnceEvent::LookedUp(_),
                Some(AtMostOnceStage::Sent { .. })
            ) | (
                AtMostOnceEvent::LookedUp(_),
                Some(AtMostOnceStage::LookingUp)
            )
        );
        if !fits {
            return;
        }
        let wait = self.schedule.millis(1, 20);
        let message = Message::Happened {
            call: asker.call,
            attempt,
            event,
        };
        self.send_here(asker.instance, asker.life, wait, message);
    }

    // ---- Faults ----

    fn fault(&mut self) {
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
                self.report.fault("instance cut from the log");
                let cut = !self.instances[instance].is_cut_from_log;
                self.instances[instance].is_cut_from_log = cut;
            }
            5 => {
                self.report.fault("instance cut from its peers");
                let cut = !self.instances[instance].is_cut_from_peers;
                self.instances[instance].is_cut_from_peers = cut;
            }
            _ => {
                self.report.fault("log outage");
                let time = self.schedule.millis(500, 120_000);
                self.log.out_until = now + time;
            }
        }
    }

    /// Ends all faults, so that what still waits can end too.
    fn heal(&mut self) {
        self.log.out_until = Duration::ZERO;
        for instance in 0..self.instances.len() {
            let state = &mut self.instances[instance];
            state.frozen_until = Duration::ZERO;
            state.is_cut_from_log = false;
            state.is_cut_from_peers = false;
            let partitions: Vec<u32> = state.batchers.keys().copied().collect();
            for partition in partitions {
                self.read_on(instance, partition);
            }
        }
    }

    /// Kills an instance; a new one takes its place with nothing.
    fn kill(&mut self, instance: usize) {
        self.report.fault("instance killed");
        let life = self.instances[instance].life + 1;
        self.instances[instance] = Instance::new(life);
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
