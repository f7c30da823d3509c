//! What the handlers of one instance share.

use super::*;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use tokio::sync::watch;

/// The table in force, for readers outside the router.
#[derive(Debug, Default)]
pub struct TableInForce {
    /// The table.
    pub table: Arc<Table>,
    /// Its version; 0 before the first.
    pub version: TableVersion,
}

/// Counts of an instance for those who embed it.
#[derive(Debug, Default)]
pub struct InstanceCounts {
    /// Live instances in all reachable data centres.
    pub live_count: AtomicU32,
    /// Calls taken over from other instances.
    pub taken_over: AtomicU32,
}

/// Shared parts of an instance.
pub struct Context {
    /// Counts.
    pub counts: Arc<InstanceCounts>,
    /// True once the instance is stopping: the balancer sends no new callers.
    draining: AtomicBool,
    /// Instruments.
    pub metrics: Metrics,
    /// End of a reclaim notice's time, once there is one.
    notice: watch::Sender<Option<Instant>>,
    /// Owner of the membership.
    pub peers: Addr<PeerActor>,
    /// Owner of the routing state.
    pub router: Addr<RouterActor>,
    /// Owner of the list of running model calls.
    pub sessions: Addr<Sessions>,
    /// Settings.
    pub settings: Arc<Settings>,
    /// Ends background work.
    pub shutdown: CancellationToken,
    /// Table in force; written by the table's actor alone.
    pub table: Arc<ArcSwap<TableInForce>>,
}

impl Context {
    /// Joins the parts of an instance.
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

    /// True once the instance is stopping.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Takes a reclaim notice: the instance stops within the time it gives.
    pub fn stop_within(&self, notice: Duration) {
        let _ = self.notice.send(Some(Instant::now() + notice));
    }

    /// Waits for a reclaim notice; returns the end of its time.
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

    /// Starts the stop: readiness turns false.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Asks the router to place a request.
    pub async fn admit(&self, ask: RouteRequest, handed_over: bool) -> Result<Placement> {
        let sent = self.router.send(AdmitRequest { ask, handed_over }).await;
        sent.map_err(|_| stopped())?
    }

    /// Asks the router to place an admitted request anew.
    pub async fn place_again(&self, ask: RouteRequest) -> Result<Placement> {
        self.router
            .send(PlaceAgain { ask })
            .await
            .map_err(|_| stopped())?
    }

    /// Asks the router for the next attempt.
    pub async fn retry(&self, retry: RetryAttempt) -> Result<Placement> {
        self.router.send(retry).await.map_err(|_| stopped())?
    }

    /// Lists a call that is starting, or finds the running one under the same key.
    pub async fn open_session(
        &self,
        open: OpenSession,
    ) -> Result<Option<mpsc::Sender<CallControl>>> {
        self.sessions.send(open).await.map_err(|_| stopped())?
    }

    /// Stops a session here and returns its state, if it is here.
    pub async fn release_session(&self, key: SessionKey) -> Option<CallState> {
        let control = self.sessions.send(TakeSession(key)).await.ok()??;
        // Whoever asks is a caller who came back, so that other callers need not be held.
        let (state, _moved) = detach_call(&control).await?;
        Some(state)
    }

    /// Moves a session here from another instance, if one has it.
    pub async fn fetch_session(&self, key: SessionKey) -> Option<CallState> {
        self.peers.send(FetchSession(key)).await.ok()?
    }

    /// Reports a violated invariant before the error goes to the request.
    pub fn checked<T>(&self, result: Result<T>) -> Result<T> {
        if let Err(Error::Invariant { invariant }) = &result {
            error!("invariant violated: {invariant}");
            self.metrics.invariant(invariant);
        }
        result
    }

    /// Orders a claim record by the log.
    pub async fn order(&self, record: ClaimRecord) -> Verdict {
        let partition = partition_of(record.key(), self.settings.claim_partitions);
        let sent = self.peers.send(OrderClaim { partition, record }).await;
        sent.unwrap_or(Verdict::Unavailable)
    }
}

/// Parts that [`Context::new`] joins.
pub struct ContextParts {
    /// Instruments.
    pub metrics: Metrics,
    /// Owner of the membership.
    pub peers: Addr<PeerActor>,
    /// Owner of the routing state.
    pub router: Addr<RouterActor>,
    /// Owner of the list of running model calls.
    pub sessions: Addr<Sessions>,
    /// Settings.
    pub settings: Arc<Settings>,
    /// Ends background work.
    pub shutdown: CancellationToken,
    /// Table in force.
    pub table: Arc<ArcSwap<TableInForce>>,
}

fn stopped() -> Error {
    Error::Invariant {
        invariant: "actors run as long as the instance",
    }
}
