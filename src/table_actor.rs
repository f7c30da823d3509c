//! Actor that reads the log stream of the table and puts accepted versions in force at this
//! instance, which means that the instance serves requests by them from then on. The table is the
//! operators' list of backend servers, model versions, routes and client accounts; a snapshot is a
//! log record with all of its rows.

use super::*;

use arc_swap::ArcSwap;

/// Delay before the table's stream is read again after a failed read.
const LOG_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A snapshot is due once the records of the table that a new reader needs are older than the log
/// retention time divided by this.
const SNAPSHOT_AGE_DIVISOR: u32 = 3;

/// Time after a restore of the log within which an instance writes a snapshot.
const RESTORED_SNAPSHOT_TIME: Duration = Duration::from_secs(2);

/// Probability that this instance writes a due snapshot after a read, so that not all instances
/// write one.
const SNAPSHOT_PROBABILITY: f64 = 0.2;

#[derive(Message)]
#[rtype(result = "()")]
struct TableRead(LogRead);

/// Offers a table that was fetched from a peer (another instance); the actor puts it in force if it
/// is newer and passes the checks.
#[derive(Message)]
#[rtype(result = "()")]
pub struct AdoptTable {
    /// All rows, in the wire form and not yet checked.
    pub rows: TableRows,
    /// Version that consists of these rows; ignored unless it is newer than the one that this
    /// instance has.
    pub version: TableVersion,
}

/// Requests the newest version that this instance has read or received; the answer is `None` if it
/// is not newer than `have`.
#[derive(Message)]
#[rtype(result = "Option<(TableVersion, TableRows)>")]
pub struct FetchTable {
    /// Version that the requester has; 0 to get any.
    pub have: TableVersion,
}

/// Requests the latest accepted edits that this instance has read from the log, oldest first.
#[derive(Message)]
#[rtype(result = "Vec<EditSummary>")]
pub struct ListEdits;

/// Reads the table's stream continuously, and passes each new version to the router and to the
/// peers.
pub struct TableActor {
    in_force: Arc<ArcSwap<TableInForce>>,
    log: LogClient,
    metrics: Metrics,
    peers: Addr<PeerActor>,
    router: Addr<RouterActor>,
    settings: Arc<Settings>,
    shutdown: CancellationToken,
    table_log: TableLog,
}

impl TableActor {
    /// Creates the actor, which reads the stream once it is started. It stores the version in force
    /// in `in_force`, from which other threads read it.
    pub fn new(
        settings: Arc<Settings>,
        router: Addr<RouterActor>,
        peers: Addr<PeerActor>,
        in_force: Arc<ArcSwap<TableInForce>>,
        metrics: Metrics,
        shutdown: CancellationToken,
    ) -> Self {
        Self {
            in_force,
            log: LogClient::new(&settings.platform_url),
            metrics,
            peers,
            router,
            settings,
            shutdown,
            table_log: TableLog::default(),
        }
    }

    fn read_next(&self, context: &mut actix::Context<Self>) {
        let from = self.table_log.next_offset();
        let log = self.log.clone();
        let shutdown = self.shutdown.clone();
        let actor = context.address();
        actix_rt::spawn(async move {
            while !shutdown.is_cancelled() {
                match log.read(TABLE_STREAM, from, READ_WAIT).await {
                    Ok(read) => {
                        actor.do_send(TableRead(read));
                        return;
                    }
                    Err(error) => {
                        warn!("table read failed: {error}");
                        tokio::time::sleep(LOG_RETRY_DELAY).await;
                    }
                }
            }
        });
    }

    /// Puts the latest version in force if it is newer than the current one and its rows pass the
    /// checks.
    fn put_in_force(&self, source: &str) {
        let version = self.table_log.version();
        let current = self.in_force.load().version;
        if version == current {
            return;
        }
        if version < current {
            error!("invariant violated: table version never decreases");
            self.metrics.invariant("table version never decreases");
            return;
        }
        let table = match Table::try_from(self.table_log.rows()) {
            Ok(table) => Arc::new(table),
            Err(error) => {
                error!("table version={version} is not usable and not in force: {error}");
                return;
            }
        };
        let apply = ApplyTable {
            table: table.clone(),
            version,
        };
        self.router.do_send(apply);
        self.in_force
            .store(Arc::new(TableInForce { table, version }));
        self.peers.do_send(AnnounceTable { version });
        info!("table version={version} before={current} source={source} in force");
    }

    fn write_snapshot_if_due(&self, log_now_ms: u64) {
        let age = self.settings.log_retention / SNAPSHOT_AGE_DIVISOR;
        let is_selected = rand::random::<f64>() < SNAPSHOT_PROBABILITY;
        if !is_selected || !self.table_log.needs_snapshot(log_now_ms, age) {
            return;
        }
        self.write_snapshot();
    }

    fn write_snapshot(&self) {
        let log = self.log.clone();
        let table_log = self.table_log.clone();
        actix_rt::spawn(async move {
            if let Err(error) = write_snapshot(&log, &table_log).await {
                warn!("table snapshot was not written: {error}");
            }
        });
    }
}

impl Actor for TableActor {
    type Context = actix::Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.read_next(context);
    }
}

impl Handler<TableRead> for TableActor {
    type Result = ();

    fn handle(&mut self, message: TableRead, context: &mut Self::Context) {
        let read = message.0;
        self.table_log.skip_to(read.start);
        if let Some(tail) = read.restored_tail(self.table_log.next_offset()) {
            warn!("table log restored era={}", era_of(tail));
            self.table_log.enter_era(tail);
            // Most instances have read the snapshot of another one by then.
            let delay = RESTORED_SNAPSHOT_TIME.mul_f64(rand::random::<f64>());
            context.run_later(delay, |actor, _| {
                if actor.table_log.needs_snapshot(unix_ms(), Duration::ZERO) {
                    actor.write_snapshot();
                }
            });
        }
        for entry in &read.entries {
            if let TableEvent::Conflict { current } = self.table_log.apply(entry) {
                info!(
                    "table edit offset={} refused: version {current} is in force",
                    entry.offset
                );
            }
        }
        self.put_in_force("log");
        self.write_snapshot_if_due(read.time_ms);
        self.read_next(context);
    }
}

impl Handler<AdoptTable> for TableActor {
    type Result = ();

    fn handle(&mut self, message: AdoptTable, _: &mut Self::Context) {
        if self.table_log.adopt(message.version, message.rows) {
            self.put_in_force("peer");
        }
    }
}

impl Handler<FetchTable> for TableActor {
    type Result = Option<(TableVersion, TableRows)>;

    fn handle(&mut self, message: FetchTable, _: &mut Self::Context) -> Self::Result {
        let version = self.table_log.version();
        (version > message.have).then(|| (version, self.table_log.rows().clone()))
    }
}

impl Handler<ListEdits> for TableActor {
    type Result = Vec<EditSummary>;

    fn handle(&mut self, _: ListEdits, _: &mut Self::Context) -> Self::Result {
        self.table_log.history().cloned().collect()
    }
}
