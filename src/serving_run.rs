//! Runs an instance whose backend servers register themselves: follows the topics of the shared log
//! (named sequences of records), serves calls and stops in order. The policy is the operators'
//! configuration of routes, services and client accounts; it is one of the operators' records.

use super::*;

use std::rc::Rc;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Time between reporting "not ready" and closing the listener. The load balancer checks every
/// second and removes an instance after two failed checks.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(3_000);

/// Fraction of [`LOAD_BALANCER_DELAY`] after which calls that arrive are refused, so that their
/// callers send them to another instance. The rest is for what the signal came late.
const LATE_CALL_FRACTION: f64 = 0.9;

/// Time after [`LOAD_BALANCER_DELAY`] for which connections are still accepted, whose calls are
/// refused: closing the listener would reset those that wait to be accepted.
const REFUSING_TIME: Duration = Duration::from_millis(250);

/// Part of the grace period (the time between the stop signal and the kill) that is reserved for
/// the exit of the process, which on the smallest machines gets an eighth of a processor.
const EXIT_RESERVE: Duration = Duration::from_millis(600);

/// Maximum time for removing the instance's own address from the log, beside the calls that end.
const DEREGISTER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of lines that name the calls that a stop cuts.
const CUT_LINES_MAX: u32 = 20;

/// Time for the logger to write its last lines before the process exits.
const LOG_FLUSH_DELAY: Duration = Duration::from_millis(50);

/// Maximum time that a read of the topic with the operators' records waits for a new record. It is
/// short enough that the policy is proven to be the newest several times within the time by which a
/// revoked key must stop working.
const POLICY_READ_WAIT: Duration = Duration::from_millis(1_400);

/// Maximum time that a read of the servers' topic waits for a new record; heartbeats of the servers
/// end the wait sooner.
const SERVERS_READ_WAIT: Duration = Duration::from_secs(1);

/// Interval between reads of the servers' topic. It is well below the time within which a server
/// that is leaving (about to be stopped) must stop receiving new work.
const SERVERS_READ_INTERVAL: Duration = Duration::from_millis(800);

/// Maximum time that a read of the instances' topic waits for a new record; it is long because
/// instances rarely start or stop.
const INSTANCES_READ_WAIT: Duration = Duration::from_secs(10);

/// Interval between reads of the instances' topic; one read then returns the records of all
/// instances that started at about the same time.
pub(crate) const INSTANCES_READ_INTERVAL: Duration = Duration::from_millis(800);

/// Interval at which a stop checks whether calls are still in progress or connections open.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which it is checked whether a peer has a newer policy. It is longer than the log
/// usually takes to deliver one.
const ADOPT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which expired idle connections of callers and to servers are closed.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);

/// Platform-specific parts of an instance.
pub struct ServingParts {
    /// Address on which callers' requests are accepted.
    pub callers: SocketAddr,
    /// Client of the platform's capacity and usage API, if there is one.
    pub cloud: Option<Rc<dyn Cloud>>,
    /// Decodes an operators' record.
    pub decode_policy: fn(&KeyedRecord) -> PolicyRecord,
    /// Decodes a server's record from its id and value; a server whose record cannot be decoded is
    /// removed.
    pub decode_server: fn(&str, &[u8]) -> Result<ServerRecord>,
    /// Time between the stop signal and the kill.
    pub grace: Duration,
    /// Client of the log service that holds the topics.
    pub log: Rc<dyn TopicLog>,
    /// Address at which other instances send their digests (over UDP) and read topics of the log
    /// (over TCP).
    pub peer_address: SocketAddr,
    /// Name of the topic with the operators' records, one of which holds the policy.
    pub policy_topic: &'static str,
    /// Reads the settings again on SIGHUP; after an error the current ones stay.
    pub reload: fn() -> Result<ServingSettings>,
    /// Formats of the orders and statuses of rollouts.
    pub rollout: RolloutParts,
    /// Name of the topic in which backend servers register themselves.
    pub server_topic: &'static str,
    /// Address of the listener for readiness and metrics.
    pub status: SocketAddr,
}

/// Runs an instance until SIGTERM, then waits for its calls to end, at most for the grace period.
pub async fn run_serving(serving: Rc<ServingState>, parts: ServingParts) -> Result {
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
    let counted_log = CountedLog::new(parts.log, serving.metrics.clone());
    let direct_log: Rc<dyn TopicLog> = Rc::new(counted_log);
    let shared_log =
        start_shared_log(&serving, direct_log.clone(), parts.peer_address, &shutdown).await?;
    let log: Rc<dyn TopicLog> = shared_log.clone();
    let policies = TopicFollower {
        log: log.clone(),
        pause: Duration::ZERO,
        peer_pause: Duration::ZERO,
        topic: parts.policy_topic,
        wait: POLICY_READ_WAIT,
    };
    let servers = TopicFollower {
        log: log.clone(),
        pause: SERVERS_READ_INTERVAL,
        peer_pause: Duration::ZERO,
        topic: parts.server_topic,
        wait: reader_wait(serving.settings.edit_time, SERVERS_READ_INTERVAL).min(SERVERS_READ_WAIT),
    };
    let decode_order = parts.rollout.decode_order;
    follow_policies(
        &serving,
        policies,
        parts.decode_policy,
        decode_order,
        &shutdown,
    );
    let rollouts = RolloutDuty::new(
        serving.clone(),
        direct_log.clone(),
        shared_log.clone(),
        parts.rollout,
    );
    actix_rt::spawn(rollouts.run(shutdown.clone()));
    actix_rt::spawn(adopt_policies(
        serving.clone(),
        shared_log,
        parts.policy_topic,
        parts.decode_policy,
        shutdown.clone(),
    ));
    follow_servers(&serving, servers, parts.decode_server, &shutdown);
    let socket = bind_gossip(parts.peer_address).await?;
    actix_rt::spawn(run_gossip(serving.clone(), socket, shutdown.clone()));
    follow_peers(&serving, log, parts.peer_address, &shutdown);
    if let Some(cloud) = parts.cloud {
        let cloud = Rc::new(CountedCloud::new(cloud, serving.metrics.clone()));
        let duties = Duties::new(serving.clone(), direct_log.clone(), cloud);
        actix_rt::spawn(duties.run(shutdown.clone()));
    }
    actix_rt::spawn(watch_centres(serving.clone(), shutdown.clone()));
    actix_rt::spawn(run_housekeeping(serving.clone(), shutdown.clone()));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => match (parts.reload)() {
                Ok(settings) => {
                    info!("reload instance={} settings={settings:?}", settings.instance);
                    serving.reload(settings);
                }
                Err(error) => warn!("reload failed; keeping the current settings: {error}"),
            },
        }
    }
    actix_rt::spawn(remove_address(serving.clone(), direct_log));
    stop(&serving, parts.grace, &accepting, &closing).await;
    shutdown.cancel();
    tokio::time::sleep(LOG_FLUSH_DELAY).await;
    Ok(())
}

/// Starts the server from which peers read topics, and returns a log client that itself reads from
/// peers where possible.
async fn start_shared_log(
    serving: &Rc<ServingState>,
    log: Rc<dyn TopicLog>,
    address: SocketAddr,
    shutdown: &CancellationToken,
) -> Result<Rc<SharedLog>> {
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

/// Stops in order: reports that the instance is not ready, waits for the load balancer to notice,
/// stops accepting connections and waits until the calls in progress have ended and the callers'
/// connections have closed, at most until shortly before the end of `grace`.
async fn stop(
    serving: &ServingState,
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
    let delay = LOAD_BALANCER_DELAY.min(grace / 2);
    tokio::time::sleep(delay.mul_f64(LATE_CALL_FRACTION)).await;
    serving.refuses_calls.set(true);
    tokio::time::sleep(delay.mul_f64(1.0 - LATE_CALL_FRACTION) + REFUSING_TIME).await;
    accepting.cancel();
    closing.cancel();
    let end = grace.saturating_sub(EXIT_RESERVE);
    // Responses of calls that have ended may not have been written yet, so the callers' connections
    // have to close, too.
    let is_busy = || serving.in_flight.get() > 0 || !serving.callers.borrow().is_empty();
    while is_busy() && began.elapsed() < end {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    serving.stopped.set(true);
    log_unanswered(serving);
    info!(
        "stop instance={} done in_flight={} ms={}",
        serving.settings.instance,
        serving.in_flight.get(),
        began.elapsed().as_millis()
    );
}

/// Removes this instance's address from the log, so that peers send it no further digests. A peer
/// that gets one of its last digests does not add it again.
async fn remove_address(serving: Rc<ServingState>, log: Rc<dyn TopicLog>) {
    let instance = &serving.settings.instance;
    let removal = log.put(INSTANCES_TOPIC, instance, Bytes::new());
    match tokio::time::timeout(DEREGISTER_TIMEOUT, removal).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => warn!("peer address not removed from the log: {error}"),
        Err(_) => {
            warn!("peer address not removed from the log in time; peers will detect the silence");
        }
    }
}

/// Logs the connections whose callers are not answered although the stop ends, at most
/// [`CUT_LINES_MAX`] of them, and then the number of all.
fn log_unanswered(serving: &ServingState) {
    let instance = &serving.settings.instance;
    let mut count = 0;
    for connection in serving.callers.borrow().values() {
        let Some(connection) = connection.upgrade() else {
            continue;
        };
        let Some(unanswered) = connection.unanswered() else {
            continue;
        };
        count += 1;
        if count <= CUT_LINES_MAX {
            let peer = connection.peer;
            warn!("stop instance={instance} cut {unanswered} peer={peer}");
        }
    }
    if count > 0 {
        warn!("stop instance={instance} cut_connections={count}");
    }
}

fn follow_policies(
    serving: &Rc<ServingState>,
    follower: TopicFollower,
    decode: fn(&KeyedRecord) -> PolicyRecord,
    decode_order: fn(&KeyedRecord) -> Option<OrderRecord>,
    shutdown: &CancellationToken,
) {
    let serving = serving.clone();
    let topic = follower.topic;
    let on_event = move |event| match event {
        TopicEvent::CaughtUp { at, end } => {
            serving.policy.borrow_mut().confirm_newest(at);
            serving.confirm_feed_end(topic, at, end);
        }
        TopicEvent::Change(record) => {
            let is_older = match decode(&record) {
                PolicyRecord::Other => {
                    add_order(&serving, decode_order(&record));
                    false
                }
                PolicyRecord::Policy(policy) => apply_policy(&serving, policy, record.offset),
                PolicyRecord::Removed => {
                    serving.policy.borrow_mut().record_removed();
                    warn!("policy offset={} removed", record.offset);
                    false
                }
                PolicyRecord::Unreadable { error, version } => {
                    serving.metrics.unreadable_record(topic);
                    mark_unreadable(&serving, &error, version, record.offset)
                }
            };
            // Peers must not get an older policy, which a restored log may hold.
            if !is_older {
                serving.update_feed(topic, record);
            }
        }
        TopicEvent::Reachable(true) => {}
        TopicEvent::Restored => serving.policy.borrow_mut().mark_restored(),
        TopicEvent::Reachable(false) => serving.mark_feed_lost(topic),
    };
    actix_rt::spawn(follower.run(on_event, shutdown.clone()));
}

/// Registers this instance's address in the log and keeps the addresses of the other instances up
/// to date.
fn follow_peers(
    serving: &Rc<ServingState>,
    log: Rc<dyn TopicLog>,
    address: SocketAddr,
    shutdown: &CancellationToken,
) {
    let follower = TopicFollower {
        log: log.clone(),
        pause: INSTANCES_READ_INTERVAL,
        peer_pause: INSTANCES_READ_INTERVAL,
        topic: INSTANCES_TOPIC,
        wait: INSTANCES_READ_WAIT,
    };
    let serving = serving.clone();
    let shutdown = shutdown.clone();
    actix_rt::spawn(async move {
        register_address(&serving, log.as_ref(), address).await;
        let own = serving.settings.instance.clone();
        let on_event = move |event| match event {
            TopicEvent::Change(record) => {
                {
                    let mut peers = serving.peers.borrow_mut();
                    peers.apply_record(boot_time(), &record, &own);
                    let mut limits = serving.limits.borrow_mut();
                    limits.set_instances(peers.known_count() + 1);
                }
                serving.update_feed(INSTANCES_TOPIC, record);
            }
            TopicEvent::CaughtUp { at, end } => {
                serving.confirm_feed_end(INSTANCES_TOPIC, at, end);
            }
            TopicEvent::Reachable(false) => serving.mark_feed_lost(INSTANCES_TOPIC),
            TopicEvent::Reachable(true) => {}
            TopicEvent::Restored => {
                // The copy may be from before the registration.
                let (serving, log) = (serving.clone(), log.clone());
                actix_rt::spawn(async move {
                    register_address(&serving, log.as_ref(), address).await;
                });
            }
        };
        follower.run(on_event, shutdown).await;
    });
}

/// Puts a policy that the log holds in force, if it is newer. Returns true if it is older than the
/// one in force.
fn apply_policy(serving: &ServingState, policy: Arc<Policy>, offset: LogOffset) -> bool {
    let version = policy.version;
    let mut state = serving.policy.borrow_mut();
    let taken = state.update(policy);
    info!("policy version={version} offset={offset} taken={taken}");
    version < state.version_in_force()
}

/// Adds an order to roll out a version, if the settings allow rollouts.
fn add_order(serving: &ServingState, order: Option<OrderRecord>) {
    let (Some(rollouts), Some(order)) = (&serving.rollouts, order) else {
        return;
    };
    let text = format!(
        "rollout service={} order={} target={}",
        order.service, order.offset, order.target
    );
    let is_new = rollouts.borrow_mut().add_order(boot_time(), order);
    info!("{text} is_new={is_new}");
}

/// Records a policy that the log holds and that cannot be decoded. Returns true if it is known to be
/// older than the one in force.
fn mark_unreadable(
    serving: &ServingState,
    error: &Error,
    version: Option<PolicyVersion>,
    offset: LogOffset,
) -> bool {
    let mut state = serving.policy.borrow_mut();
    state.record_unreadable(version);
    let in_force = state.version_in_force();
    warn!(
        "policy offset={offset} unreadable version={} in_force={in_force}: {error}",
        version_text(version)
    );
    version.is_some_and(|version| version < in_force)
}

fn version_text(version: Option<PolicyVersion>) -> String {
    version.map_or("unknown".to_owned(), |version| version.to_string())
}

/// Gets the policy from a peer whenever one has a newer version than this instance, which reads it
/// from the log unless that was restored from an older copy.
async fn adopt_policies(
    serving: Rc<ServingState>,
    log: Rc<SharedLog>,
    topic: &'static str,
    decode: fn(&KeyedRecord) -> PolicyRecord,
    shutdown: CancellationToken,
) {
    while !shutdown.is_cancelled() {
        tokio::time::sleep(ADOPT_INTERVAL).await;
        let version = serving.policy.borrow().newest_version();
        let peers = serving.peers.borrow().ahead(boot_time(), version);
        for address in peers {
            let Some(page) = log.read_peer(address, topic).await else {
                continue;
            };
            for record in page.records {
                let mut state = serving.policy.borrow_mut();
                match decode(&record) {
                    PolicyRecord::Other | PolicyRecord::Removed => {}
                    PolicyRecord::Policy(policy) => {
                        let version = policy.version;
                        let taken = state.adopt(policy);
                        info!("policy version={version} peer={address} taken={taken}");
                    }
                    PolicyRecord::Unreadable { error, version } => {
                        // Without its version it may be one that was replaced since.
                        state.record_unreadable_version(version.unwrap_or_default());
                        let version = version_text(version);
                        warn!("policy peer={address} unreadable version={version}: {error}");
                    }
                }
            }
            if !serving.policy.borrow().is_behind() {
                break;
            }
        }
    }
}

fn follow_servers(
    serving: &Rc<ServingState>,
    follower: TopicFollower,
    decode: fn(&str, &[u8]) -> Result<ServerRecord>,
    shutdown: &CancellationToken,
) {
    let serving = serving.clone();
    let topic = follower.topic;
    let on_event = move |event| match event {
        TopicEvent::CaughtUp { at, end } => serving.confirm_feed_end(topic, at, end),
        TopicEvent::Change(record) => {
            if apply_server(&serving, &record, decode) {
                serving.update_feed(topic, record);
            }
        }
        TopicEvent::Reachable(true) | TopicEvent::Restored => {}
        TopicEvent::Reachable(false) => serving.mark_feed_lost(topic),
    };
    actix_rt::spawn(follower.run(on_event, shutdown.clone()));
}

/// Applies a server's record to the fleet, the set of known servers. Returns true if it changed the
/// known state of the server.
fn apply_server(
    serving: &ServingState,
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
            warn!("server id={id} offset={} rejected: {error}", record.offset);
            fleet.remove(id)
        }
    }
}

async fn run_housekeeping(serving: Rc<ServingState>, shutdown: CancellationToken) {
    while !shutdown.is_cancelled() {
        tokio::time::sleep(HOUSEKEEPING_INTERVAL).await;
        serving.connections.close_expired();
        serving.close_idle_callers(boot_time());
    }
}
