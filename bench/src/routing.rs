//! Measures the time to admit and end a request by the number of backend servers that serve the
//! model.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use ebonyspread::prefix::prefix_hashes;
use ebonyspread::router::RouteRequest;
use ebonyspread::router::Router;
use ebonyspread::table::Subject;
use ebonyspread::table::Table;

use crate::table::table_of;

const ROUNDS: u32 = 20_000;

/// Prompt size in bytes, as in the load generator's contexts.
const PROMPT_BYTES: usize = 6_000;

/// Runs the benchmark for each number of backend servers.
pub fn run(sizes: &[usize]) -> Result<(), String> {
    println!("| candidates | admit and end, µs, mean | p99 |");
    println!("|---|---|---|");
    for servers in sizes {
        let rows = table_of(*servers);
        let table = Table::try_from(&rows).map_err(|error| error.to_string())?;
        let mut router = Router::new("centre-0".into(), 1);
        router
            .apply_table(1, Arc::new(table))
            .map_err(|error| error.to_string())?;
        let mut times = Vec::new();
        for round in 0..ROUNDS {
            let route_request = route_request(round);
            let now = Duration::from_millis(u64::from(round) * 10);
            let started = Instant::now();
            let placement = router
                .admit(now, &route_request)
                .map_err(|error| error.to_string())?;
            router.end_attempt(now, &route_request, &placement, None);
            router.finish(&route_request, 10);
            times.push(started.elapsed());
        }
        times.sort();
        let mean = times.iter().sum::<Duration>() / ROUNDS;
        let p99 = times[times.len() * 99 / 100];
        println!(
            "| {servers} | {:.1} | {:.1} |",
            mean.as_secs_f64() * 1e6,
            p99.as_secs_f64() * 1e6
        );
    }
    Ok(())
}

fn route_request(round: u32) -> RouteRequest {
    let prompt = vec![(round % 24) as u8; PROMPT_BYTES];
    RouteRequest {
        call: 0,
        account: "account-0".into(),
        content_hash: u64::from(round) + 1,
        conversation: u64::from(round % 64) + 1,
        parts: Default::default(),
        prefixes: prefix_hashes(&prompt),
        prompt_blocks: PROMPT_BYTES.div_ceil(256),
        request_id: "request".into(),
        subject: Subject::Model("model".into()),
    }
}
