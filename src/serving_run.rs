//! Runs an instance whose backend servers register themselves: follows the log, serves, stops.

use super::*;

use std::rc::Rc;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Time between "not ready" and the end of the listener: the balancer asks every second and
/// takes an instance out after two answers.
const BALANCER_TIME: Duration = Duration::from_millis(3_000);

/// Part of the grace time kept for the end of the process.
const END_TIME: Duration = Duration::from_millis(400);

/// Time for dropping the own address from the log at the end.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for the log's last lines to be written.
const LOG_TIME: Duration = Duration::from_millis(50);

/// Time that a read of the operators' topic waits: several proofs of freshness fit into the time
/// for a revoked key.
const POLICY_WAIT: Duration = Duration::from_millis(1_400);

/// Time that a read of the servers' topic waits; their heartbeats end it sooner.
const SERVERS_WAIT: Duration = Duration::from_secs(1);

/// Pause between reads of the servers' topic; well under the time in which a leaving server must
/// get no more work.
const SERVERS_PAUSE: Duration = Duration::from_millis(800);

/// Time that a read of the instances' topic waits; instances come and go rarely.
const INSTANCES_WAIT: Duration = Duration::from_secs(10);

/// Pause between reads of the instances' topic: many instances may start at once.
const INSTANCES_PAUSE: Duration = Duration::from_secs(1);

/// Pause between looks at the calls in progress during a stop.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Pause between rounds of housekeeping.
const HOUSEKEEPING_PAUSE: Duration = Duration::from_secs(2);

/// What differs between platforms.
pub struct ServingParts {
    /// Callers' listener.
    pub callers: SocketAddr,
    /// The platform's API for capacity and usage, if there is one.
    pub cloud: Option<Rc<dyn Cloud>>,
    /// Decodes an operators' record; `None` for one that holds no policy.
    pub decode_policy: fn(&KeyedRecord) -> Result<Option<Arc<Policy>>>,
    /// Decodes a server's record from its id and value.
    pub decode_server: fn(&str, &[u8]) -> Result<ServerRecord>,
    /// Time between the request to stop and the kill.
    pub grace: Duration,
    /// The log service.
    pub log: Rc<dyn TopicLog>,
    /// Address for digests.
    pub peer_address: SocketAddr,
    /// Operators' topic.
    pub policy_topic: &'static str,
    /// Reads the settings anew.
    pub reload: fn() -> Result<ServingSettings>,
    /// Servers' topic.
    pub server_topic: &'static str,
    /// Listener for readiness and metrics.
    pub status: SocketAddr,
}

/// Runs an instance until it is told to stop, then lets its calls end.
pub async fn run_serving(serving: Rc<Serving>, parts: ServingParts) -> Result {
    let accepting = CancellationToken::new();
    let closing = CancellationToken::new();
    let shutdown = CancellationToken::new();
    let mut terminate = handle_signal(SignalKind::terminate())?;
    let mut reload = handle_signal(SignalKind::hangup())?;
    for (kind, address) in [
        (FrontKind::Callers, parts.callers),
        (FrontKind::Status, parts.status),
    ] {
        let listener = listen(address)?;
        let token = match kind {
            FrontKind::Callers => accepting.clone(),
            FrontKind::Status => shutdown.clone(),
        };
        let front = serve_listener(serving.clone(), kind, listener, token, closing.clone());
        actix_rt::spawn(front);
    }
    info!(
        "start instance={} data_centre={} callers={} status={}",
        serving.settings.instance, serving.settings.data_centre, parts.callers, parts.status
    );
    let log = share_log(&serving, parts.log.clone(), parts.peer_address, &shutdown).await?;
    let policies = Follow {
        log: log.clone(),
        pause: Duration::ZERO,
        topic: parts.policy_topic,
        wait: POLICY_WAIT,
    };
    let servers = Follow {
        log,
        pause: SERVERS_PAUSE,
        topic: parts.server_topic,
        wait: SERVERS_WAIT,
    };
    follow_policies(&serving, policies, parts.decode_policy, &shutdown);
    follow_servers(&serving, servers, parts.decode_server, &shutdown);
    let socket = bind_gossip(parts.peer_address).await?;
    actix_rt::spawn(run_gossip(serving.clone(), socket, shutdown.clone()));
    follow_peers(&serving, parts.log.clone(), parts.peer_address, &shutdown);
    if let Some(cloud) = parts.cloud {
        let duties = Duties::new(serving.clone(), parts.log.clone(), cloud);
        actix_rt::spawn(duties.run(shutdown.clone()));
    }
    actix_rt::spawn(watch_centres(serving.clone(), shutdown.clone()));
    actix_rt::spawn(keep_house(serving.clone(), shutdown.clone()));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => match (parts.reload)() {
                Ok(settings) => {
                    info!("reload instance={} settings={settings:?}", settings.instance);
                    serving.reload(settings);
                }
                Err(error) => warn!("reload failed, the settings in force stay: {error}"),
            },
        }
    }
    stop(&serving, parts.grace, &accepting, &closing).await;
    let leave = parts
        .log
        .put(INSTANCES_TOPIC, &serving.settings.instance, Bytes::new());
    if tokio::time::timeout(LEAVE_TIMEOUT, leave).await.is_err() {
        warn!("peer entry was not dropped in time; peers notice the silence");
    }
    shutdown.cancel();
    // The last lines are on their way to the output.
    tokio::time::sleep(LOG_TIME).await;
    Ok(())
}

/// Serves peers that read the log here, and reads it at peers where it can.
async fn share_log(
    serving: &Rc<Serving>,
    log: Rc<dyn TopicLog>,
    address: SocketAddr,
    shutdown: &CancellationToken,
) -> Result<Rc<dyn TopicLog>> {
    let listener = listen(address)?;
    let metrics = serving.metrics.clone();
    let service = Rc::new(FeedService::new(serving.clone()));
    start_peer_server(listener, service, metrics.clone(), shutdown.clone());
    let instance = serving.settings.instance.clone();
    let links = PeerLinks::new(instance, SmolStr::default(), metrics, shutdown.clone());
    Ok(Rc::new(SharedLog::new(log, serving.clone(), links)))
}

fn handle_signal(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|error| Error::Address {
        address: "signal handler".to_owned(),
        reason: error.to_string(),
    })
}

/// Stops in order: readiness off, time for the balancer to notice, calls end, connections close.
async fn stop(
    serving: &Serving,
    grace: Duration,
    accepting: &CancellationToken,
    closing: &CancellationToken,
) {
    let began = Instant::now();
    serving.draining.set(true);
    info!(
        "stop instance={} in_flight={}",
        serving.settings.instance,
        serving.in_flight.get()
    );
    tokio::time::sleep(BALANCER_TIME.min(grace / 2)).await;
    accepting.cancel();
    closing.cancel();
    let end = grace.saturating_sub(END_TIME);
    while serving.in_flight.get() > 0 && began.elapsed() < end {
        tokio::time::sleep(DRAIN_POLL).await;
    }
    info!(
        "stop instance={} done in_flight={} ms={}",
        serving.settings.instance,
        serving.in_flight.get(),
        began.elapsed().as_millis()
    );
}

fn follow_policies(
    serving: &Rc<Serving>,
    follow: Follow,
    decode: fn(&KeyedRecord) -> Result<Option<Arc<Policy>>>,
    shutdown: &CancellationToken,
) {
    let serving = serving.clone();
    let topic = follow.topic;
    let tell = move |followed| match followed {
        Followed::Change(record) => {
            match decode(&record) {
                Ok(Some(policy)) => take_policy(&serving, policy, record.offset),
                Ok(None) => {}
                Err(error) => warn!("policy offset={} is passed over: {error}", record.offset),
            }
            serving.feed_change(topic, record);
        }
        Followed::Proof { at, end } => {
            serving.book.borrow_mut().confirm_newest(at);
            serving.feed_proof(topic, at, end);
        }
        Followed::Reachable(true) => {}
        Followed::Reachable(false) => serving.feed_loss(topic),
    };
    actix_rt::spawn(follow.run(tell, shutdown.clone()));
}

/// Enters the own address and follows those of the peers.
fn follow_peers(
    serving: &Rc<Serving>,
    log: Rc<dyn TopicLog>,
    address: SocketAddr,
    shutdown: &CancellationToken,
) {
    let follow = Follow {
        log: log.clone(),
        pause: INSTANCES_PAUSE,
        topic: INSTANCES_TOPIC,
        wait: INSTANCES_WAIT,
    };
    let serving = serving.clone();
    let shutdown = shutdown.clone();
    actix_rt::spawn(async move {
        enter(&serving, log.as_ref(), address).await;
        let own = serving.settings.instance.clone();
        let tell = move |followed| {
            if let Followed::Change(record) = followed {
                let mut peers = serving.peers.borrow_mut();
                peers.take_record(&record, &own);
                let mut limits = serving.limits.borrow_mut();
                limits.set_instances(peers.known_count() + 1);
            }
        };
        follow.run(tell, shutdown).await;
    });
}

fn take_policy(serving: &Serving, policy: Arc<Policy>, offset: LogOffset) {
    let version = policy.version;
    let taken = serving.book.borrow_mut().update(policy);
    info!("policy version={version} offset={offset} taken={taken}");
}

fn follow_servers(
    serving: &Rc<Serving>,
    follow: Follow,
    decode: fn(&str, &[u8]) -> Result<ServerRecord>,
    shutdown: &CancellationToken,
) {
    let serving = serving.clone();
    let topic = follow.topic;
    let tell = move |followed| match followed {
        Followed::Change(record) => {
            if take_server(&serving, &record, decode) {
                serving.feed_change(topic, record);
            }
        }
        Followed::Proof { at, end } => serving.feed_proof(topic, at, end),
        Followed::Reachable(true) => {}
        Followed::Reachable(false) => serving.feed_loss(topic),
    };
    actix_rt::spawn(follow.run(tell, shutdown.clone()));
}

/// Takes a server's record; true if it changed what is believed of the server.
fn take_server(
    serving: &Serving,
    record: &KeyedRecord,
    decode: fn(&str, &[u8]) -> Result<ServerRecord>,
) -> bool {
    let id = &record.key;
    let mut fleet = serving.fleet.borrow_mut();
    let Some(value) = &record.value else {
        let removed = fleet.remove(id);
        if removed {
            info!("server id={id} offset={} removed", record.offset);
        }
        return removed;
    };
    match decode(id, value) {
        Ok(server) => {
            let leaving = server.leaving;
            let changed = fleet.report(boot_time(), server);
            if changed {
                info!("server id={id} offset={} leaving={leaving}", record.offset);
            }
            changed
        }
        Err(error) => {
            warn!(
                "server id={id} offset={} is not used: {error}",
                record.offset
            );
            fleet.remove(id)
        }
    }
}

async fn keep_house(serving: Rc<Serving>, shutdown: CancellationToken) {
    while !shutdown.is_cancelled() {
        tokio::time::sleep(HOUSEKEEPING_PAUSE).await;
        serving.links.close_expired();
    }
}
