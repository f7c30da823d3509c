//! Metrics of an instance, exported in the Prometheus text format by the administration listener.

use super::*;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;

/// Metric instruments of one instance; clones record to the same instruments.
#[derive(Clone)]
pub struct Metrics {
    admissions: Counter<u64>,
    call_ms: Histogram<f64>,
    caller_connections: Gauge<u64>,
    centre_cut_offs: Counter<u64>,
    connection_errors: Counter<u64>,
    control_bytes: Counter<u64>,
    crash_reports: Counter<u64>,
    disconnected_calls: Counter<u64>,
    first_token_ms: Histogram<f64>,
    idle_connections_closed: Counter<u64>,
    interrupted_streams: Counter<u64>,
    invariant_violations: Counter<u64>,
    outcomes: Counter<u64>,
    platform_calls: Counter<u64>,
    provider: SdkMeterProvider,
    registry: prometheus::Registry,
    retries: Counter<u64>,
    retries_denied: Counter<u64>,
    rollout_attempts: Counter<u64>,
    rollout_steps: Counter<u64>,
    rollout_verdicts: Counter<u64>,
    tokens: Counter<u64>,
    tokens_recomputed: Counter<u64>,
    unreadable_records: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments with a registry of their own. If the exporter cannot be created, a
    /// warning is logged and the metrics are recorded but not exported.
    pub fn new() -> Self {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone());
        let builder = SdkMeterProvider::builder();
        let provider = match exporter.build() {
            Ok(reader) => builder.with_reader(reader).build(),
            Err(error) => {
                warn!("metrics are not exported: {error}; restart the instance");
                builder.build()
            }
        };
        let meter = provider.meter("ebonyspread");
        Self {
            admissions: meter.u64_counter("admissions").build(),
            call_ms: meter
                .f64_histogram("call_ms")
                .with_boundaries(vec![
                    10.0, 25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0, 6_400.0,
                ])
                .build(),
            caller_connections: meter.u64_gauge("caller_connections").build(),
            centre_cut_offs: meter.u64_counter("centre_cut_offs").build(),
            connection_errors: meter.u64_counter("connection_errors").build(),
            control_bytes: meter.u64_counter("control_bytes").build(),
            crash_reports: meter.u64_counter("crash_reports").build(),
            disconnected_calls: meter.u64_counter("disconnected_calls").build(),
            first_token_ms: meter
                .f64_histogram("first_token_ms")
                .with_boundaries(vec![
                    50.0, 100.0, 200.0, 400.0, 800.0, 1_200.0, 2_400.0, 4_800.0,
                ])
                .build(),
            idle_connections_closed: meter.u64_counter("idle_connections_closed").build(),
            interrupted_streams: meter.u64_counter("interrupted_streams").build(),
            invariant_violations: meter.u64_counter("invariant_violations").build(),
            outcomes: meter.u64_counter("outcomes").build(),
            platform_calls: meter.u64_counter("platform_calls").build(),
            retries: meter.u64_counter("retries").build(),
            retries_denied: meter.u64_counter("retries_denied").build(),
            rollout_attempts: meter.u64_counter("rollout_attempts").build(),
            rollout_steps: meter.u64_counter("rollout_steps").build(),
            rollout_verdicts: meter.u64_counter("rollout_verdicts").build(),
            tokens: meter.u64_counter("tokens").build(),
            tokens_recomputed: meter.u64_counter("tokens_recomputed").build(),
            unreadable_records: meter.u64_counter("unreadable_records").build(),
            provider,
            registry,
        }
    }

    /// Counts a decision whether a call is sent although its service may lack capacity.
    pub fn admission(&self, outcome: AdmissionOutcome) {
        let labels = [
            KeyValue::new("outcome", outcome.as_str()),
            KeyValue::new("reason", outcome.reason()),
        ];
        self.admissions.add(1, &labels);
    }

    /// Records the time from a call's arrival to the end of its response.
    pub fn call(&self, elapsed: Duration) {
        self.call_ms.record(elapsed.as_secs_f64() * 1_000.0, &[]);
    }

    /// Records the number of open connections of callers, and counts those of them that are closed
    /// because they were idle for too long.
    pub fn caller_connections(&self, open: u64, expired: u64) {
        self.caller_connections.record(open, &[]);
        self.idle_connections_closed.add(expired, &[]);
    }

    /// Counts a data centre that was marked as cut off.
    pub fn centre_cut_off(&self) {
        self.centre_cut_offs.add(1, &[]);
    }

    /// Counts a caller's connection that ended with an error, by the kind of the error.
    pub fn connection_error(&self, kind: &'static str) {
        self.connection_errors
            .add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts bytes of traffic other than calls, by message kind and by direction, `sent` or
    /// `received`.
    pub fn control(&self, kind: &'static str, direction: &'static str, bytes: usize) {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("direction", direction),
        ];
        self.control_bytes.add(bytes as u64, &labels);
    }

    /// Counts a call to the platform, by its kind (`append`, `list` and `read` of a topic of the log,
    /// `order`, `usage`).
    pub fn platform_call(&self, kind: &'static str, topic: &'static str) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("topic", topic)];
        self.platform_calls.add(1, &labels);
    }

    /// Counts a server that crashed as it began to answer a request of this instance.
    pub fn crash_report(&self) {
        self.crash_reports.add(1, &[]);
    }

    /// Counts a call that was dropped because its caller's connection ended, by the side that closed
    /// the connection.
    pub fn disconnected_call(&self, closed_by: ClosedBy) {
        self.disconnected_calls
            .add(1, &[KeyValue::new("closed_by", closed_by.as_str())]);
    }

    /// Records the time from a call's arrival or start to the first token or event of its response.
    pub fn first_token(&self, elapsed: Duration) {
        self.first_token_ms
            .record(elapsed.as_secs_f64() * 1_000.0, &[]);
    }

    /// Counts an event stream that ended before its last event, by the cause of the interruption.
    pub fn interrupted_stream(&self, cause: Interruption) {
        self.interrupted_streams
            .add(1, &[KeyValue::new("cause", cause.as_str())]);
    }

    /// Counts a violation of the invariant with this name; each one is a fault in the program.
    pub fn invariant(&self, invariant: &'static str) {
        self.invariant_violations
            .add(1, &[KeyValue::new("invariant", invariant)]);
    }

    /// Counts a request by its outcome and by its error code, which is `ok` if it succeeded.
    pub fn outcome(&self, outcome: Outcome, code: &'static str) {
        let labels = [
            KeyValue::new("outcome", outcome.as_str()),
            KeyValue::new("code", code),
        ];
        self.outcomes.add(1, &labels);
    }

    /// Counts a failed attempt after which another one is tried, by the cause of the failure.
    pub fn retry(&self, failure: Failure) {
        let cause = match failure {
            Failure::Broken | Failure::BrokenAtStart => "broken",
            Failure::Connect => "connect",
            Failure::Leaving => "leaving",
            Failure::Stalled => "stalled",
            Failure::Status => "status",
        };
        self.retries.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a retry that was denied, by the limit that denied it.
    pub fn retry_denied(&self, denied: RetryDenied) {
        self.retries_denied
            .add(1, &[KeyValue::new("limit", denied.limit())]);
    }

    /// Counts an attempt that was placed while a rollout of its service runs, by the step and by the
    /// side of the server, `new` or `old`.
    pub fn rollout_attempt(&self, step: &'static str, side: &'static str) {
        let labels = [KeyValue::new("step", step), KeyValue::new("side", side)];
        self.rollout_attempts.add(1, &labels);
    }

    /// Counts a step of a rollout that this instance has written, or an order that it has refused.
    pub fn rollout_step(&self, step: &'static str) {
        self.rollout_steps.add(1, &[KeyValue::new("step", step)]);
    }

    /// Counts a verdict of this instance on a new version.
    pub fn rollout_verdict(&self, verdict: &'static str) {
        self.rollout_verdicts
            .add(1, &[KeyValue::new("verdict", verdict)]);
    }

    /// Counts tokens that servers generated for callers.
    pub fn tokens(&self, count: u32) {
        self.tokens.add(u64::from(count), &[]);
    }

    /// Counts tokens of prompts and of text generated so far that a backend server recomputed
    /// because a request moved to it.
    pub fn tokens_recomputed(&self, count: u32) {
        self.tokens_recomputed.add(u64::from(count), &[]);
    }

    /// Counts a record of a topic of the log whose content could not be decoded.
    pub fn unreadable_record(&self, topic: &'static str) {
        self.unreadable_records
            .add(1, &[KeyValue::new("topic", topic)]);
    }

    /// Renders all metrics in the Prometheus text format; an encoding error is rendered as a
    /// comment.
    pub fn render(&self) -> String {
        let _ = self.provider.force_flush();
        prometheus::TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| format!("# {error}\n"))
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
