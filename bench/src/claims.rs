//! Measures the memory and processing time of the claim index by the number of keys in its window.

use std::time::Duration;
use std::time::Instant;

use ebonyspread::claim_index::Claim;
use ebonyspread::claim_index::ClaimIndex;
use ebonyspread::claim_index::ClaimRecord;
use ebonyspread::claim_index::RecordedAnswer;
use ebonyspread::wire;
use prost::Message;
use rand::random;

use crate::process::resident_bytes;

const START_MS: u64 = 1_800_000_000_000;

/// Size of an order's response body, as the simulated service sends it.
const ANSWER_BYTES: usize = 120;

/// Runs the benchmark for each number of keys.
pub fn run(sizes: &[u64]) -> Result<(), String> {
    println!(
        "| keys | resident bytes per key | apply µs per key (claim and response) | log bytes per key |"
    );
    println!("|---|---|---|---|");
    for keys in sizes {
        let before = resident_bytes(std::process::id())?;
        let mut index = ClaimIndex::new(Duration::from_secs(3_600));
        let mut log_bytes = 0;
        let mut apply_time = Duration::ZERO;
        for number in 0..*keys {
            let records = records();
            for record in &records {
                log_bytes += wire::LogRecord::from(record).encoded_len();
            }
            let started = Instant::now();
            for (step, record) in records.iter().enumerate() {
                let offset = number * 2 + step as u64;
                index
                    .apply(offset, START_MS, record)
                    .map_err(|error| error.to_string())?;
            }
            apply_time += started.elapsed();
        }
        let after = resident_bytes(std::process::id())?;
        println!(
            "| {keys} | {:.0} | {:.2} | {:.0} |",
            after.saturating_sub(before) as f64 / *keys as f64,
            apply_time.as_secs_f64() * 1e6 / *keys as f64,
            log_bytes as f64 / *keys as f64
        );
        drop(index);
    }
    Ok(())
}

fn records() -> [ClaimRecord; 2] {
    let claim = Claim {
        is_generated: false,
        body_hash: random(),
        holder: "centre-4-entry-124".into(),
        key: random(),
        key_time_ms: START_MS,
        nonce: random(),
    };
    let finished = ClaimRecord::Finished {
        answer: RecordedAnswer {
            body: vec![b'x'; ANSWER_BYTES].into(),
            body_dropped: false,
            content_type: "application/json".into(),
            status: 201,
        },
        key: claim.key,
        nonce: claim.nonce,
    };
    [ClaimRecord::Claim(claim), finished]
}
