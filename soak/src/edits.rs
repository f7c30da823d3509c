//! Table edits by several operators at once, at several instances: lost and late appends, log
//! outages and retention, instances that are killed, frozen, cut from the log or from each other.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyspread::table_log::TableLog;
use ebonyspread::table_log::TableRows;
use ebonyspread::wire;
use ebonyspread::wire::log_record::Body;
use rand::Rng;
use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64;

use crate::fake_log::FakeLog;
use crate::report::Report;
use crate::schedule::Schedule;

// One instance is never kept from the log for longer than this: what nobody can read within the
// retention is lost for good (docs/PROOFS.md).
const RETENTION: Duration = Duration::from_secs(2_400);
const SNAPSHOT_AGE: Duration = Duration::from_secs(800);
const IN_FORCE_WITHIN: Duration = Duration::from_secs(11);
const READ_WAIT: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(200);
const BEAT: Duration = Duration::from_millis(500);
const STREAM: u32 = 0;
const ROWS: usize = 6;
const PUBLISH_TRIES: u32 = 5;

#[derive(Debug, Clone)]
enum Event {
    Publish {
        operator: usize,
    },
    /// A record reaches the log.
    Append {
        record: wire::LogRecord,
    },
    /// The operator looks for its edit.
    Look {
        operator: usize,
    },
    /// An instance reads the log.
    Read {
        instance: usize,
        sequence: u64,
    },
    /// An instance beats its version to a peer.
    Beat {
        instance: usize,
        life: u64,
    },
    /// A version reaches a peer.
    Spread {
        instance: usize,
        life: u64,
        version: u64,
        rows: TableRows,
    },
    /// A snapshot reaches the log.
    Snapshot {
        instance: usize,
        life: u64,
        record: wire::LogRecord,
        version: u64,
    },
    /// An instance looks whether its snapshot may be confirmed.
    Confirm {
        instance: usize,
        life: u64,
        version: u64,
        offset: u64,
    },
    /// An edit accepted earlier has to be in force.
    Due {
        version: u64,
        accepted_at: Duration,
    },
    Fault,
    /// All faults end.
    Heal,
}

struct Instance {
    frozen_until: Duration,
    is_cut_from_log: bool,
    is_cut_from_peers: bool,
    life: u64,
    read_sequence: u64,
    snapshot_at: Duration,
    table: TableLog,
    /// The last time at which it was started, frozen or cut.
    disturbed_at: Duration,
}

struct Publication {
    edit: wire::TableEdit,
    tries_left: u32,
}

struct EditsWorld<'a> {
    end: Duration,
    instances: Vec<Instance>,
    log: FakeLog,
    log_disturbed_at: Duration,
    publications: BTreeMap<usize, Publication>,
    report: &'a mut Report,
    schedule: Schedule<Event>,
    /// Everything that ever was in the log, folded as it was appended.
    truth: TableLog,
    /// Hash of the rows of each version.
    truth_rows: BTreeMap<u64, u64>,
    told_conflict: Vec<u64>,
}

/// Runs one schedule.
pub fn run(seed: u64, report: &mut Report) {
    let mut schedule = Schedule::new(seed);
    let end = schedule.millis(30_000, 12_000_000);
    let instance_count = schedule.rng.random_range(2..6);
    let mut world = EditsWorld {
        end,
        instances: (0..instance_count)
            .map(|_| Instance::new(1, Duration::ZERO))
            .collect(),
        log: FakeLog::new(RETENTION),
        log_disturbed_at: Duration::ZERO,
        publications: BTreeMap::new(),
        report,
        schedule,
        truth: TableLog::default(),
        truth_rows: BTreeMap::new(),
        told_conflict: Vec::new(),
    };
    world.plan();
    while let Some(event) = world.schedule.pop() {
        world.step(event);
    }
    world.check_end();
}

impl Instance {
    fn new(life: u64, now: Duration) -> Self {
        Self {
            frozen_until: Duration::ZERO,
            is_cut_from_log: false,
            is_cut_from_peers: false,
            life,
            read_sequence: 0,
            snapshot_at: Duration::ZERO,
            table: TableLog::default(),
            disturbed_at: now,
        }
    }
}

impl EditsWorld<'_> {
    fn plan(&mut self) {
        let end_ms = self.end.as_millis() as u64;
        for _ in 0..self.schedule.rng.random_range(2..40) {
            let at = self.schedule.millis(0, end_ms);
            let operator = self.schedule.below(4);
            self.schedule.after(at, Event::Publish { operator });
            if self.schedule.chance(0.4) {
                let operator = (operator + 1) % 4;
                let at = at + self.schedule.millis(0, 20);
                self.schedule.after(at, Event::Publish { operator });
            }
        }
        for _ in 0..self.schedule.rng.random_range(0..10) {
            let at = self.schedule.millis(0, end_ms);
            self.schedule.after(at, Event::Fault);
        }
        self.schedule.after(self.end, Event::Heal);
        for instance in 0..self.instances.len() {
            self.start(instance);
        }
    }

    fn heal(&mut self) {
        self.log.out_until = Duration::ZERO;
        for instance in &mut self.instances {
            instance.frozen_until = Duration::ZERO;
            instance.is_cut_from_log = false;
            instance.is_cut_from_peers = false;
        }
        self.wake_readers();
    }

    fn start(&mut self, instance: usize) {
        let life = self.instances[instance].life;
        self.read_after(instance, Duration::from_millis(1));
        self.schedule.after(BEAT, Event::Beat { instance, life });
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Publish { operator } => self.publish(operator),
            Event::Append { record } => self.append(record),
            Event::Look { operator } => self.look(operator),
            Event::Read { instance, sequence } => self.read(instance, sequence),
            Event::Beat { instance, life } => self.beat(instance, life),
            Event::Spread {
                instance,
                life,
                version,
                rows,
            } => self.spread(instance, life, version, rows),
            Event::Confirm {
                instance,
                life,
                version,
                offset,
            } => self.confirm(instance, life, version, offset),
            Event::Due {
                version,
                accepted_at,
            } => self.due(version, accepted_at),
            Event::Snapshot {
                instance,
                life,
                record,
                version,
            } => self.snapshot(instance, life, record, version),
            Event::Fault => self.fault(),
            Event::Heal => self.heal(),
        }
    }

    // ---- Operators ----

    fn publish(&mut self, operator: usize) {
        if self.publications.contains_key(&operator) || self.log.is_out(self.schedule.now) {
            return;
        }
        let mut table = TableLog::default();
        if !self.read_to_tail(&mut table) {
            return;
        }
        let row = self.schedule.below(ROWS);
        let put = wire::TableFile {
            model_version: vec![wire::ModelVersionRow {
                model: format!("model-{row}"),
                weight: self.schedule.rng.random_range(1..1_000_000),
                ..Default::default()
            }],
            ..Default::default()
        };
        let edit = wire::TableEdit {
            base_version: table.version(),
            nonce: self.schedule.rng.next_u64(),
            operator: format!("operator-{operator}"),
            put: Some(put),
            removed: Vec::new(),
        };
        let publication = Publication {
            edit,
            tries_left: PUBLISH_TRIES,
        };
        self.publications.insert(operator, publication);
        self.send_edit(operator);
    }

    fn read_to_tail(&mut self, table: &mut TableLog) -> bool {
        loop {
            let read = self
                .log
                .read(self.schedule.now, STREAM, table.next_offset());
            table.skip_to(read.start);
            for entry in &read.entries {
                table.apply(entry);
            }
            if table.next_offset() >= read.tail {
                return true;
            }
        }
    }

    fn send_edit(&mut self, operator: usize) {
        let Some(publication) = self.publications.get_mut(&operator) else {
            return;
        };
        publication.tries_left -= 1;
        let record = wire::LogRecord {
            body: Some(Body::TableEdit(publication.edit.clone())),
        };
        self.send_append(record);
        let wait = self.schedule.millis(20, 2_500);
        self.schedule.after(wait, Event::Look { operator });
    }

    /// Sends an append that may be lost, or take effect long after its sender has given up.
    fn send_append(&mut self, record: wire::LogRecord) {
        let wait = match self.schedule.below(20) {
            0 => {
                self.report.fault("append lost");
                return;
            }
            1 => {
                self.report.fault("append's answer lost or late");
                self.schedule.millis(1_000, 60_000)
            }
            _ => self.schedule.millis(1, 15),
        };
        self.schedule.after(wait, Event::Append { record });
    }

    fn append(&mut self, record: wire::LogRecord) {
        let now = self.schedule.now;
        if self.log.is_out(now) {
            return;
        }
        let before = self.truth.version();
        self.log.append(now, STREAM, vec![record]);
        let read = self.log.read(now, STREAM, self.truth.next_offset());
        for entry in &read.entries {
            self.truth.apply(entry);
        }
        let version = self.truth.version();
        if version == before {
            return;
        }
        self.truth_rows
            .insert(version, hash_rows(self.truth.rows()));
        let accepted_at = now;
        let due = Event::Due {
            version,
            accepted_at,
        };
        self.schedule.after(IN_FORCE_WITHIN, due);
        let nonce = self.truth.history().last().map_or(0, |note| note.nonce);
        let was_refused = self.told_conflict.contains(&nonce);
        self.report.check(
            "edits: a refused edit is never accepted",
            !was_refused,
            || format!("version {version}"),
        );
        self.wake_readers();
    }

    fn wake_readers(&mut self) {
        for instance in 0..self.instances.len() {
            let wait = self.schedule.millis(1, 8);
            self.read_after(instance, wait);
        }
    }

    fn look(&mut self, operator: usize) {
        if self.log.is_out(self.schedule.now) {
            return self.look_again(operator);
        }
        let mut table = TableLog::default();
        self.read_to_tail(&mut table);
        let Some(publication) = self.publications.get(&operator) else {
            return;
        };
        let (nonce, base) = (publication.edit.nonce, publication.edit.base_version);
        if let Some(note) = table.find_edit(nonce) {
            let is_true = self.truth_rows.contains_key(&note.version);
            let version = note.version;
            self.report
                .check("edits: told accepted is accepted", is_true, || {
                    format!("version {version}")
                });
            self.publications.remove(&operator);
        } else if table.version() != base {
            self.told_conflict.push(nonce);
            self.publications.remove(&operator);
        } else {
            self.look_again(operator);
        }
    }

    fn look_again(&mut self, operator: usize) {
        let Some(publication) = self.publications.get(&operator) else {
            return;
        };
        if publication.tries_left == 0 {
            self.publications.remove(&operator);
            return;
        }
        self.send_edit(operator);
    }

    // ---- Instances ----

    fn is_stopped(&self, instance: usize, life: u64) -> bool {
        let state = &self.instances[instance];
        state.life != life || state.frozen_until > self.schedule.now
    }

    /// Plans the instance's next read; an earlier plan is dropped.
    fn read_after(&mut self, instance: usize, wait: Duration) {
        self.instances[instance].read_sequence += 1;
        let sequence = self.instances[instance].read_sequence;
        let event = Event::Read { instance, sequence };
        self.schedule.after(wait, event);
    }

    fn read(&mut self, instance: usize, sequence: u64) {
        let is_current = self.instances[instance].read_sequence == sequence;
        if !is_current || self.schedule.now > self.end + IN_FORCE_WITHIN * 2 {
            return;
        }
        let now = self.schedule.now;
        let state = &mut self.instances[instance];
        if state.frozen_until > now {
            let wait = state.frozen_until - now;
            self.read_after(instance, wait);
            return;
        }
        if state.is_cut_from_log || self.log.is_out(now) {
            self.read_after(instance, RETRY_PAUSE * 20);
            return;
        }
        let before = state.table.version();
        let read = self.log.read(now, STREAM, state.table.next_offset());
        state.table.skip_to(read.start);
        for entry in &read.entries {
            state.table.apply(entry);
        }
        self.check_version(instance, before);
        if self.instances[instance].table.next_offset() < read.tail {
            self.read_after(instance, RETRY_PAUSE);
        } else {
            self.read_after(instance, READ_WAIT);
        }
        self.write_snapshot_if_due(instance);
    }

    fn check_version(&mut self, instance: usize, before: u64) {
        let table = &self.instances[instance].table;
        let version = table.version();
        self.report
            .check("edits: version never decreases", version >= before, || {
                format!("instance {instance}: {before} to {version}")
            });
        if version == 0 {
            return;
        }
        let wanted = self.truth_rows.get(&version).copied();
        let held = hash_rows(table.rows());
        self.report.check(
            "edits: one version, one table",
            wanted == Some(held),
            || format!("instance {instance} version {version}"),
        );
    }

    fn beat(&mut self, instance: usize, life: u64) {
        if self.instances[instance].life != life
            || self.schedule.now > self.end + IN_FORCE_WITHIN * 2
        {
            return;
        }
        self.schedule.after(BEAT, Event::Beat { instance, life });
        if self.is_stopped(instance, life) || self.instances[instance].is_cut_from_peers {
            return;
        }
        let to = self.schedule.below(self.instances.len());
        let table = &self.instances[instance].table;
        // A peer asks for the table when it hears of a newer version; the answer may be overtaken.
        if table.version() == 0 || self.instances[to].is_cut_from_peers {
            return;
        }
        let event = Event::Spread {
            instance: to,
            life: self.instances[to].life,
            version: table.version(),
            rows: table.rows().clone(),
        };
        let wait = self.schedule.latency();
        self.schedule.after(wait, event);
    }

    fn spread(&mut self, instance: usize, life: u64, version: u64, rows: TableRows) {
        if self.is_stopped(instance, life) {
            return;
        }
        let table = &mut self.instances[instance].table;
        let before = table.version();
        table.adopt(version, rows);
        self.check_version(instance, before);
    }

    fn write_snapshot_if_due(&mut self, instance: usize) {
        let now = self.schedule.now;
        let state = &mut self.instances[instance];
        let is_due = state
            .table
            .needs_snapshot(FakeLog::time_ms(now), SNAPSHOT_AGE);
        if !is_due || now < state.snapshot_at || self.schedule.chance(0.7) {
            return;
        }
        state.snapshot_at = now + Duration::from_secs(30);
        let version = state.table.version();
        let record = wire::LogRecord {
            body: Some(Body::TableSnapshot(wire::TableSnapshot {
                version,
                table: Some(state.table.rows().clone()),
            })),
        };
        let life = state.life;
        // The write may reach the log after edits that were made meanwhile.
        let wait = match self.schedule.chance(0.5) {
            true => self.schedule.millis(1, 600_000),
            false => self.schedule.latency(),
        };
        let event = Event::Snapshot {
            instance,
            life,
            record,
            version,
        };
        self.schedule.after(wait, event);
    }

    fn snapshot(&mut self, instance: usize, life: u64, record: wire::LogRecord, version: u64) {
        let now = self.schedule.now;
        if self.log.is_out(now) {
            return;
        }
        let offset = self.log.append(now, STREAM, vec![record]);
        let read = self.log.read(now, STREAM, self.truth.next_offset());
        for entry in &read.entries {
            self.truth.apply(entry);
        }
        let wait = self.schedule.latency();
        let event = Event::Confirm {
            instance,
            life,
            version,
            offset,
        };
        self.schedule.after(wait, event);
    }

    fn confirm(&mut self, instance: usize, life: u64, version: u64, offset: u64) {
        if self.is_stopped(instance, life) || self.instances[instance].is_cut_from_log {
            return;
        }
        let mut checked = self.instances[instance].table.clone();
        let read = self
            .log
            .read(self.schedule.now, STREAM, checked.next_offset());
        if read.start > checked.next_offset() {
            return;
        }
        for entry in &read.entries {
            if entry.offset <= offset {
                checked.apply(entry);
            }
        }
        if checked.next_offset() <= offset || checked.version() != version {
            return;
        }
        let record = wire::LogRecord {
            body: Some(Body::SnapshotConfirmed(wire::SnapshotConfirmed {
                snapshot_offset: offset,
            })),
        };
        self.send_append(record);
    }

    /// An edit has to be in force at every instance that reached the log all the time since.
    fn due(&mut self, version: u64, accepted_at: Duration) {
        if self.log_disturbed_at >= accepted_at || self.log.is_out(self.schedule.now) {
            return;
        }
        for (index, instance) in self.instances.iter().enumerate() {
            let reached = !instance.is_cut_from_log
                && instance.disturbed_at < accepted_at
                && instance.frozen_until < accepted_at;
            if !reached {
                continue;
            }
            let held = instance.table.version();
            self.report
                .check("edits: in force within 11 s", held >= version, || {
                    format!("instance {index} has {held}, not {version}")
                });
        }
    }

    fn check_end(&mut self) {
        let wanted = self.truth.version();
        for (index, instance) in self.instances.iter().enumerate() {
            let held = instance.table.version();
            self.report.check(
                "edits: all end at the newest version",
                held == wanted,
                || format!("instance {index} has {held}, not {wanted}"),
            );
        }
    }

    fn fault(&mut self) {
        let now = self.schedule.now;
        // Instance 0 is killed like the others, but not kept from the log.
        let instance = self.schedule.below(self.instances.len());
        let kind = match instance {
            0 => self.schedule.below(1),
            _ => self.schedule.below(6),
        };
        match kind {
            0 => {
                self.report.fault("instance killed");
                let life = self.instances[instance].life + 1;
                let read_sequence = self.instances[instance].read_sequence;
                self.instances[instance] = Instance::new(life, now);
                self.instances[instance].read_sequence = read_sequence;
                self.start(instance);
                return;
            }
            1 => {
                self.report.fault("instance frozen");
                let time = self.schedule.millis(500, 900_000);
                self.instances[instance].frozen_until = now + time;
            }
            2 | 3 => {
                self.report.fault("instance cut from the log");
                let cut = !self.instances[instance].is_cut_from_log;
                self.instances[instance].is_cut_from_log = cut;
            }
            4 => {
                self.report.fault("instance cut from its peers");
                let cut = !self.instances[instance].is_cut_from_peers;
                self.instances[instance].is_cut_from_peers = cut;
            }
            _ => {
                self.report.fault("log outage");
                self.log.out_until = now + self.schedule.millis(500, 900_000);
                self.log_disturbed_at = self.log.out_until;
            }
        }
        self.instances[instance].disturbed_at = now;
    }
}

fn hash_rows(rows: &TableRows) -> u64 {
    let mut rows = rows.clone();
    ebonyspread::table_log::sort_rows(&mut rows);
    xxh3_64(format!("{rows:?}").as_bytes())
}
