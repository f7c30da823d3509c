//! Replays of the load of the thumbnails customer with cold caches: 69 instances decide on calls
//! that wait at engines, which prefill one prompt at a time, the most urgent first.
//!
//! Each call is placed at the best of three engines. If all instances chose the best of all engines
//! by reports of the same age, they would send their calls to the same few.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use ebonyspread::overload_admission::AdmissionOutcome;
use ebonyspread::overload_admission::AdmissionQuery;
use ebonyspread::overload_control::OverloadCall;
use ebonyspread::overload_control::OverloadControl;
use ebonyspread::overload_shares::ServiceDemand;
use ebonyspread::policy::AccountPolicy;
use ebonyspread::policy::UsageLimit;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smallvec::smallvec;
use smol_str::SmolStr;

const INSTANCES: usize = 69;
const ACCOUNTS: usize = 16;
const TOKENS_PER_MS: f64 = 42.6;

/// Time between two reports of the engines' queues to the instances.
const REPORT_MS: u64 = 300;

/// Time at which the load rises, for how long, and the time of the last call.
const BURST_AT_MS: u64 = 2_000;
const BURST_MS: u64 = 6_800;
const LENGTH_MS: u64 = 12_000;

/// Accounts that send several times their usual calls.
const FLOODING: std::ops::Range<usize> = 3..6;

struct Kind {
    name: SmolStr,
    per_s: f64,
    tokens: f64,
    target: Duration,
    timeout_ms: u64,
}

/// Kinds of calls by their priority. Each is a size class, too.
fn kinds() -> [Kind; 3] {
    let kind = |name: &str, per_s, tokens, target_ms, timeout_ms| Kind {
        name: name.into(),
        per_s,
        tokens,
        target: Duration::from_millis(target_ms),
        timeout_ms,
    };
    [
        kind("short", 97.6, 715.0, 500, 15_000),
        kind("middle", 197.0, 2_368.0, 600, 4_000),
        kind("long", 163.0, 9_190.0, 1_500, 6_000),
    ]
}

fn accounts() -> Vec<AccountPolicy> {
    let account = |index: usize| AccountPolicy {
        keys: smallvec![],
        limit: Some(UsageLimit {
            burst: 0.0,
            in_tokens: true,
            plain_call_units: 1.0,
            rate_per_s: 1_000_000.0 / (index + 1) as f64,
        }),
        name: format!("account-{index}").into(),
        priority: None,
    };
    (0..ACCOUNTS).map(account).collect()
}

#[derive(Clone, Copy)]
struct Load {
    admits: bool,
    engines: usize,
    /// Factor on the calls of the flooding accounts.
    flood: f64,
    /// Factor on the long calls of all accounts.
    long: f64,
}

#[derive(Clone, Copy)]
struct Call {
    account: usize,
    first_at_ms: u64,
    is_retry: bool,
    kind: usize,
}

#[derive(Default)]
struct Engine {
    busy_until_ms: u64,
    queues: [VecDeque<Call>; 3],
    running: Option<usize>,
    /// Prefill time of the prompts that wait or run, by priority.
    work_ms: [f64; 3],
}

#[derive(Default, Clone, Copy)]
struct Counts {
    late: u32,
    offered: u32,
    on_time: u32,
}

impl Counts {
    fn on_time_part(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.offered)
    }

    fn served_part(&self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.offered)
    }
}

/// Calls that arrived first in the time of the higher load.
#[derive(Default)]
struct Report {
    by_account: [Counts; ACCOUNTS],
    by_kind: [Counts; 3],
    /// Calls that were rejected although the instance knew of an idle engine.
    rejected_at_idle: u32,
    /// Number of retries by the half of a second in which they came.
    returns: BTreeMap<u64, u32>,
}

impl Report {
    fn on_time_part_of_others(&self) -> f64 {
        let others = self.by_account.iter().enumerate();
        let others = others.filter(|(index, _)| !FLOODING.contains(index));
        let (on_time, offered) = others.fold((0, 0), |(on_time, offered), (_, counts)| {
            (on_time + counts.on_time, offered + counts.offered)
        });
        f64::from(on_time) / f64::from(offered)
    }
}

fn replay(load: Load) -> Report {
    let (kinds, accounts) = (kinds(), accounts());
    let service = SmolStr::from("models");
    let mut random = StdRng::seed_from_u64(7);
    let mut engines: Vec<Engine> = Vec::new();
    engines.resize_with(load.engines, Engine::default);
    let mut controls: Vec<OverloadControl> = Vec::new();
    controls.resize_with(INSTANCES, OverloadControl::default);
    // Work at the engines by the last report and the instance's own calls since.
    let mut known = Vec::new();
    let mut asked_per_s = vec![0.0; ACCOUNTS];
    let mut retries: BTreeMap<u64, Vec<Call>> = BTreeMap::new();
    let mut report = Report::default();
    for now_ms in 0..LENGTH_MS + 8_000 {
        let now = Duration::from_millis(100_000 + now_ms);
        if now_ms % REPORT_MS == 0 {
            let work: Vec<[f64; 3]> = engines.iter().map(|engine| engine.work_ms).collect();
            known = vec![work; INSTANCES];
            let names = accounts.iter().map(|account| account.name.clone());
            let asked: HashMap<SmolStr, f64> = names.zip(asked_per_s.iter().copied()).collect();
            let demand = ServiceDemand {
                accounts: &accounts,
                asked_per_s: &asked,
                capacity_tokens_per_s: TOKENS_PER_MS * 1_000.0 * load.engines as f64,
                instances: INSTANCES,
                own_part: 1.0 / INSTANCES as f64,
            };
            for control in &mut controls {
                control.update(now, &service, &demand);
            }
        }
        for asked in &mut asked_per_s {
            *asked *= 1.0 - 1.0 / 4_000.0;
        }
        let in_burst = |at_ms: u64| (BURST_AT_MS..BURST_AT_MS + BURST_MS).contains(&at_ms);
        let mut arrivals = retries.remove(&now_ms).unwrap_or_default();
        *report.returns.entry(now_ms / 500).or_default() += arrivals.len() as u32;
        for (kind, account) in (0..3).flat_map(|kind| (0..ACCOUNTS).map(move |a| (kind, a))) {
            // The sizes of the accounts add up to 3.38.
            let mut per_s = kinds[kind].per_s / (account + 1) as f64 / 3.38;
            if in_burst(now_ms) {
                per_s *= if kind == 2 { load.long } else { 1.0 };
                per_s *= if FLOODING.contains(&account) {
                    load.flood
                } else {
                    1.0
                };
            }
            if now_ms < LENGTH_MS && random.random_bool(per_s / 1_000.0) {
                arrivals.push(Call {
                    account,
                    first_at_ms: now_ms,
                    is_retry: false,
                    kind,
                });
            }
        }
        for call in arrivals {
            let kind = &kinds[call.kind];
            let own_ms = kind.tokens / TOKENS_PER_MS;
            if in_burst(call.first_at_ms) && !call.is_retry {
                report.by_kind[call.kind].offered += 1;
                report.by_account[call.account].offered += 1;
            }
            asked_per_s[call.account] += kind.tokens / 4.0;
            let instance = random.random_range(0..INSTANCES);
            let candidates = [(); 3].map(|()| random.random_range(0..load.engines));
            let waits = candidates.map(|engine| {
                let work: &[f64; 3] = &known[instance][engine];
                (work[..=call.kind].iter().sum::<f64>() + own_ms, engine)
            });
            let best = waits.into_iter().min_by(|a, b| a.0.total_cmp(&b.0));
            let (wait_ms, engine) = best.unwrap();
            let time_left_ms = kind.timeout_ms - (now_ms - call.first_at_ms);
            let time_left = Duration::from_millis(time_left_ms);
            let overload_call = OverloadCall {
                account: &accounts[call.account].name,
                admission: AdmissionQuery {
                    above_share: false,
                    aged: false,
                    answer_time: Some(Duration::from_millis(20)),
                    is_most_urgent: call.kind == 0,
                    priority: call.kind as u32,
                    route: &kind.name,
                    service: &service,
                    target: kind.target,
                    time_given: time_left,
                    time_left,
                    urgent_target: kind.target.min(kinds[1].target),
                    wait: Duration::from_secs_f64(wait_ms / 1_000.0),
                },
                prompt_tokens: kind.tokens as u32,
                tokens: kind.tokens,
                tokens_per_ms: TOKENS_PER_MS,
                units: kind.tokens,
            };
            let is_idle = wait_ms < own_ms + 100.0;
            let idle_wait = || is_idle.then(|| Duration::from_secs_f64(wait_ms / 1_000.0));
            if load.admits {
                let decision = controls[instance].decide(now, &overload_call, idle_wait);
                if decision.admission.outcome != AdmissionOutcome::Served {
                    report.rejected_at_idle += u32::from(is_idle);
                    let retry_after_ms = decision.retry_after.as_millis() as u64;
                    let return_at_ms = now_ms + retry_after_ms.min(time_left_ms / 3);
                    if !call.is_retry {
                        let returning = Call {
                            is_retry: true,
                            ..call
                        };
                        retries.entry(return_at_ms).or_default().push(returning);
                    }
                    continue;
                }
            }
            known[instance][engine][call.kind] += own_ms;
            engines[engine].work_ms[call.kind] += own_ms;
            engines[engine].queues[call.kind].push_back(call);
        }
        for engine in &mut engines {
            while engine.busy_until_ms <= now_ms {
                if let Some(kind) = engine.running.take() {
                    engine.work_ms[kind] -= kinds[kind].tokens / TOKENS_PER_MS;
                }
                let Some(call) = engine.queues.iter_mut().find_map(VecDeque::pop_front) else {
                    break;
                };
                let kind = &kinds[call.kind];
                engine.running = Some(call.kind);
                let waited_ms = now_ms - call.first_at_ms;
                if waited_ms >= kind.timeout_ms {
                    continue;
                }
                let own_ms = (kind.tokens / TOKENS_PER_MS) as u64;
                engine.busy_until_ms = now_ms + own_ms;
                if !in_burst(call.first_at_ms) {
                    continue;
                }
                let took_ms = waited_ms + own_ms;
                let on_time = u128::from(took_ms) <= kind.target.as_millis();
                let by_account = &mut report.by_account[call.account];
                for counts in [&mut report.by_kind[call.kind], by_account] {
                    counts.on_time += u32::from(on_time);
                    counts.late += u32::from(!on_time && took_ms <= kind.timeout_ms);
                }
            }
        }
    }
    report
}

// A third of the engines have been reclaimed, so that the burst is 1.7 times the capacity.
#[test]
fn burst_of_long_calls_does_not_fill_the_queues_with_late_answers() {
    let load = Load {
        admits: false,
        engines: 60,
        flood: 1.0,
        long: 2.6,
    };
    let without = replay(load);
    let with = replay(Load {
        admits: true,
        ..load
    });
    for (kind, before) in with.by_kind.iter().zip(without.by_kind) {
        let (on_time, before) = (kind.on_time_part(), before.on_time_part());
        assert!(on_time >= before - 0.01, "{on_time} {before}");
    }
    let (long, before) = (with.by_kind[2], without.by_kind[2]);
    let (long, before) = (long.on_time_part(), before.on_time_part());
    assert!(long >= before * 1.25, "{long} {before}");
    assert_eq!(with.rejected_at_idle, 0);
    let mut all = Counts::default();
    for counts in with.by_kind {
        all.offered += counts.offered;
        all.on_time += counts.on_time;
        all.late += counts.late;
    }
    for counts in with.by_kind.iter().chain(&with.by_account) {
        let served = counts.served_part();
        assert!(served >= all.served_part() / 4.0, "{served}");
    }
    let returns: Vec<u32> = with.returns.values().copied().collect();
    let mean = returns.iter().sum::<u32>() / (BURST_MS / 500) as u32;
    assert!(
        returns.iter().all(|count| *count <= mean * 2),
        "{returns:?}"
    );
}

#[test]
fn flood_of_three_accounts_leaves_the_others_their_answers_on_time() {
    let usual = Load {
        admits: true,
        engines: 90,
        flood: 1.0,
        long: 1.0,
    };
    let before = replay(usual).on_time_part_of_others();
    let flood = Load {
        flood: 6.5,
        ..usual
    };
    let during = replay(flood).on_time_part_of_others();
    assert!(during >= before - 0.05, "{during} {before}");
}
