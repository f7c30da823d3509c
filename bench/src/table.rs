//! Measures the size and processing time of tables and edits, and the propagation time of edits.

use std::time::Duration;
use std::time::Instant;

use ebonyspread::log_client::LogClient;
use ebonyspread::publish::publish;
use ebonyspread::publish::read_table_log;
use ebonyspread::table::Table;
use ebonyspread::table_log::diff_rows;
use ebonyspread::wire;
use hdrhistogram::Histogram;
use prost::Message;

use crate::flags;

/// Creates a table with one model on one path, `servers` backend servers and five client accounts.
pub fn table_of(servers: usize) -> wire::TableFile {
    let mut table = wire::TableFile::default();
    table.model_version.push(wire::ModelVersionRow {
        model: "model".to_owned(),
        version: "v1".to_owned(),
        path: "new".to_owned(),
        weight: 1,
        ..Default::default()
    });
    for server in 0..servers {
        table.backend_server.push(wire::BackendServerRow {
            name: format!("centre-{}-engine-{server}", server % 10),
            data_centre: format!("centre-{}", server % 10),
            address: format!("10.1.{}.{}:8000", server / 250, server % 250),
            path: "new".to_owned(),
            serves: vec!["model@v1".to_owned()],
            slots: 64,
            price_cents_per_hour: 240,
            ..Default::default()
        });
    }
    for account in 0..5 {
        table.client_account.push(wire::ClientAccountRow {
            name: format!("account-{account}"),
            key_sha256: format!("{account:064x}"),
            requests_per_s: 1_000_000,
            tokens_per_s: 1_000_000_000,
            streams_max: 1_000_000,
            ..Default::default()
        });
    }
    table
}

/// Runs the benchmark for each number of backend servers.
pub fn run(sizes: &[usize]) -> Result<(), String> {
    println!(
        "| backend servers | table, bytes | edit of one weight, bytes | validate and build, µs |"
    );
    println!("|---|---|---|---|");
    for servers in sizes {
        let rows = table_of(*servers);
        let mut edited = rows.clone();
        edited.model_version[0].weight += 1;
        let (put, removed) = diff_rows(&rows, &edited);
        let edit = wire::TableEdit {
            base_version: 1,
            operator: "operator".to_owned(),
            put: Some(put),
            removed,
            nonce: 1,
        };
        let started = Instant::now();
        const ROUNDS: u32 = 20;
        for _ in 0..ROUNDS {
            Table::try_from(&rows).map_err(|error| error.to_string())?;
        }
        let micros = started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS);
        println!(
            "| {servers} | {} | {} | {micros:.0} |",
            rows.encoded_len(),
            edit.encoded_len()
        );
    }
    Ok(())
}

/// Interval at which an instance is polled for its table version.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Publishes edits one at a time and waits until every instance has applied each.
pub fn run_edits(options: &flags::Edits) -> Result<(), String> {
    let count = options.count.unwrap_or(1_000);
    let mut histogram = Histogram::<u64>::new(3).map_err(|error| error.to_string())?;
    actix_rt::System::new().block_on(async {
        let log = LogClient::new(&options.platform);
        let client = awc::Client::default();
        let table_log = read_table_log(&log)
            .await
            .map_err(|error| error.to_string())?;
        let mut rows = table_log.rows().clone();
        for edit in 0..count {
            rows.client_account[0].tokens_per_s = 1_000 + edit;
            let version = publish(&log, "bench", None, &rows).await;
            let version = version.map_err(|error| error.to_string())?;
            let accepted_at = Instant::now();
            for admin in &options.admin {
                wait_for_version(&client, admin, &options.key, version).await?;
            }
            let micros = accepted_at.elapsed().as_micros() as u64;
            histogram
                .record(micros.max(1))
                .map_err(|error| error.to_string())?;
        }
        Ok::<(), String>(())
    })?;
    let ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    println!("| edits | instances | p50 ms | p99 ms | max ms |");
    println!("|---|---|---|---|---|");
    println!(
        "| {count} | {} | {:.1} | {:.1} | {:.1} |",
        options.admin.len(),
        ms(0.5),
        ms(0.99),
        histogram.max() as f64 / 1_000.0
    );
    Ok(())
}

async fn wait_for_version(
    client: &awc::Client,
    admin: &str,
    key: &str,
    version: u64,
) -> Result<(), String> {
    loop {
        let request = client
            .get(format!("http://{admin}/admin/status"))
            .insert_header(("authorization", format!("Bearer {key}")));
        let mut response = request.send().await.map_err(|error| error.to_string())?;
        let status: serde_json::Value = response.json().await.map_err(|error| error.to_string())?;
        if status["table_version"].as_u64() >= Some(version) {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
