//! Measures the time to choose a registered server for a call by the number of servers, with and
//! without the queues of unanswered prompts.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use ebonyspread::InstanceName;
use ebonyspread::fleet::AttemptOutcome;
use ebonyspread::fleet::Fleet;
use ebonyspread::fleet::PlacementQuery;
use ebonyspread::fleet::ServerLoad;
use ebonyspread::fleet::ServerRecord;
use ebonyspread::prompt::Prompt;
use ebonyspread::prompt::PromptPart;
use ebonyspread::rollout_versions::VersionRule;
use ebonyspread::server_queue::QueueClass;
use ebonyspread::server_speed::SpeedSums;

const ROUNDS: u32 = 20_000;

/// Time between two calls of one instance.
const CALL_INTERVAL: Duration = Duration::from_millis(10);

/// Calls between two digests of peers, each of which replaces the loads of one peer.
const CALLS_PER_DIGEST: u32 = 2;

/// Number of different shared parts.
const TOPICS: u32 = 500;

/// Runs the benchmark for each number of servers.
pub fn run(sizes: &[usize], peers: usize) -> Result<(), String> {
    println!("| servers | peers | chosen by | place, µs, mean | p99 |");
    println!("|---|---|---|---|---|");
    for servers in sizes {
        for queue_class in [None, Some(QueueClass::from(1))] {
            let mut times = place_calls(*servers, peers, queue_class)?;
            times.sort();
            let mean = times.iter().sum::<Duration>() / ROUNDS;
            let p99 = times[times.len() * 99 / 100];
            let chosen_by = queue_class.map_or("backlog", |_| "queue");
            println!(
                "| {servers} | {peers} | {chosen_by} | {:.1} | {:.1} |",
                mean.as_secs_f64() * 1e6,
                p99.as_secs_f64() * 1e6
            );
        }
    }
    Ok(())
}

fn place_calls(
    servers: usize,
    peers: usize,
    queue_class: Option<QueueClass>,
) -> Result<Vec<Duration>, String> {
    let mut fleet = Fleet::new("centre-0".into());
    for index in 0..servers {
        fleet.report(Duration::ZERO, record(index));
    }
    for peer in 0..peers {
        report_loads(&mut fleet, Duration::from_secs(20), peer, servers);
    }
    let mut times = Vec::new();
    for round in 0..ROUNDS {
        let now = Duration::from_secs(20) + CALL_INTERVAL * round;
        if round % CALLS_PER_DIGEST == 0 {
            let peer = (round / CALLS_PER_DIGEST) as usize % peers.max(1);
            report_loads(&mut fleet, now, peer, servers);
        }
        let prompt = prompt(round);
        let query = PlacementQuery {
            prompt: Some(&prompt),
            queue_class,
            service: &"models".into(),
            suspect: false,
            tried: &[],
            versions: &VersionRule::Any,
        };
        let started = Instant::now();
        let placed = fleet.place(now, query);
        times.push(started.elapsed());
        let placed = placed.map_err(|error| error.to_string())?;
        fleet.leave_queue(&placed);
        fleet.observe_speed(now, &placed, Duration::from_millis(100));
        fleet.end_attempt(now, &placed.server, false, AttemptOutcome::Completed);
    }
    Ok(times)
}

/// Reports calls of a peer at half of the servers.
fn report_loads(fleet: &mut Fleet, now: Duration, peer: usize, servers: usize) {
    let name: InstanceName = format!("instance-{peer}").into();
    let mut loads = HashMap::new();
    for index in (peer % 2..servers).step_by(2) {
        let load = ServerLoad {
            backlog: Duration::from_millis(40),
            queued_tokens: [0, 0, 0, 0, 1_800, 2_890],
            running: 2,
            speed: SpeedSums {
                answers: 1.0,
                expected_ms: 100.0,
                measured_ms: 60.0 + 20.0 * (index % 5) as f32,
            },
        };
        loads.insert(format!("engine-{index}").into(), load);
    }
    fleet.update_peer_loads(now, &name, &loads);
}

fn record(index: usize) -> ServerRecord {
    ServerRecord {
        address: ([127, 0, 0, 1], 9_000 + index as u16).into(),
        created_ms: 1,
        data_centre: format!("centre-{}", index % 3).into(),
        id: format!("engine-{index}").into(),
        leaving: false,
        service: "models".into(),
        slots: 24,
        spot: false,
        version: "".into(),
    }
}

fn prompt(round: u32) -> Prompt {
    let shared = PromptPart {
        hash: u64::from(round.wrapping_mul(2_654_435_761) % TOPICS),
        tokens: 6_300,
    };
    let own = PromptPart {
        hash: u64::from(TOPICS + round),
        tokens: 2_890,
    };
    Prompt {
        output_tokens_max: 50,
        parts: [shared, own].into_iter().collect(),
        tokens: 9_190,
    }
}
