//! Simulates concurrent table edits by several operators, read by several instances. Faults: lost
//! and late appends, log outages, records dropped by retention, and instances that are killed,
//! frozen, or disconnected from the log or from their peers.

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

// Records that no instance reads within the retention are lost permanently (docs/PROOFS.md), so one
// instance is never disconnected from the log for longer than this.
const RETENTION: Duration = Duration::from_secs(2_400);
const SNAPSHOT_AGE: Duration = Duration::from_secs(800);
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(11);
const READ_INTERVAL: Duration = Duration::from_secs(5);
const RETRY_DELAY: Duration = Duration::from_millis(200);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const STREAM: u32 = 0;
const ROWS: usize = 6;
const PUBLISH_ATTEMPTS: u32 = 5;

#[derive(Debug, Clone)]
enum Event {
    Publish {
        operator: usize,
    },
    /// A record reaches the log.
    Append {
        record: wire::LogRecord,
    },
    /// An operator checks whether its edit was accepted.
    CheckPublication {
        operator: usize,
    },
    /// An instance reads the log.
    Read {
        instance: usize,
        sequence: u64,
    },
    /// An instance sends its table to a random peer.
    Heartbeat {
        instance: usize,
        incarnation: u64,
    },
    /// A table reaches a peer.
    AdoptTable {
        instance: usize,
        incarnation: u64,
        version: u64,
        rows: TableRows,
    },
    /// A snapshot reaches the log.
    Snapshot {
        instance: usize,
        incarnation: u64,
        record: wire::LogRecord,
        version: u64,
    },
    /// An instance checks whether its snapshot may be confirmed.
    Confirm {
        instance: usize,
        incarnation: u64,
        version: u64,
        offset: u64,
    },
    /// An accepted edit must be in force by now.
    CheckInForce {
        version: u64,
        accepted_at: Duration,
    },
    /// A random fault starts.
    Fault,
    /// All faults end.
    Heal,
}

struct Instance {
    frozen_until: Duration,
    incarnation: u64,
    is_disconnected_from_log: bool,
    is_disconnected_from_peers: bool,
    /// Time of the last start or injected fault.
    last_fault_at: Duration,
    /// Earliest time of the next snapshot.
    next_snapshot_at: Duration,
    read_sequence: u64,
    table: TableLog,
}

struct Publication {
    edit: wire::TableEdit,
    tries_left: u32,
}

struct EditsWorld<'a> {
    end: Duration,
    instances: Vec<Instance>,
    log: FakeLog,
    log_outage_end: Duration,
    publications: BTreeMap<usize, Publication>,
    /// Reference state: every record is applied to it at once when it is appended.
    reference: TableLog,
    /// Hash of the rows of each version.
    reference_rows: BTreeMap<u64, u64>,
    /// Nonces of the edits that were reported as conflicting.
    refused_nonces: Vec<u64>,
    report: &'a mut Report,
    schedule: Schedule<Event>,
}

/// Simulates one schedule and records its checks in the report.
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
        log_outage_end: Duration::ZERO,
        publications: BTreeMap::new(),
        reference: TableLog::default(),
        reference_rows: BTreeMap::new(),
        refused_nonces: Vec::new(),
        report,
        schedule,
    };
    world.schedule_workload();
    while let Some(event) = world.schedule.pop() {
        world.step(event);
    }
    world.check_final_versions();
}

impl Instance {
    fn new(incarnation: u64, now: Duration) -> Self {
        Self {
            frozen_until: Duration::ZERO,
            incarnation,
            is_disconnected_from_log: false,
            is_disconnected_from_peers: false,
            last_fault_at: now,
            next_snapshot_at: Duration::ZERO,
            read_sequence: 0,
            table: TableLog::default(),
        }
    }
}

impl EditsWorld<'_> {
    fn schedule_workload(&mut self) {
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
            self.start_instance(instance);
        }
    }

    fn heal(&mut self) {
        self.log.outage_end = Duration::ZERO;
        for instance in &mut self.instances {
            instance.frozen_until = Duration::ZERO;
            instance.is_disconnected_from_log = false;
            instance.is_disconnected_from_peers = false;
        }
        self.schedule_reads();
    }

    fn start_instance(&mut self, instance: usize) {
        let incarnation = self.instances[instance].incarnation;
        self.schedule_read(instance, Duration::from_millis(1));
        self.schedule.after(
            HEARTBEAT_INTERVAL,
            Event::Heartbeat {
                instance,
                incarnation,
            },
        );
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Publish { operator } => self.publish(operator),
            Event::Append { record } => self.append(record),
            Event::CheckPublication { operator } => self.check_publication(operator),
            Event::Read { instance, sequence } => self.read(instance, sequence),
            Event::Heartbeat {
                instance,
                incarnation,
            } => self.send_heartbeat(instance, incarnation),
            Event::AdoptTable {
                instance,
                incarnation,
                version,
                rows,
            } => self.adopt_table(instance, incarnation, version, rows),
            Event::Confirm {
                instance,
                incarnation,
                version,
                offset,
            } => self.confirm(instance, incarnation, version, offset),
            Event::CheckInForce {
                version,
                accepted_at,
            } => self.check_in_force(version, accepted_at),
            Event::Snapshot {
                instance,
                incarnation,
                record,
                version,
            } => self.snapshot(instance, incarnation, record, version),
            Event::Fault => self.inject_fault(),
            Event::Heal => self.heal(),
        }
    }

    // ---- Operators ----

    fn publish(&mut self, operator: usize) {
        if self.publications.contains_key(&operator) || self.log.is_unavailable(self.schedule.now) {
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
            tries_left: PUBLISH_ATTEMPTS,
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
        self.schedule
            .after(wait, Event::CheckPublication { operator });
    }

    /// Sends an append, which may be lost or take effect long after its sender's timeout.
    fn send_append(&mut self, record: wire::LogRecord) {
        let wait = match self.schedule.below(20) {
            0 => {
                self.report.fault("append lost");
                return;
            }
            1 => {
                self.report.fault("append answer lost or late");
                self.schedule.millis(1_000, 60_000)
            }
            _ => self.schedule.millis(1, 15),
        };
        self.schedule.after(wait, Event::Append { record });
    }

    fn append(&mut self, record: wire::LogRecord) {
        let now = self.schedule.now;
        if self.log.is_unavailable(now) {
            return;
        }
        let before = self.reference.version();
        self.log.append(now, STREAM, vec![record]);
        let read = self.log.read(now, STREAM, self.reference.next_offset());
        for entry in &read.entries {
            self.reference.apply(entry);
        }
        let version = self.reference.version();
        if version == before {
            return;
        }
        self.reference_rows
            .insert(version, hash_rows(self.reference.rows()));
        let accepted_at = now;
        let due = Event::CheckInForce {
            version,
            accepted_at,
        };
        self.schedule.after(IN_FORCE_TIMEOUT, due);
        let nonce = self
            .reference
            .history()
            .last()
            .map_or(0, |summary| summary.nonce);
        let was_refused = self.refused_nonces.contains(&nonce);
        self.report.check(
            "edits: a refused edit is never accepted",
            !was_refused,
            || format!("version {version}"),
        );
        self.schedule_reads();
    }

    fn schedule_reads(&mut self) {
        for instance in 0..self.instances.len() {
            let wait = self.schedule.millis(1, 8);
            self.schedule_read(instance, wait);
        }
    }

    fn check_publication(&mut self, operator: usize) {
        if self.log.is_unavailable(self.schedule.now) {
            return self.retry_publication(operator);
        }
        let mut table = TableLog::default();
        self.read_to_tail(&mut table);
        let Some(publication) = self.publications.get(&operator) else {
            return;
        };
        let (nonce, base) = (publication.edit.nonce, publication.edit.base_version);
        if let Some(summary) = table.find_edit(nonce) {
            let is_known = self.reference_rows.contains_key(&summary.version);
            let version = summary.version;
            self.report.check(
                "edits: an edit reported accepted was accepted",
                is_known,
                || format!("version {version}"),
            );
            self.publications.remove(&operator);
        } else if table.version() != base {
            self.refused_nonces.push(nonce);
            self.publications.remove(&operator);
        } else {
            self.retry_publication(operator);
        }
    }

    fn retry_publication(&mut self, operator: usize) {
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

    fn is_stopped(&self, instance: usize, incarnation: u64) -> bool {
        let state = &self.instances[instance];
        state.incarnation != incarnation || state.frozen_until > self.schedule.now
    }

    /// Schedules the instance's next read and cancels the one scheduled before.
    fn schedule_read(&mut self, instance: usize, wait: Duration) {
        self.instances[instance].read_sequence += 1;
        let sequence = self.instances[instance].read_sequence;
        let event = Event::Read { instance, sequence };
        self.schedule.after(wait, event);
    }

    fn read(&mut self, instance: usize, sequence: u64) {
        let is_current = self.instances[instance].read_sequence == sequence;
        if !is_current || self.schedule.now > self.end + IN_FORCE_TIMEOUT * 2 {
            return;
        }
        let now = self.schedule.now;
        let state = &mut self.instances[instance];
        if state.frozen_until > now {
            let wait = state.frozen_until - now;
            self.schedule_read(instance, wait);
            return;
        }
        if state.is_disconnected_from_log || self.log.is_unavailable(now) {
            self.schedule_read(instance, RETRY_DELAY * 20);
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
            self.schedule_read(instance, RETRY_DELAY);
        } else {
            self.schedule_read(instance, READ_INTERVAL);
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
        let expected = self.reference_rows.get(&version).copied();
        let actual = hash_rows(table.rows());
        self.report.check(
            "edits: equal versions have equal rows",
            expected == Some(actual),
            || format!("instance {instance} version {version}"),
        );
    }

    fn send_heartbeat(&mut self, instance: usize, incarnation: u64) {
        if self.instances[instance].incarnation != incarnation
            || self.schedule.now > self.end + IN_FORCE_TIMEOUT * 2
        {
            return;
        }
        self.schedule.after(
            HEARTBEAT_INTERVAL,
            Event::Heartbeat {
                instance,
                incarnation,
            },
        );
        if self.is_stopped(instance, incarnation)
            || self.instances[instance].is_disconnected_from_peers
        {
            return;
        }
        let to = self.schedule.below(self.instances.len());
        let table = &self.instances[instance].table;
        // Heartbeat, request and answer are simulated as one message. It may arrive after a newer
        // version.
        if table.version() == 0 || self.instances[to].is_disconnected_from_peers {
            return;
        }
        let event = Event::AdoptTable {
            instance: to,
            incarnation: self.instances[to].incarnation,
            version: table.version(),
            rows: table.rows().clone(),
        };
        let wait = self.schedule.latency();
        self.schedule.after(wait, event);
    }

    fn adopt_table(&mut self, instance: usize, incarnation: u64, version: u64, rows: TableRows) {
        if self.is_stopped(instance, incarnation) {
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
        if !is_due || now < state.next_snapshot_at || self.schedule.chance(0.7) {
            return;
        }
        state.next_snapshot_at = now + Duration::from_secs(30);
        let version = state.table.version();
        let record = wire::LogRecord {
            body: Some(Body::TableSnapshot(wire::TableSnapshot {
                version,
                table: Some(state.table.rows().clone()),
            })),
        };
        let incarnation = state.incarnation;
        // The snapshot may reach the log after newer edits.
        let wait = match self.schedule.chance(0.5) {
            true => self.schedule.millis(1, 600_000),
            false => self.schedule.latency(),
        };
        let event = Event::Snapshot {
            instance,
            incarnation,
            record,
            version,
        };
        self.schedule.after(wait, event);
    }

    fn snapshot(
        &mut self,
        instance: usize,
        incarnation: u64,
        record: wire::LogRecord,
        version: u64,
    ) {
        let now = self.schedule.now;
        if self.log.is_unavailable(now) {
            return;
        }
        let offset = self.log.append(now, STREAM, vec![record]);
        let read = self.log.read(now, STREAM, self.reference.next_offset());
        for entry in &read.entries {
            self.reference.apply(entry);
        }
        let wait = self.schedule.latency();
        let event = Event::Confirm {
            instance,
            incarnation,
            version,
            offset,
        };
        self.schedule.after(wait, event);
    }

    fn confirm(&mut self, instance: usize, incarnation: u64, version: u64, offset: u64) {
        if self.is_stopped(instance, incarnation)
            || self.instances[instance].is_disconnected_from_log
        {
            return;
        }
        let mut table = self.instances[instance].table.clone();
        let read = self
            .log
            .read(self.schedule.now, STREAM, table.next_offset());
        if read.start > table.next_offset() {
            return;
        }
        for entry in &read.entries {
            if entry.offset <= offset {
                table.apply(entry);
            }
        }
        if table.next_offset() <= offset || table.version() != version {
            return;
        }
        let record = wire::LogRecord {
            body: Some(Body::SnapshotConfirmed(wire::SnapshotConfirmed {
                snapshot_offset: offset,
            })),
        };
        self.send_append(record);
    }

    /// Checks that an edit is in force at every instance that could reach the log since the edit
    /// was accepted.
    fn check_in_force(&mut self, version: u64, accepted_at: Duration) {
        if self.log_outage_end >= accepted_at || self.log.is_unavailable(self.schedule.now) {
            return;
        }
        for (index, instance) in self.instances.iter().enumerate() {
            let is_eligible = !instance.is_disconnected_from_log
                && instance.last_fault_at < accepted_at
                && instance.frozen_until < accepted_at;
            if !is_eligible {
                continue;
            }
            let actual = instance.table.version();
            self.report
                .check("edits: in force within 11 s", actual >= version, || {
                    format!("instance {index} has {actual}, not {version}")
                });
        }
    }

    fn check_final_versions(&mut self) {
        let expected = self.reference.version();
        for (index, instance) in self.instances.iter().enumerate() {
            let actual = instance.table.version();
            self.report.check(
                "edits: all instances end at the newest version",
                actual == expected,
                || format!("instance {index} has {actual}, not {expected}"),
            );
        }
    }

    fn inject_fault(&mut self) {
        let now = self.schedule.now;
        // Instance 0 is only killed and never disconnected from the log (see `RETENTION`).
        let instance = self.schedule.below(self.instances.len());
        let kind = match instance {
            0 => self.schedule.below(1),
            _ => self.schedule.below(6),
        };
        match kind {
            0 => {
                self.report.fault("instance killed");
                let incarnation = self.instances[instance].incarnation + 1;
                let read_sequence = self.instances[instance].read_sequence;
                self.instances[instance] = Instance::new(incarnation, now);
                self.instances[instance].read_sequence = read_sequence;
                self.start_instance(instance);
                return;
            }
            1 => {
                self.report.fault("instance frozen");
                let time = self.schedule.millis(500, 900_000);
                self.instances[instance].frozen_until = now + time;
            }
            2 | 3 => {
                self.report.fault("instance disconnected from the log");
                let disconnected = !self.instances[instance].is_disconnected_from_log;
                self.instances[instance].is_disconnected_from_log = disconnected;
            }
            4 => {
                self.report.fault("instance disconnected from its peers");
                let disconnected = !self.instances[instance].is_disconnected_from_peers;
                self.instances[instance].is_disconnected_from_peers = disconnected;
            }
            _ => {
                self.report.fault("log outage");
                self.log.outage_end = now + self.schedule.millis(500, 900_000);
                self.log_outage_end = self.log.outage_end;
            }
        }
        self.instances[instance].last_fault_at = now;
    }
}

fn hash_rows(rows: &TableRows) -> u64 {
    let mut rows = rows.clone();
    ebonyspread::table_log::sort_rows(&mut rows);
    xxh3_64(format!("{rows:?}").as_bytes())
}
