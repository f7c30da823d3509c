//! Interface to the platform's API for capacity and usage. Of the instances, the processes that
//! accept callers' requests, only one at a time calls it: the holder of a lease, which is a right
//! to do so for a limited time.

use super::*;

use futures_util::future::LocalBoxFuture;

/// The platform's API for capacity and usage. Each request carries the sender's fencing token: the
/// log offset at which it acquired the lease, so later holders have higher ones.
pub trait Cloud {
    /// Sets the number of backend servers of one kind in one data centre to `order.desired`.
    /// Returns [`OrderOutcome::NoneAvailable`] if the platform has no such server now.
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
