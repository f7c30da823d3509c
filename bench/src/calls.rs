//! Measures the latency and throughput of calls, sent directly to a backend server or through an
//! entry instance.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use awc::Client;
use futures_util::StreamExt;
use hdrhistogram::Histogram;

use crate::flags;

struct CallBenchmark {
    address: String,
    client: Client,
    histogram: RefCell<Histogram<u64>>,
    key: String,
    kind: String,
    model: String,
    unsuccessful: RefCell<u64>,
}

/// Runs the benchmark and prints throughput and latencies.
pub fn run(options: &flags::Calls) -> Result<(), String> {
    let duration = Duration::from_secs(options.seconds.unwrap_or(10));
    let connector = awc::Connector::new().limit(4_096);
    let benchmark = actix_rt::System::new().block_on(async {
        let histogram = Histogram::new(3).map_err(|error| error.to_string())?;
        let benchmark = Rc::new(CallBenchmark {
            address: options.address.clone(),
            client: Client::builder()
                .connector(connector)
                .timeout(Duration::from_secs(30))
                .finish(),
            histogram: RefCell::new(histogram),
            key: options.key.clone().unwrap_or_default(),
            kind: options.kind.clone(),
            model: options
                .model
                .clone()
                .unwrap_or_else(|| "restock-8b".to_owned()),
            unsuccessful: RefCell::new(0),
        });
        match options.rate {
            Some(rate) => open_loop(&benchmark, rate, duration).await,
            None => closed_loop(&benchmark, options.at_once.unwrap_or(1), duration).await,
        }
        Ok::<_, String>(benchmark)
    })?;
    let histogram = benchmark.histogram.borrow();
    let ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "{} at {}: {:.0} calls/s, {} failed, ms p50 {:.3} p95 {:.3} p99 {:.3} max {:.3}",
        benchmark.kind,
        benchmark.address,
        histogram.len() as f64 / duration.as_secs_f64(),
        benchmark.unsuccessful.borrow(),
        ms(0.5),
        ms(0.95),
        ms(0.99),
        histogram.max() as f64 / 1_000.0
    );
    Ok(())
}

async fn closed_loop(benchmark: &Rc<CallBenchmark>, concurrency: usize, duration: Duration) {
    let until = Instant::now() + duration;
    let mut tasks = Vec::new();
    for _ in 0..concurrency {
        let benchmark = benchmark.clone();
        tasks.push(actix_rt::spawn(async move {
            while Instant::now() < until {
                benchmark.call().await;
            }
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
}

async fn open_loop(benchmark: &Rc<CallBenchmark>, rate: f64, duration: Duration) {
    let started = tokio::time::Instant::now();
    let mut tasks = Vec::new();
    let mut next = started;
    while next - started < duration {
        tokio::time::sleep_until(next).await;
        next += Duration::from_secs_f64(1.0 / rate);
        let benchmark = benchmark.clone();
        tasks.push(actix_rt::spawn(async move { benchmark.call().await }));
    }
    for task in tasks {
        let _ = task.await;
    }
}

impl CallBenchmark {
    async fn call(&self) {
        let started = Instant::now();
        let is_success = self.send().await.unwrap_or(false);
        if !is_success {
            *self.unsuccessful.borrow_mut() += 1;
            return;
        }
        let micros = started.elapsed().as_micros() as u64;
        // Recording cannot fail, because the histogram resizes automatically.
        let _ = self.histogram.borrow_mut().record(micros.max(1));
    }

    async fn send(&self) -> Option<bool> {
        let (method, path) = match self.kind.as_str() {
            "order" => ("POST", "/orders"),
            "stream" => ("POST", "/v1/chat/completions"),
            _ => ("GET", "/lookups/7"),
        };
        let url = format!("http://{}{path}", self.address);
        let request = self
            .client
            .request(method.parse().ok()?, url)
            .insert_header(("authorization", format!("Bearer {}", self.key)));
        let mut response = match self.kind.as_str() {
            "order" => {
                let key = uuid::Uuid::now_v7().to_string();
                request
                    .insert_header(("idempotency-key", key))
                    .send_body("{}")
                    .await
                    .ok()?
            }
            "stream" => {
                let body = serde_json::json!({
                    "model": self.model, "stream": true, "max_tokens": 24,
                    "messages": [{ "role": "user", "content": "till roll" }],
                });
                request.send_json(&body).await.ok()?
            }
            _ => request.send().await.ok()?,
        };
        let is_success = response.status().is_success();
        while let Some(chunk) = response.next().await {
            chunk.ok()?;
        }
        Some(is_success)
    }
}
