//! The entry daemon: starts the actors and listeners of one instance and stops them in order.

use super::*;

use std::net::TcpListener;
use std::rc::Rc;
use std::thread::JoinHandle;

use actix_web::App;
use actix_web::HttpServer;
use actix_web::dev::Server;
use actix_web::dev::ServerHandle;
use actix_web::web;
use arc_swap::ArcSwap;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Longest time that a stop waits for requests in progress.
const STOP_TIMEOUT_S: u64 = 600;

/// Connections of one worker.
const CONNECTIONS_MAX: usize = 10_000;

/// Runs an entry instance until it is told to stop (SIGTERM or SIGINT).
pub fn run_entry(settings: Settings) -> Result {
    start_logging(settings.log_level);
    actix_rt::System::new().block_on(async move {
        let instance = Instance::launch(settings).await?;
        wait_for_stop_signal().await?;
        instance.stop().await;
        Ok(())
    })
}

/// An entry instance in a thread of this process, for programs that embed the library.
pub struct Entry {
    admin_address: SocketAddr,
    caller_address: SocketAddr,
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
    /// Starts an instance; its listeners are bound when this returns.
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
                let _ = started.send(Ok(instance.addresses()));
                match stopped.await {
                    Ok(StopKind::Graceful) => instance.stop().await,
                    Ok(StopKind::Abrupt) | Err(_) => instance.kill(),
                }
            });
        });
        let addresses = result.recv().unwrap_or_else(|_| {
            Err(Error::Invariant {
                invariant: "the instance's thread starts",
            })
        })?;
        Ok(Self {
            admin_address: addresses.admin,
            caller_address: addresses.callers,
            peer_address: addresses.peers,
            stop: Some(stop),
            table: addresses.table,
            thread: Some(thread),
        })
    }

    /// Address of the administration listener.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Address of the callers' listener.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Address of the peers' listener.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Version of the table in force.
    pub fn table_version(&self) -> TableVersion {
        self.table.load().version
    }

    /// Starts a planned stop and returns at once; [`join`](Self::join) waits for its end.
    pub fn begin_stop(&mut self) {
        self.send_stop(StopKind::Graceful);
    }

    /// Waits for the end of the instance.
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    /// Ends the instance without any of its duties, as a crash would.
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

/// What is known of an instance once it runs.
struct Addresses {
    admin: SocketAddr,
    callers: SocketAddr,
    peers: SocketAddr,
    table: Arc<ArcSwap<TableInForce>>,
}

/// The running parts of an instance.
struct Instance {
    admin: ServerHandle,
    admin_address: SocketAddr,
    caller_address: SocketAddr,
    callers: ServerHandle,
    context: Arc<Context>,
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
        let table = TableActor::new(
            settings.clone(),
            router.clone(),
            in_force.clone(),
            metrics.clone(),
            shutdown.clone(),
        )
        .start();
        let context = Arc::new(Context::new(ContextParts {
            claims,
            metrics,
            router,
            sessions: Sessions::default().start(),
            settings: settings.clone(),
            shutdown,
            table: in_force,
        }));
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
        })
    }

    fn addresses(&self) -> Addresses {
        Addresses {
            admin: self.admin_address,
            callers: self.caller_address,
            peers: self.context.settings.peer_address,
            table: self.context.table.clone(),
        }
    }

    /// Stops in order: readiness off, time for the balancer to notice, then the callers'
    /// listener once its requests have ended, then the rest.
    async fn stop(self) {
        let instance = &self.context.settings.instance;
        info!("stop instance={instance} draining");
        self.context.set_draining();
        tokio::time::sleep(self.context.settings.drain).await;
        self.callers.stop(true).await;
        self.context.shutdown.cancel();
        self.admin.stop(true).await;
        info!("stop instance={instance} done");
    }

    /// Ends without waiting for anything.
    fn kill(self) {
        self.context.shutdown.cancel();
        // The stops are sent when called; their futures only wait for the end.
        drop(self.callers.stop(false));
        drop(self.admin.stop(false));
    }
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

/// Binds a listener; its address differs from the one asked for if that had port 0.
fn bind(asked: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let bound = TcpListener::bind(asked).and_then(|listener| {
        let address = listener.local_addr()?;
        Ok((listener, address))
    });
    bound.map_err(|error| address_error(asked, &error))
}

/// Runs a server in the background.
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
