//! Counts the calls to the platform, which cost money and are limited over all instances together:
//! those to the log service by operation and topic, and those to the API for capacity and usage.

use super::*;

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;

/// Log service whose calls are counted in the metrics.
pub struct CountedLog {
    log: Rc<dyn TopicLog>,
    metrics: Metrics,
}

impl CountedLog {
    /// Passes all calls on to `log`.
    pub fn new(log: Rc<dyn TopicLog>, metrics: Metrics) -> Self {
        Self { log, metrics }
    }
}

impl TopicLog for CountedLog {
    fn append_at<'a>(
        &'a self,
        topic: &'static str,
        at: LogOffset,
        key: &'a str,
        value: Bytes,
    ) -> LocalBoxFuture<'a, Result<AppendOutcome>> {
        self.metrics.platform_call("append", topic);
        self.log.append_at(topic, at, key, value)
    }

    fn newest(
        &self,
        topic: &'static str,
        after: Option<SmolStr>,
    ) -> LocalBoxFuture<'_, Result<KeyedPage>> {
        self.metrics.platform_call("list", topic);
        self.log.newest(topic, after)
    }

    fn put<'a>(
        &'a self,
        topic: &'static str,
        key: &'a str,
        value: Bytes,
    ) -> LocalBoxFuture<'a, Result> {
        self.metrics.platform_call("append", topic);
        self.log.put(topic, key, value)
    }

    fn read(
        &self,
        topic: &'static str,
        from: LogOffset,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<TopicRead>> {
        self.metrics.platform_call("read", topic);
        self.log.read(topic, from, wait)
    }
}

/// API for capacity and usage whose calls are counted in the metrics.
pub struct CountedCloud {
    cloud: Rc<dyn Cloud>,
    metrics: Metrics,
}

impl CountedCloud {
    /// Passes all calls on to `cloud`.
    pub fn new(cloud: Rc<dyn Cloud>, metrics: Metrics) -> Self {
        Self { cloud, metrics }
    }
}

impl Cloud for CountedCloud {
    fn order<'a>(
        &'a self,
        fencing_token: LogOffset,
        order: &'a CapacityOrder,
    ) -> LocalBoxFuture<'a, Result<OrderOutcome>> {
        self.metrics.platform_call("order", "");
        self.cloud.order(fencing_token, order)
    }

    fn report_usage<'a>(
        &'a self,
        fencing_token: LogOffset,
        window: UsageWindow,
        counts: &'a UsageCounts,
    ) -> LocalBoxFuture<'a, Result> {
        self.metrics.platform_call("usage", "");
        self.cloud.report_usage(fencing_token, window, counts)
    }
}
