//! State shared by the request handlers of one instance. The table is the operators' list of
//! backend servers, models, routes and client accounts; the table in force is the newest version
//! that the instance has applied.

use super::*;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use tokio::sync::watch;

/// The table in force, for readers outside the router.
#[derive(Debug, Default)]
pub struct TableInForce {
    /// Validated rows; empty before the first table arrives.
    pub table: Arc<Table>,
    /// Version of `table`; 0 before the first table arrives.
    pub version: TableVersion,
}

/// Counters that a program which embeds an instance can read while it runs.
#[derive(Debug, Default)]
pub struct InstanceCounts {
    /// Number of live instances, including this one, in all data centres that are not cut off; 0
    /// before the membership is first evaluated.
    pub live_count: AtomicU32,
    /// Number of calls that this instance has accepted from other instances and continued.
    pub taken_over: AtomicU32,
}

/// State that the listeners, actors and background tasks of one instance share.
pub struct Context {
    /// Counters that the program which embeds the instance can read.
    pub counts: Arc<InstanceCounts>,
    /// True once the instance has started to stop; the load balancer then sends it no new callers.
    draining: AtomicBool,
    /// Metric instruments to which all parts of the instance record.
    pub metrics: Metrics,
    /// Deadline set by the latest reclaim notice; `None` while there is none.
    notice: watch::Sender<Option<Instant>>,
    /// Actor that owns the membership: the list of live entry instances (processes that accept
    /// callers' requests), and the connections to them.
    pub peers: Addr<PeerActor>,
    /// Actor that chooses the backend server for each attempt to run a call and enforces the limits
    /// of the client accounts.
    pub router: Addr<RouterActor>,
    /// Registry of the model calls that run on this instance.
    pub sessions: Addr<Sessions>,
    /// Settings read at startup; they do not change afterwards.
    pub settings: Arc<Settings>,
    /// Token that is cancelled at the end of a stop and ends all background tasks.
    pub shutdown: CancellationToken,
    /// Table in force; replaced only by the table actor.
    pub table: Arc<ArcSwap<TableInForce>>,
}

impl Context {
    /// Creates the state of an instance that is not stopping and has received no reclaim notice.
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

    /// Returns true once [`set_draining`](Self::set_draining) was called.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Sets the deadline of a reclaim notice: the instance starts to stop, and ends within `notice`
    /// from now.
    pub fn stop_within(&self, notice: Duration) {
        let _ = self.notice.send(Some(Instant::now() + notice));
    }

    /// Returns the deadline of the reclaim notice, at once if one has already arrived.
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

    /// Marks the instance as stopping, so that readiness checks fail and it refuses calls that
    /// other instances hand over.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Asks the router to check a request against the quarantine (content that crashed several
    /// backend servers) and its account's limits and to choose its first server. A request that was
    /// `handed_over` by another instance is not rejected by the limits.
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

    /// Asks the router to choose any server for an admitted request, without checking the limits
    /// again.
    pub async fn place_again(&self, route_request: RouteRequest) -> Result<Placement> {
        self.router
            .send(PlaceAgain { route_request })
            .await
            .map_err(|_| actor_stopped())?
    }

    /// Ends a failed attempt and asks the router for the next server; fails with
    /// [`Error::RetryBudgetSpent`] if the failure counts against the retry budget, which limits
    /// retries to a fraction of the requests, and none is left.
    pub async fn retry(&self, retry: RetryAttempt) -> Result<Placement> {
        self.router.send(retry).await.map_err(|_| actor_stopped())?
    }

    /// Moves a request away from a silent server; fails, and leaves the attempt as it is, if no
    /// other server can take the request or the retry budget does not allow it.
    pub async fn move_stalled(&self, stalled: MoveStalled) -> Result<Placement> {
        self.router
            .send(stalled)
            .await
            .map_err(|_| actor_stopped())?
    }

    /// Registers a call that is starting and returns `None`, or returns the channel of the call
    /// that is already running with the same key.
    pub async fn open_session(
        &self,
        open: OpenSession,
    ) -> Result<Option<mpsc::Sender<CallControl>>> {
        self.sessions
            .send(open)
            .await
            .map_err(|_| actor_stopped())?
    }

    /// Stops the model call registered under `key` on this instance and returns its state; `None`
    /// if it does not run here.
    pub async fn release_session(&self, key: SessionKey) -> Option<CallState> {
        let control = self.sessions.send(TakeSession(key)).await.ok()??;
        // The caller has reconnected at the instance that requests this, so the call ends here at
        // once instead of keeping its callers connected until the move is confirmed.
        let (state, moved) = detach_call(&control).await?;
        let _ = moved.send(true);
        Some(state)
    }

    /// Asks other instances for the model call with this key and returns its state, after which it
    /// no longer runs there; `None` if no instance that was asked has it.
    pub async fn fetch_session(&self, key: SessionKey) -> Option<CallState> {
        self.peers.send(FetchSession(key)).await.ok()?
    }

    /// Logs and counts a violated invariant; the result is passed through unchanged.
    pub fn checked<T>(&self, result: Result<T>) -> Result<T> {
        if let Err(Error::Invariant { invariant }) = &result {
            error!("invariant violated: {invariant}");
            self.metrics.invariant(invariant);
        }
        result
    }

    /// Submits a claim record (a log record that reserves an idempotency key for one call, or that
    /// releases or answers such a claim) to the log stream of its partition, and returns the
    /// verdict that the order of the records gives; [`Verdict::Unavailable`] if there is none in
    /// time.
    pub async fn order(&self, record: ClaimRecord) -> Verdict {
        let partition = partition_of(record.key(), self.settings.claim_partitions);
        let sent = self.peers.send(OrderClaim { partition, record }).await;
        sent.unwrap_or(Verdict::Unavailable)
    }
}

/// Parts from which [`Context::new`] creates the shared state.
pub struct ContextParts {
    /// See [`Context::metrics`].
    pub metrics: Metrics,
    /// See [`Context::peers`].
    pub peers: Addr<PeerActor>,
    /// See [`Context::router`].
    pub router: Addr<RouterActor>,
    /// See [`Context::sessions`].
    pub sessions: Addr<Sessions>,
    /// See [`Context::settings`].
    pub settings: Arc<Settings>,
    /// See [`Context::shutdown`].
    pub shutdown: CancellationToken,
    /// See [`Context::table`].
    pub table: Arc<ArcSwap<TableInForce>>,
}

fn actor_stopped() -> Error {
    Error::Invariant {
        invariant: "actors run as long as the instance",
    }
}
