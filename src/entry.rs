//! Daemon of an entry instance, a process that accepts callers' requests: starts its actors and
//! listeners, and stops them in order. The table is the operators' list of backend servers, model
//! versions, routes and client accounts.

use super::*;

use std::net::TcpListener;
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;

use actix_web::App;
use actix_web::HttpServer;
use actix_web::dev::Server;
use actix_web::dev::ServerHandle;
use actix_web::web;
use arc_swap::ArcSwap;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Maximum time in seconds that a stop waits for requests in progress.
const STOP_TIMEOUT_S: u64 = 600;

/// Part of the time given by a reclaim notice (the announcement that the machine will be taken
/// away) that is reserved for handing over calls.
const HANDOVER_RESERVE: Duration = Duration::from_millis(2_500);

/// Part of the time given by a reclaim notice that is reserved for closing the listeners.
const EXIT_RESERVE: Duration = Duration::from_millis(200);

/// Maximum number of callers' connections per worker thread; further ones wait to be accepted.
const CONNECTIONS_MAX: usize = 10_000;

/// Runs an entry instance until SIGTERM, SIGINT or a reclaim notice, and then stops it.
pub fn run_entry(settings: Settings) -> Result {
    start_daemon_logging(settings.log_level);
    actix_rt::System::new().block_on(async move {
        let instance = Instance::launch(settings).await?;
        tokio::select! {
            stopped = wait_for_stop_signal() => stopped?,
            _ = instance.context.wait_for_notice() => {}
        }
        instance.stop().await;
        Ok(())
    })
}

/// An entry instance running in a thread of this process, for programs that embed the library.
/// Dropping it ends the instance abruptly.
pub struct Entry {
    admin_address: SocketAddr,
    caller_address: SocketAddr,
    counts: Arc<InstanceCounts>,
    peer_address: SocketAddr,
    stop: Option<oneshot::Sender<StopKind>>,
    table: Arc<ArcSwap<TableInForce>>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopKind {
    Abrupt,
    Graceful,
}

impl Entry {
    /// Starts an instance. Its listeners are bound when this returns.
    pub fn start(settings: Settings) -> Result<Self> {
        let (started, result) = std::sync::mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let instance = match Instance::launch(settings).await {
                    Ok(instance) => instance,
                    Err(error) => {
                        let _ = started.send(Err(error));
                        return;
                    }
                };
                let _ = started.send(Ok(instance.info()));
                let kind = tokio::select! {
                    kind = stopped => kind.unwrap_or(StopKind::Abrupt),
                    _ = instance.context.wait_for_notice() => StopKind::Graceful,
                };
                match kind {
                    StopKind::Abrupt => instance.kill(),
                    StopKind::Graceful => instance.stop().await,
                }
            });
        });
        let info = result.recv().unwrap_or_else(|_| {
            Err(Error::Invariant {
                invariant: "the instance's thread starts",
            })
        })?;
        Ok(Self {
            admin_address: info.admin,
            caller_address: info.callers,
            counts: info.counts,
            peer_address: info.peers,
            stop: Some(stop),
            table: info.table,
            thread: Some(thread),
        })
    }

    /// Address of the administration listener, with the actual port if the settings have port 0.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Address of the callers' listener, with the actual port if the settings have port 0.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Address on which other instances connect, with the actual port if the settings have port 0.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the number of live instances in all reachable data centres, according to this
    /// instance.
    pub fn live_count(&self) -> u32 {
        self.counts.live_count.load(Ordering::Relaxed)
    }

    /// Returns the number of calls that other instances have handed over to this one since its
    /// start.
    pub fn taken_over(&self) -> u32 {
        self.counts.taken_over.load(Ordering::Relaxed)
    }

    /// Returns the version of the table that the instance applies, the newest that it has accepted,
    /// or 0 before the first.
    pub fn table_version(&self) -> TableVersion {
        self.table.load().version
    }

    /// Starts a graceful stop without waiting for it; [`join`](Self::join) waits for its end.
    pub fn begin_stop(&mut self) {
        self.send_stop(StopKind::Graceful);
    }

    /// Waits until the instance has ended, after a stop or a reclaim notice.
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    /// Ends the instance abruptly, as a crash would: no calls are drained or handed over.
    pub fn kill(&mut self) {
        self.send_stop(StopKind::Abrupt);
        self.join();
    }

    fn send_stop(&mut self, kind: StopKind) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(kind);
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Addresses and shared state of a running instance.
struct InstanceInfo {
    admin: SocketAddr,
    callers: SocketAddr,
    counts: Arc<InstanceCounts>,
    peers: SocketAddr,
    table: Arc<ArcSwap<TableInForce>>,
}

/// Handles, addresses and shared state by which a running instance is stopped or ended.
struct Instance {
    admin: ServerHandle,
    admin_address: SocketAddr,
    caller_address: SocketAddr,
    callers: ServerHandle,
    context: Arc<Context>,
    peer_address: SocketAddr,
}

impl Instance {
    async fn launch(settings: Settings) -> Result<Self> {
        let settings = Arc::new(settings);
        let metrics = Metrics::new();
        let shutdown = CancellationToken::new();
        let in_force: Arc<ArcSwap<TableInForce>> = Arc::default();
        let router = Router::new(settings.data_centre.clone(), rand::random());
        let router = RouterActor::new(router, metrics.clone()).start();
        let claims = ClaimActor::new(settings.clone(), metrics.clone(), shutdown.clone()).start();
        let (peer_listener, peer_address) = bind(settings.peer_address)?;
        let peers = start_peers(
            &settings,
            peer_address,
            &metrics,
            &shutdown,
            &router,
            &claims,
        );
        let table = TableActor::new(
            settings.clone(),
            router.clone(),
            peers.clone(),
            in_force.clone(),
            metrics.clone(),
            shutdown.clone(),
        )
        .start();
        let context = Arc::new(Context::new(ContextParts {
            metrics: metrics.clone(),
            peers: peers.clone(),
            router: router.clone(),
            sessions: Sessions::default().start(),
            settings: settings.clone(),
            shutdown: shutdown.clone(),
            table: in_force,
        }));
        router.do_send(SetAnnouncer(peers.clone().recipient()));
        peers.do_send(AttachContext {
            context: context.clone(),
            table: table.clone(),
        });
        let peer_listener = into_tokio(peer_listener)?;
        let service = PeerActorService::new(peers, &settings);
        start_peer_server(peer_listener, Rc::new(service), metrics, shutdown);
        start_polling(&context);
        let (admin, admin_address) = start_admin(&context, table)?;
        let (callers, caller_address) = start_callers(&context)?;
        info!(
            "start instance={} data_centre={} callers={caller_address} admin={admin_address}",
            settings.instance, settings.data_centre
        );
        Ok(Self {
            admin,
            admin_address,
            caller_address,
            callers,
            context,
            peer_address,
        })
    }

    fn info(&self) -> InstanceInfo {
        InstanceInfo {
            admin: self.admin_address,
            callers: self.caller_address,
            counts: self.context.counts.clone(),
            peers: self.peer_address,
            table: self.context.table.clone(),
        }
    }

    /// Stops in order: turns readiness off, waits for the load balancer to notice, stops the
    /// callers' listener once its requests have ended, hands calls over to other instances, then
    /// stops the rest.
    async fn stop(self) {
        let context = self.context.clone();
        tokio::select! {
            () = self.stop_gracefully() => {}
            // A reclaim notice during a graceful stop shortens it.
            deadline = context.wait_for_notice() => self.stop_by_deadline(deadline).await,
        }
    }

    async fn stop_gracefully(&self) {
        let instance = &self.context.settings.instance;
        info!("stop instance={instance} draining");
        self.begin_drain();
        tokio::time::sleep(self.context.settings.drain).await;
        self.callers.stop(true).await;
        // Finished calls are moved to other instances too, so that callers who reconnect with their
        // key still find them there.
        hand_over_all(&self.context).await;
        self.finish_stop().await;
    }

    /// Stops after a reclaim notice. Calls that have not ended shortly before its deadline are
    /// handed over; those that no instance takes over continue here until the deadline.
    async fn stop_by_deadline(&self, deadline: Instant) {
        let instance = &self.context.settings.instance;
        info!("stop instance={instance} reclaimed");
        self.begin_drain();
        let hand_over_at = deadline
            .checked_sub(HANDOVER_RESERVE)
            .unwrap_or_else(Instant::now);
        let mut all_ended = pin!(self.callers.stop(true));
        let ended = tokio::time::timeout_at(hand_over_at.into(), &mut all_ended).await;
        let (taken, not_taken) = hand_over_all(&self.context).await;
        info!(
            "stop instance={instance} all_ended={} handed_over={taken} not_taken={not_taken}",
            ended.is_ok()
        );
        if ended.is_err()
            && let Some(stop_at) = deadline.checked_sub(EXIT_RESERVE)
        {
            let _ = tokio::time::timeout_at(stop_at.into(), all_ended).await;
        }
        self.finish_stop().await;
    }

    fn begin_drain(&self) {
        self.context.set_draining();
        self.context.peers.do_send(AnnounceLeaving);
    }

    async fn finish_stop(&self) {
        self.context.shutdown.cancel();
        drop(self.callers.stop(false));
        self.admin.stop(true).await;
        info!("stop instance={} done", self.context.settings.instance);
    }

    /// Ends the instance without waiting for anything.
    fn kill(self) {
        self.context.shutdown.cancel();
        // Calling `stop` sends the command; its future only waits for the end.
        drop(self.callers.stop(false));
        drop(self.admin.stop(false));
    }
}

fn start_peers(
    settings: &Arc<Settings>,
    peer_address: SocketAddr,
    metrics: &Metrics,
    shutdown: &CancellationToken,
    router: &Addr<RouterActor>,
    claims: &Addr<ClaimActor>,
) -> Addr<PeerActor> {
    let own = Member {
        data_centre: settings.data_centre.clone(),
        dead: false,
        // An epoch is compared only with earlier epochs of this instance; if one of those was
        // higher, this one is raised.
        epoch: unix_ms(),
        instance: settings.instance.clone(),
        leaving: false,
        peer_address,
    };
    let members = Membership::new(own, settings.peers.clone());
    let links = PeerLinks::new(
        settings.instance.clone(),
        settings.peer_key.as_str().into(),
        metrics.clone(),
        shutdown.clone(),
    );
    PeerActor::new(members, links, router.clone(), claims.clone()).start()
}

fn into_tokio(listener: TcpListener) -> Result<tokio::net::TcpListener> {
    let converted = listener
        .set_nonblocking(true)
        .and_then(|()| tokio::net::TcpListener::from_std(listener));
    converted.map_err(|error| Error::Address {
        address: "peer listener".to_owned(),
        reason: error.to_string(),
    })
}

fn start_callers(context: &Arc<Context>) -> Result<(ServerHandle, SocketAddr)> {
    let settings = &context.settings;
    let (listener, address) = bind(settings.caller_address)?;
    let shared = context.clone();
    let server = HttpServer::new(move || {
        let worker = Worker {
            context: shared.clone(),
            dispatcher: Rc::new(Dispatcher::new()),
        };
        App::new()
            .app_data(web::Data::new(worker))
            .configure(accept::configure)
    })
    .workers(settings.workers)
    .max_connections(CONNECTIONS_MAX)
    .disable_signals()
    .shutdown_timeout(STOP_TIMEOUT_S)
    .listen(listener)
    .map_err(|error| address_error(address, &error))?;
    Ok((spawn_server(server.run()), address))
}

fn start_admin(
    context: &Arc<Context>,
    table: Addr<TableActor>,
) -> Result<(ServerHandle, SocketAddr)> {
    let (listener, address) = bind(context.settings.admin_address)?;
    let shared = web::Data::new(AdminContext {
        context: context.clone(),
        table,
    });
    let app = move || {
        App::new()
            .app_data(shared.clone())
            .configure(admin::configure)
    };
    let server = HttpServer::new(app)
        .workers(1)
        .disable_signals()
        .listen(listener)
        .map_err(|error| address_error(address, &error))?;
    Ok((spawn_server(server.run()), address))
}

/// Binds a listener. The returned address has the port that the system chose if `requested` has
/// port 0.
fn bind(requested: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let bound = TcpListener::bind(requested).and_then(|listener| {
        let address = listener.local_addr()?;
        Ok((listener, address))
    });
    bound.map_err(|error| address_error(requested, &error))
}

/// Runs a server in the background until its handle stops it.
fn spawn_server(server: Server) -> ServerHandle {
    let handle = server.handle();
    actix_rt::spawn(server);
    handle
}

fn address_error(address: SocketAddr, error: &std::io::Error) -> Error {
    Error::Address {
        address: address.to_string(),
        reason: error.to_string(),
    }
}

async fn wait_for_stop_signal() -> Result {
    let handler = |kind| {
        signal(kind).map_err(|error| Error::Address {
            address: "signal handler".to_owned(),
            reason: error.to_string(),
        })
    };
    let mut terminate = handler(SignalKind::terminate())?;
    let mut interrupt = handler(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
