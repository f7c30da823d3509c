//! What one instance at a time does at the platform's API for capacity and usage.

use super::*;

use futures_util::future::LocalBoxFuture;

/// The platform's API. Each call carries the holder's fencing number.
pub trait Cloud {
    /// Orders servers.
    fn order<'a>(
        &'a self,
        fence: LogOffset,
        order: &'a CapacityOrder,
    ) -> LocalBoxFuture<'a, Result<OrderOutcome>>;

    /// Reports the calls of a window by account.
    fn report_usage<'a>(
        &'a self,
        fence: LogOffset,
        window: UsageWindow,
        counts: &'a UsageCounts,
    ) -> LocalBoxFuture<'a, Result>;
}
