//! Interface to the platform's API for capacity and usage. Only the instance that holds the lease
//! on these duties calls it.

use super::*;

use futures_util::future::LocalBoxFuture;

/// The platform's API for capacity and usage. Each request carries the sender's fencing token: the
/// log offset at which it acquired the lease, so later holders have higher ones.
pub trait Cloud {
    /// Sets the number of servers of one kind in one data centre to `order.desired`. Returns
    /// [`OrderOutcome::NoneAvailable`] if the platform has no such server now.
    fn order<'a>(
        &'a self,
        fencing_token: LogOffset,
        order: &'a CapacityOrder,
    ) -> LocalBoxFuture<'a, Result<OrderOutcome>>;

    /// Reports, for each account, the number of calls that started to run in a usage window.
    fn report_usage<'a>(
        &'a self,
        fencing_token: LogOffset,
        window: UsageWindow,
        counts: &'a UsageCounts,
    ) -> LocalBoxFuture<'a, Result>;
}
