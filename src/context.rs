//! What the handlers of one instance share.

use super::*;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;

/// The table in force, for readers outside the router.
#[derive(Debug, Default)]
pub struct TableInForce {
    /// The table.
    pub table: Arc<Table>,
    /// Its version; 0 before the first.
    pub version: TableVersion,
}

/// Shared parts of an instance.
pub struct Context {
    /// Owner of the claims' gatherers.
    pub claims: Addr<ClaimActor>,
    /// True once the instance is stopping: the balancer sends no new callers.
    draining: AtomicBool,
    /// Instruments.
    pub metrics: Metrics,
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
            claims: parts.claims,
            draining: AtomicBool::new(false),
            metrics: parts.metrics,
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

    /// Starts the stop: readiness turns false.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Asks the router to place a request.
    pub async fn admit(&self, ask: Ask, handed_over: bool) -> Result<Placement> {
        let sent = self.router.send(Admit { ask, handed_over }).await;
        sent.map_err(|_| stopped())?
    }

    /// Asks the router for the next attempt.
    pub async fn retry(&self, retry: RetryAsk) -> Result<Placement> {
        self.router.send(retry).await.map_err(|_| stopped())?
    }

    /// Lists a call that is starting, or finds the running one under the same key.
    pub async fn open_session(
        &self,
        open: OpenSession,
    ) -> Result<Option<mpsc::Sender<CallControl>>> {
        self.sessions.send(open).await.map_err(|_| stopped())?
    }

    /// Orders a claim record by the log.
    pub async fn order(&self, record: ClaimRecord) -> Verdict {
        let partition = partition_of(record.key(), self.settings.claim_partitions);
        let sent = self.claims.send(OrderRecord { partition, record }).await;
        sent.unwrap_or(Verdict::Unavailable)
    }
}

/// Parts that [`Context::new`] joins.
pub struct ContextParts {
    /// Owner of the claims' gatherers.
    pub claims: Addr<ClaimActor>,
    /// Instruments.
    pub metrics: Metrics,
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
