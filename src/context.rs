//! State shared by the request handlers of one instance.

use super::*;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use tokio::sync::watch;

/// The table in force, for readers outside the router.
#[derive(Debug, Default)]
pub struct TableInForce {
    /// Table in force.
    pub table: Arc<Table>,
    /// Version of the table; 0 before the first.
    pub version: TableVersion,
}

/// Counters of an instance, for programs that embed it.
#[derive(Debug, Default)]
pub struct InstanceCounts {
    /// Number of live instances in all reachable data centres.
    pub live_count: AtomicU32,
    /// Number of calls taken over from other instances.
    pub taken_over: AtomicU32,
}

/// Shared state of an instance.
pub struct Context {
    /// Counters for embedding programs.
    pub counts: Arc<InstanceCounts>,
    /// True while the instance is stopping; the load balancer sends it no new callers.
    draining: AtomicBool,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Deadline set by a reclaim notice, if there is one.
    notice: watch::Sender<Option<Instant>>,
    /// Actor that owns the membership.
    pub peers: Addr<PeerActor>,
    /// Actor that owns the routing state.
    pub router: Addr<RouterActor>,
    /// Actor that owns the list of running model calls.
    pub sessions: Addr<Sessions>,
    /// Settings of the instance.
    pub settings: Arc<Settings>,
    /// Token that ends background work.
    pub shutdown: CancellationToken,
    /// Table in force; written only by the table actor.
    pub table: Arc<ArcSwap<TableInForce>>,
}

impl Context {
    /// Creates the shared state from its parts.
    pub fn new(parts: ContextParts) -> Self {
        Self {
            counts: Arc::default(),
            draining: AtomicBool::new(false),
            metrics: parts.metrics,
            notice: watch::Sender::new(None),
            peers: parts.peers,
            router: parts.router,
            sessions: parts.sessions,
            settings: parts.settings,
            shutdown: parts.shutdown,
            table: parts.table,
        }
    }

    /// Returns true while the instance is stopping.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Handles a reclaim notice: the instance stops within the time it gives.
    pub fn stop_within(&self, notice: Duration) {
        let _ = self.notice.send(Some(Instant::now() + notice));
    }

    /// Waits for a reclaim notice and returns its deadline.
    pub async fn wait_for_notice(&self) -> Instant {
        let mut notice = self.notice.subscribe();
        loop {
            if let Some(deadline) = *notice.borrow_and_update() {
                return deadline;
            }
            if notice.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Marks the instance as draining, so that readiness turns false.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Requests a placement for a new request from the router.
    pub async fn admit(&self, route_request: RouteRequest, handed_over: bool) -> Result<Placement> {
        let sent = self
            .router
            .send(AdmitRequest {
                route_request,
                handed_over,
            })
            .await;
        sent.map_err(|_| actor_stopped())?
    }

    /// Requests another placement for an admitted request from the router.
    pub async fn place_again(&self, route_request: RouteRequest) -> Result<Placement> {
        self.router
            .send(PlaceAgain { route_request })
            .await
            .map_err(|_| actor_stopped())?
    }

    /// Requests the placement of the next attempt from the router.
    pub async fn retry(&self, retry: RetryAttempt) -> Result<Placement> {
        self.router.send(retry).await.map_err(|_| actor_stopped())?
    }

    /// Registers a call that is starting, or returns the running call with the same key.
    pub async fn open_session(
        &self,
        open: OpenSession,
    ) -> Result<Option<mpsc::Sender<CallControl>>> {
        self.sessions
            .send(open)
            .await
            .map_err(|_| actor_stopped())?
    }

    /// Stops a session on this instance and returns its state, if it runs here.
    pub async fn release_session(&self, key: SessionKey) -> Option<CallState> {
        let control = self.sessions.send(TakeSession(key)).await.ok()??;
        // The requester is a caller who reconnected, so no other callers need to be kept connected.
        let (state, _moved) = detach_call(&control).await?;
        Some(state)
    }

    /// Moves a session here from another instance, if one has it.
    pub async fn fetch_session(&self, key: SessionKey) -> Option<CallState> {
        self.peers.send(FetchSession(key)).await.ok()?
    }

    /// Logs and counts a violated invariant before the error is returned to the request.
    pub fn checked<T>(&self, result: Result<T>) -> Result<T> {
        if let Err(Error::Invariant { invariant }) = &result {
            error!("invariant violated: {invariant}");
            self.metrics.invariant(invariant);
        }
        result
    }

    /// Orders a claim record through the log.
    pub async fn order(&self, record: ClaimRecord) -> Verdict {
        let partition = partition_of(record.key(), self.settings.claim_partitions);
        let sent = self.peers.send(OrderClaim { partition, record }).await;
        sent.unwrap_or(Verdict::Unavailable)
    }
}

/// Parts from which [`Context::new`] creates the shared state.
pub struct ContextParts {
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Actor that owns the membership.
    pub peers: Addr<PeerActor>,
    /// Actor that owns the routing state.
    pub router: Addr<RouterActor>,
    /// Actor that owns the list of running model calls.
    pub sessions: Addr<Sessions>,
    /// Settings of the instance.
    pub settings: Arc<Settings>,
    /// Token that ends background work.
    pub shutdown: CancellationToken,
    /// Table in force.
    pub table: Arc<ArcSwap<TableInForce>>,
}

fn actor_stopped() -> Error {
    Error::Invariant {
        invariant: "actors run as long as the instance",
    }
}
