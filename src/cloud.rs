//! Interface to the platform's API for capacity and usage, which one instance at a time uses.

use super::*;

use futures_util::future::LocalBoxFuture;

/// The platform's API for capacity and usage. Each request carries the lease holder's fencing
/// token.
pub trait Cloud {
    /// Orders backend servers.
    fn order<'a>(
        &'a self,
        fencing_token: LogOffset,
        order: &'a CapacityOrder,
    ) -> LocalBoxFuture<'a, Result<OrderOutcome>>;

    /// Reports the number of calls in a usage window for each account.
    fn report_usage<'a>(
        &'a self,
        fencing_token: LogOffset,
        window: UsageWindow,
        counts: &'a UsageCounts,
    ) -> LocalBoxFuture<'a, Result>;
}
