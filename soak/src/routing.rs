//! Simulates one router under random load and failures. Checks account limits, traffic shares,
//! retry budgets, leaving servers, and the quarantine of content that crashes servers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use ebonyspread::budget::REQUESTS_PER_RETRY;
use ebonyspread::error::Error;
use ebonyspread::limit::BURST;
use ebonyspread::prefix::prefix_hashes;
use ebonyspread::router::Failure;
use ebonyspread::router::LeavingSource;
use ebonyspread::router::Placement;
use ebonyspread::router::RouteRequest;
use ebonyspread::router::Router;
use ebonyspread::table::Subject;
use ebonyspread::table::Table;
use ebonyspread::weighted_split::DEVIATION_MAX;
use ebonyspread::wire;
use rand::Rng;
use rand::RngExt;
use smol_str::SmolStr;

use crate::report::Report;
use crate::schedule::Schedule;

const ACCOUNTS: usize = 3;
const REQUESTS_PER_S: u32 = 6;
/// Hash of content that crashes every server that runs it.
const CRASHING_CONTENT: u64 = 0xdead;

struct Running {
    placement: Placement,
    request: RouteRequest,
    tried: Vec<SmolStr>,
}

struct RoutingWorld<'a> {
    accepted: u64,
    admitted_at: BTreeMap<SmolStr, Vec<Duration>>,
    attempts: u64,
    /// Number of requests by account and path since the last change of the table.
    counts: BTreeMap<(SmolStr, SmolStr), u64>,
    crashed_servers: BTreeSet<SmolStr>,
    has_failures: bool,
    leaving: BTreeSet<SmolStr>,
    report: &'a mut Report,
    router: Router,
    running: Vec<Running>,
    schedule: Schedule<()>,
    table: wire::TableFile,
    version: u64,
}

/// Simulates one schedule and records its checks in the report.
pub fn run(seed: u64, report: &mut Report) {
    let mut schedule = Schedule::new(seed);
    let router_seed = schedule.rng.next_u64();
    let has_failures = schedule.chance(0.7);
    let mut world = RoutingWorld {
        accepted: 0,
        admitted_at: BTreeMap::new(),
        attempts: 0,
        counts: BTreeMap::new(),
        crashed_servers: BTreeSet::new(),
        has_failures,
        leaving: BTreeSet::new(),
        report,
        router: Router::new("centre-0".into(), router_seed),
        running: Vec::new(),
        schedule,
        table: wire::TableFile::default(),
        version: 0,
    };
    world.build_table();
    let steps = world.schedule.rng.random_range(200..3_000);
    for _ in 0..steps {
        world.step();
    }
    world.check_limits();
}

impl RoutingWorld<'_> {
    fn build_table(&mut self) {
        let paths = self.schedule.rng.random_range(1..5);
        for path in 0..paths {
            self.table.model_version.push(wire::ModelVersionRow {
                model: "model".to_owned(),
                version: format!("v{path}"),
                path: format!("path-{path}"),
                weight: self.schedule.rng.random_range(1..100),
                ..Default::default()
            });
            for server in 0..self.schedule.rng.random_range(2..5) {
                self.table.backend_server.push(wire::BackendServerRow {
                    name: format!("server-{path}-{server}"),
                    data_centre: format!("centre-{}", server % 2),
                    address: format!("10.0.{path}.{}:80", server + 1),
                    path: format!("path-{path}"),
                    serves: vec![format!("model@v{path}")],
                    slots: 400,
                    ..Default::default()
                });
            }
        }
        for account in 0..ACCOUNTS {
            self.table.client_account.push(wire::ClientAccountRow {
                name: format!("account-{account}"),
                key_sha256: format!("{account:064x}"),
                requests_per_s: REQUESTS_PER_S,
                tokens_per_s: 1_000_000,
                streams_max: 1_000_000,
                ..Default::default()
            });
        }
        self.apply_table();
    }

    fn apply_table(&mut self) {
        self.version += 1;
        self.counts.clear();
        let Ok(table) = Table::try_from(&self.table) else {
            unreachable!("generated tables are valid");
        };
        let applied = self.router.apply_table(self.version, Arc::new(table));
        self.report.check(
            "routing: no internal invariant is violated",
            applied.is_ok(),
            || format!("{applied:?}"),
        );
    }

    fn step(&mut self) {
        let pause = self.schedule.millis(0, 40);
        self.schedule.now += pause;
        match self.schedule.below(100) {
            0 if self.schedule.chance(0.3) => self.edit_weights(),
            1..=2 => self.toggle_leaving(),
            3 => self.admit(true),
            4..=60 => self.admit(false),
            _ => self.finish_one(),
        }
    }

    fn edit_weights(&mut self) {
        for row in &mut self.table.model_version {
            row.weight = self.schedule.rng.random_range(1..100);
        }
        self.apply_table();
    }

    fn toggle_leaving(&mut self) {
        if !self.has_failures {
            return;
        }
        let index = self.schedule.below(self.table.backend_server.len());
        let server = SmolStr::from(self.table.backend_server[index].name.as_str());
        let leaving = !self.leaving.contains(&server);
        self.report.fault("server leaving or returning");
        self.router
            .set_leaving(&server, LeavingSource::Operator, leaving);
        match leaving {
            true => self.leaving.insert(server),
            false => self.leaving.remove(&server),
        };
    }

    fn admit(&mut self, is_crashing: bool) {
        let is_crashing = is_crashing && self.has_failures;
        let account = SmolStr::from(format!("account-{}", self.schedule.below(ACCOUNTS)));
        let prompt = vec![self.schedule.below(8) as u8; 2_000];
        let request = RouteRequest {
            call: 0,
            account: account.clone(),
            content_hash: match is_crashing {
                true => CRASHING_CONTENT,
                false => self.schedule.rng.next_u64() | 1 << 63,
            },
            conversation: 0,
            parts: Default::default(),
            prefixes: prefix_hashes(&prompt),
            prompt_blocks: 8,
            request_id: "request".into(),
            subject: Subject::Model("model".into()),
        };
        let now = self.schedule.now;
        match self.router.admit(now, &request) {
            Ok(placement) => {
                self.accepted += 1;
                self.attempts += 1;
                self.admitted_at
                    .entry(account.clone())
                    .or_default()
                    .push(now);
                let path = placement.server.path.clone();
                *self.counts.entry((account.clone(), path)).or_default() += 1;
                self.check_placement(&placement);
                self.check_shares(&account);
                let running = Running {
                    placement,
                    request,
                    tried: Vec::new(),
                };
                match is_crashing {
                    true => self.crash(running),
                    false => self.running.push(running),
                }
            }
            Err(error) => self.check_refusal(&error),
        }
    }

    fn check_refusal(&mut self, error: &Error) {
        let is_allowed = !matches!(error, Error::Invariant { .. });
        self.report.check(
            "routing: no internal invariant is violated",
            is_allowed,
            || error.to_string(),
        );
    }

    fn check_placement(&mut self, placement: &Placement) {
        let name = &placement.server.name;
        let is_leaving = self.leaving.contains(name);
        self.report.check(
            "routing: a leaving server receives no new calls",
            !is_leaving,
            || name.to_string(),
        );
    }

    /// Checks that each path's count deviates from its share by at most `DEVIATION_MAX`. Applies
    /// only to schedules without failures.
    fn check_shares(&mut self, account: &SmolStr) {
        if self.has_failures {
            return;
        }
        let weights = &self.table.model_version;
        let sum: u64 = weights.iter().map(|row| u64::from(row.weight)).sum();
        let count = |path: &str| {
            let key = (account.clone(), SmolStr::from(path));
            self.counts.get(&key).copied().unwrap_or(0)
        };
        let total: u64 = weights.iter().map(|row| count(&row.path)).sum();
        for row in weights {
            let share = total as f64 * f64::from(row.weight) / sum as f64;
            let deviation = (count(&row.path) as f64 - share).abs();
            self.report.check(
                "routing: shares within the maximum deviation",
                deviation <= DEVIATION_MAX as f64,
                || {
                    format!(
                        "{account} {}: {} of {total}, share {share:.1}",
                        row.path,
                        count(&row.path)
                    )
                },
            );
        }
    }

    fn finish_one(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let index = self.schedule.below(self.running.len());
        let running = self.running.swap_remove(index);
        let now = self.schedule.now;
        if self.has_failures && self.schedule.chance(0.4) {
            return self.fail_attempt(running);
        }
        self.router
            .end_attempt(now, &running.request, &running.placement, None);
        self.router.finish(&running.request, 10);
    }

    fn fail_attempt(&mut self, mut running: Running) {
        let failure = match self.schedule.below(5) {
            0 => Failure::Broken,
            1 => Failure::Connect,
            2 => Failure::Leaving,
            3 => Failure::Stalled,
            _ => Failure::Status,
        };
        self.report.fault("attempt failed");
        if failure == Failure::Leaving {
            self.leaving.insert(running.placement.server.name.clone());
        }
        let cause = self
            .router
            .classify_failure(failure, &running.placement.server.name);
        running.tried.push(running.placement.server.name.clone());
        let now = self.schedule.now;
        let next = self.router.retry(
            now,
            &running.request,
            &running.placement,
            failure,
            &running.tried,
        );
        match next {
            Ok(placement) => {
                self.check_placement(&placement);
                if matches!(cause, Failure::Broken | Failure::Stalled | Failure::Status) {
                    self.attempts += 1;
                }
                self.check_amplification();
                running.placement = placement;
                self.running.push(running);
            }
            Err(error) => {
                self.check_refusal(&error);
                self.router.finish(&running.request, 0);
            }
        }
    }

    fn check_amplification(&mut self) {
        let extra = self.attempts - self.accepted;
        let allowed = extra * REQUESTS_PER_RETRY as u64 <= self.accepted;
        self.report.check(
            "routing: attempts at most 1.1 times accepted",
            allowed,
            || format!("{} attempts, {} accepted", self.attempts, self.accepted),
        );
    }

    /// Crashes the server of the request, and each further server that the router retries it on.
    fn crash(&mut self, mut running: Running) {
        loop {
            self.report.fault("content crashes a server");
            let server = running.placement.server.name.clone();
            if !self.leaving.contains(&server) {
                self.crashed_servers.insert(server.clone());
            }
            let crash_count = self.crashed_servers.len();
            self.report.check(
                "routing: content crashes fewer than 3 servers",
                crash_count < 3,
                || format!("{:?}", self.crashed_servers),
            );
            if crash_count >= 3 {
                return;
            }
            running.tried.push(server);
            let now = self.schedule.now;
            let failure = Failure::Broken;
            let next = self.router.retry(
                now,
                &running.request,
                &running.placement,
                failure,
                &running.tried,
            );
            match next {
                Ok(placement) => {
                    self.attempts += 1;
                    running.placement = placement;
                }
                Err(_) => {
                    self.router.finish(&running.request, 0);
                    return;
                }
            }
        }
    }

    /// Checks that no account exceeds its rate by more than the burst in any interval. Only every
    /// 7th start and every 5th end are sampled.
    fn check_limits(&mut self) {
        let rate = f64::from(REQUESTS_PER_S);
        for (account, times) in &self.admitted_at {
            for (first, from) in times.iter().enumerate().step_by(7) {
                for (last, to) in times.iter().enumerate().skip(first).step_by(5) {
                    let count = (last - first + 1) as f64;
                    let span = (*to - *from).as_secs_f64();
                    let allowed = rate * (span + BURST.as_secs_f64()) + 1.0;
                    self.report.check(
                        "routing: requests within the account limit and burst",
                        count <= allowed,
                        || format!("{account}: {count} in {span:.2} s"),
                    );
                }
            }
        }
    }
}
