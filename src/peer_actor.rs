//! The actor that owns the membership (the list of live entry instances, which accept callers'
//! requests) and exchanges frames with the other instances. A claim is a log record that reserves
//! an idempotency key for one call; claims are distributed over several log streams, the
//! partitions. The table is the operators' list of backend servers, models, routes and client
//! accounts; the table in force is the newest version that this instance has applied.

use super::*;

use std::sync::atomic::Ordering;

use futures_util::future::LocalBoxFuture;
use wire::frame::Body;

/// Timeout of a request to a peer, in the same data centre or another, except for claims.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a claim request to the instance that batches the partition's claims. After it the
/// claim is ordered by this instance.
const CLAIM_REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Number of members that are asked for a session (a registered model call): those that rank
/// highest for its name, its homes.
const SESSION_HOMES: usize = 2;

/// Number of instances of each data centre that poll a backend server.
const POLLERS_PER_SERVER: usize = 2;

/// Frame of a peer, after the peer has presented the peer key. The result is the reply to a
/// request, and `None` for one-way frames.
#[derive(Message)]
#[rtype(result = "Option<Body>")]
pub struct InboundFrame {
    /// Message that the frame contains.
    pub body: Body,
    /// Name that the sender gave in its hello frame; it is not verified.
    pub from: InstanceName,
}

/// State that this instance observed and tells other instances; the sender does not notice if a
/// message is lost.
#[derive(Debug, Clone, Message)]
#[rtype(result = "()")]
pub enum Announce {
    /// Loads of the backend servers that this instance polls; sent only within its data centre.
    Loads(Vec<(ServerName, LoadReport)>),
    /// A source (the server itself, the platform's instance list or an operator) started or stopped
    /// reporting a backend server as leaving.
    ServerLeaving {
        /// True if the source now reports the server as leaving, false if it no longer does.
        leaving: bool,
        /// Name of the server in the table.
        server: ServerName,
        /// Source of the report; each source is tracked separately.
        source: LeavingSource,
    },
    /// A content was running on a server when the server failed; enough such failures quarantine
    /// it.
    Suspect {
        /// Account that sent the content.
        account: AccountName,
        /// Hash by which all instances identify the content.
        content_hash: u64,
        /// Parts of the request, if the server failed as it began to answer it; otherwise empty.
        parts: SuspectParts,
        /// Server that failed while it ran the content.
        server: ServerName,
    },
}

/// Submits a claim record to the instance that batches its partition's claims, or to this instance
/// if that one does not reply. The result is the verdict that the log's order gives.
#[derive(Message)]
#[rtype(result = "Verdict")]
pub struct OrderClaim {
    /// Number of the claim partition to which the record's key belongs.
    pub partition: u32,
    /// Claim, release or answer to append to the partition's topic.
    pub record: ClaimRecord,
}

/// Asks the session's homes and a contact of each other data centre for a model call and moves it
/// here; `None` if none of them runs it.
#[derive(Message)]
#[rtype(result = "Option<CallState>")]
pub struct FetchSession(
    /// Account and session name, under which the call is registered.
    pub SessionKey,
);

/// Hands a call over to another instance, trying the session's homes before other data centres. The
/// result is true if one accepted it.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct HandOverCall(
    /// Request and text generated so far, from which another instance continues the call.
    pub CallState,
);

/// Tells the live members of this data centre that this instance is stopping.
#[derive(Message)]
#[rtype(result = "()")]
pub struct AnnounceLeaving;

/// Announces a new version of the table in force to some members and to other data centres.
#[derive(Message)]
#[rtype(result = "()")]
pub struct AnnounceTable {
    /// New version, which this instance has already applied; receivers with an older one fetch it.
    pub version: TableVersion,
}

/// Requests the state of the membership for the administration listener.
#[derive(Message)]
#[rtype(result = "MembershipStatus")]
pub struct GetMembership;

/// Requests those of the given servers that this instance polls.
#[derive(Message)]
#[rtype(result = "PolledServers")]
pub struct GetPolledServers(
    /// Names of all servers in the table, of any data centre.
    pub Vec<ServerName>,
);

/// Servers that this instance polls, and the size of its data centre, which determines the
/// interval.
#[derive(Debug, Default)]
pub struct PolledServers {
    /// Number of live members of this data centre, including this instance.
    pub members: usize,
    /// Those of the requested servers that this instance has to poll.
    pub servers: Vec<ServerName>,
}

/// State of the membership as seen by this instance; body of `GET /admin/members`.
#[derive(Debug, Clone, Serialize)]
pub struct MembershipStatus {
    /// Other data centres that are not cut off, with their numbers of live instances and the table
    /// versions in their summaries.
    pub centres: Vec<(DataCentreName, u32, TableVersion)>,
    /// Number of live instances, including this one, in all data centres that are not cut off.
    pub live_count: u32,
    /// Instances of this data centre that are live and not leaving.
    pub members: Vec<InstanceName>,
}

/// Actor that owns the membership and the connections to peers. At every tick it sends this
/// instance's share of the account limits to the router.
pub struct PeerActor {
    pub(crate) claims: Addr<ClaimActor>,
    pub(crate) context: Option<Arc<Context>>,
    pub(crate) links: PeerLinks,
    pub(crate) members: Membership,
    pub(crate) router: Addr<RouterActor>,
    pub(crate) table: Option<Addr<TableActor>>,
    pub(crate) table_version: TableVersion,
    started_at: Instant,
}

/// Provides the actor with the parts that are created after it; until then it answers no requests
/// that need them.
#[derive(Message)]
#[rtype(result = "()")]
pub struct AttachContext {
    /// State of the instance, for sessions, hand-overs and the table in force.
    pub context: Arc<Context>,
    /// Actor that answers table requests of peers.
    pub table: Addr<TableActor>,
}

impl PeerActor {
    /// Creates the actor, to be started before its [`AttachContext`] message is sent.
    pub fn new(
        members: Membership,
        links: PeerLinks,
        router: Addr<RouterActor>,
        claims: Addr<ClaimActor>,
    ) -> Self {
        Self {
            claims,
            context: None,
            links,
            members,
            router,
            started_at: Instant::now(),
            table: None,
            table_version: 0,
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn send_outbound(&self, outbound: OutboundMessages) {
        for message in outbound {
            self.links.send(message.to, Body::from(&message.message));
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        let outbound = self.members.tick(now);
        self.send_outbound(outbound);
        let live = self.members.live_count().max(1);
        if let Some(context) = &self.context {
            context.counts.live_count.store(live, Ordering::Relaxed);
        }
        self.router.do_send(SetLimitFraction(1.0 / f64::from(live)));
    }

    /// Sends a one-way frame to all live members of this data centre except this one.
    fn broadcast_local(&self, body: &Body) {
        for member in self.members.live() {
            self.links.send(member.peer_address, body.clone());
        }
    }

    /// Sends a one-way frame to one contact of each other data centre, which forwards it to its
    /// members.
    fn send_to_other_centres(&self, body: &Body) {
        for summary in self.members.centres() {
            if let Some(contact) = summary.contacts.first() {
                self.links.send(contact.peer_address, body.clone());
            }
        }
    }

    /// Applies a note (a one-way announcement) from another instance. A note from another data
    /// centre is forwarded to the members of this one.
    fn apply_note(&self, from: &InstanceName, body: Body) {
        let is_local = self.members.live().any(|member| member.instance == *from);
        if !is_local {
            self.broadcast_local(&body);
        }
        match body {
            Body::ServerNote(note) => self.router.do_send(SetLeaving {
                is_detected_here: false,
                leaving: note.leaving,
                server: note.server.into(),
                source: leaving_source(note.source),
            }),
            Body::SuspectNote(note) => self.router.do_send(SuspectContent {
                account: note.account.into(),
                content_hash: note.content_hash,
                parts: note.parts.into_iter().take(PARTS_MAX).collect(),
                server: note.server.into(),
            }),
            _ => {}
        }
    }

    fn apply_loads(&self, note: wire::LoadNote) {
        let Some(context) = &self.context else {
            return;
        };
        let in_force = context.table.load();
        for load in note.loads {
            let mut servers = in_force.table.servers.iter();
            let Some(row) = servers.find(|row| server_hash(&row.name) == load.server_hash) else {
                continue;
            };
            self.router.do_send(ReportLoad {
                report: LoadReport {
                    queued: load.queued,
                    running: load.running,
                },
                server: row.name.clone(),
            });
        }
    }

    /// Returns the address of the instance that batches a partition's claims or, in another data
    /// centre, of a contact that forwards to it; `None` if this instance has to batch them.
    fn batcher_address(&self, partition: u32, is_forwarded: bool) -> Option<SocketAddr> {
        let name = partition_name(partition);
        let home_centre = self.members.home_centre(&name);
        if home_centre != self.members.own().data_centre {
            if is_forwarded {
                return None;
            }
            let mut centres = self.members.centres();
            let home = centres.find(|summary| summary.data_centre == home_centre)?;
            return home.contacts.first().map(|contact| contact.peer_address);
        }
        let home = self.members.home(&name, 0)?;
        (home.instance != self.members.own().instance).then_some(home.peer_address)
    }

    fn order_claim(&self, partition: u32, record: ClaimRecord, hops: u32) -> OrderFuture {
        let claims = self.claims.clone();
        let order_locally = move |record| async move {
            let sent = claims.send(SubmitClaimRecord { partition, record }).await;
            sent.unwrap_or(Verdict::Unavailable)
        };
        let to = match hops < CLAIM_HOPS_MAX {
            true => self.batcher_address(partition, hops > 0),
            false => None,
        };
        let Some(to) = to else {
            return Box::pin(order_locally(record));
        };
        let links = self.links.clone();
        Box::pin(async move {
            let request = wire::ClaimRequest {
                hops: hops + 1,
                partition,
                record: Some(wire::LogRecord::from(&record)),
            };
            let body = Body::ClaimRequest(request);
            match links.request(to, body, CLAIM_REQUEST_TIMEOUT).await {
                Some(Body::ClaimReply(reply)) => reply.into(),
                // The instance that batches the partition's claims may have failed with the record;
                // any other instance can append it instead.
                _ => order_locally(record).await,
            }
        })
    }

    fn answer(&self, body: Body) -> AnswerFuture {
        match body {
            Body::ClaimRequest(request) => {
                let record = request
                    .record
                    .and_then(|record| ClaimRecord::try_from(record).ok());
                let Some(record) = record else {
                    return Box::pin(std::future::ready(None));
                };
                let ordered = self.order_claim(request.partition, record, request.hops);
                Box::pin(async move { Some(Body::ClaimReply((&ordered.await).into())) })
            }
            Body::Handover(handover) => self.answer_handover(handover),
            Body::SessionRequest(request) => self.answer_session(request),
            Body::TableRequest(request) => self.answer_table(request.have_version),
            _ => Box::pin(std::future::ready(None)),
        }
    }

    fn answer_handover(&self, handover: wire::Handover) -> AnswerFuture {
        let Some(context) = self.context.clone() else {
            return Box::pin(std::future::ready(None));
        };
        Box::pin(async move {
            let taken = take_over(context, CallState::from(handover)).await;
            Some(Body::HandoverAck(wire::HandoverAck { taken }))
        })
    }

    fn answer_session(&self, request: wire::SessionRequest) -> AnswerFuture {
        let Some(context) = self.context.clone() else {
            return Box::pin(std::future::ready(None));
        };
        let key = (request.account.into(), request.session.into());
        let is_from_other_centre = request.hops == 0;
        let home_requests = match is_from_other_centre {
            true => self.request_from_homes(&key, request.hops + 1),
            false => Vec::new(),
        };
        Box::pin(async move {
            let mut found = context.release_session(key).await;
            for request in home_requests {
                if found.is_some() {
                    break;
                }
                found = request.await;
            }
            let session = found.as_ref().map(wire::Handover::from);
            Some(Body::SessionReply(wire::SessionReply { session }))
        })
    }

    /// Builds the requests for a session to its homes in this data centre, without this instance. A
    /// request is sent when its future is first polled.
    fn request_from_homes(&self, key: &SessionKey, hops: u32) -> Vec<SessionFuture> {
        let mut requests: Vec<SessionFuture> = Vec::new();
        for skip in 0..SESSION_HOMES {
            let Some(home) = self.members.home(&key.1, skip) else {
                continue;
            };
            if home.instance != self.members.own().instance {
                requests.push(self.request_session(home.peer_address, key, hops));
            }
        }
        requests
    }

    fn request_session(&self, to: SocketAddr, key: &SessionKey, hops: u32) -> SessionFuture {
        let links = self.links.clone();
        let request = wire::SessionRequest {
            account: key.0.to_string(),
            hops,
            session: key.1.to_string(),
        };
        Box::pin(async move {
            let body = Body::SessionRequest(request);
            match links.request(to, body, REQUEST_TIMEOUT).await {
                Some(Body::SessionReply(reply)) => reply.session.map(CallState::from),
                _ => None,
            }
        })
    }

    /// Returns the instances to which a call can be handed over, best first: the session's homes in
    /// this data centre, then contacts in the others.
    fn handover_targets(&self, session: &str) -> Vec<SocketAddr> {
        let mut targets = Vec::new();
        for skip in 0..SESSION_HOMES {
            if let Some(home) = self.members.home(session, skip)
                && home.instance != self.members.own().instance
            {
                targets.push(home.peer_address);
            }
        }
        for summary in self.members.centres() {
            if let Some(contact) = summary.contacts.first() {
                targets.push(contact.peer_address);
            }
        }
        targets
    }
}

/// Maximum number of forwards of a claim: by the first instance and by the contact in the
/// partition's home data centre.
const CLAIM_HOPS_MAX: u32 = 2;

pub(crate) type AnswerFuture = ResponseFuture<Option<Body>>;

type OrderFuture = ResponseFuture<Verdict>;

type SessionFuture = ResponseFuture<Option<CallState>>;

fn partition_name(partition: u32) -> String {
    format!("claims-{partition}")
}

/// Short identifier of a server in load notes. Two servers with the same identifier share their
/// loads, which only makes the choice of servers less accurate.
fn server_hash(server: &ServerName) -> u32 {
    xxh3_64(server.as_bytes()) as u32
}

fn leaving_source(wire_source: u32) -> LeavingSource {
    match wire_source {
        1 => LeavingSource::InstanceList,
        2 => LeavingSource::Operator,
        _ => LeavingSource::Server,
    }
}

fn wire_source(source: LeavingSource) -> u32 {
    match source {
        LeavingSource::InstanceList => 1,
        LeavingSource::Operator => 2,
        LeavingSource::Server => 3,
    }
}

/// Passes the frames that the peer listener receives to the actor.
pub struct PeerActorService {
    key: SmolStr,
    peers: Addr<PeerActor>,
}

impl PeerActorService {
    /// Creates the service for a started actor. Peers must present the peer key of `settings`.
    pub fn new(peers: Addr<PeerActor>, settings: &Settings) -> Self {
        Self {
            key: settings.peer_key.as_str().into(),
            peers,
        }
    }
}

impl PeerService for PeerActorService {
    fn answer(&self, inbound: InboundFrame) -> LocalBoxFuture<'static, Option<Body>> {
        let answer = self.peers.send(inbound);
        // A stopped actor sends no reply.
        Box::pin(async move { answer.await.ok().flatten() })
    }

    fn peer_key(&self) -> &str {
        &self.key
    }

    fn receive(&self, inbound: InboundFrame) {
        self.peers.do_send(inbound);
    }
}

impl Actor for PeerActor {
    type Context = actix::Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(membership::TICK_INTERVAL, |actor, _| actor.tick());
    }
}

impl Handler<AttachContext> for PeerActor {
    type Result = ();

    fn handle(&mut self, message: AttachContext, _: &mut Self::Context) {
        self.context = Some(message.context);
        self.table = Some(message.table);
    }
}

impl Handler<InboundFrame> for PeerActor {
    type Result = ResponseFuture<Option<Body>>;

    fn handle(&mut self, message: InboundFrame, _: &mut Self::Context) -> Self::Result {
        let InboundFrame { body, from } = message;
        match body {
            Body::Beat(_)
            | Body::CentreSummary(_)
            | Body::Directory(_)
            | Body::MemberNote(_)
            | Body::Vouch(_)
            | Body::VouchRequest(_) => self.receive_member_message(body),
            Body::LoadNote(note) => self.apply_loads(note),
            Body::ServerNote(_) | Body::SuspectNote(_) => self.apply_note(&from, body),
            Body::TableNotice(notice) => self.receive_table_notice(&notice),
            other => return self.answer(other),
        }
        Box::pin(std::future::ready(None))
    }
}

impl PeerActor {
    fn receive_member_message(&mut self, body: Body) {
        let now = self.now();
        match MemberMessage::try_from(body) {
            Ok(message) => {
                self.fetch_newer_table(&message);
                let outbound = self.members.receive(now, message);
                self.send_outbound(outbound);
            }
            Err(error) => warn!("{error}"),
        }
    }
}

impl Handler<Announce> for PeerActor {
    type Result = ();

    fn handle(&mut self, message: Announce, _: &mut Self::Context) {
        let body = match message {
            Announce::Loads(loads) => {
                let mut note = wire::LoadNote::default();
                for (server, report) in loads {
                    note.loads.push(wire::ServerLoad {
                        server_hash: server_hash(&server),
                        running: report.running,
                        queued: report.queued,
                    });
                }
                self.broadcast_local(&Body::LoadNote(note));
                return;
            }
            Announce::ServerLeaving {
                leaving,
                server,
                source,
            } => Body::ServerNote(wire::ServerNote {
                server: server.to_string(),
                leaving,
                source: wire_source(source),
            }),
            Announce::Suspect {
                account,
                content_hash,
                parts,
                server,
            } => Body::SuspectNote(wire::SuspectNote {
                content_hash,
                parts: parts.to_vec(),
                account: account.to_string(),
                server: server.to_string(),
            }),
        };
        self.broadcast_local(&body);
        self.send_to_other_centres(&body);
    }
}

impl Handler<OrderClaim> for PeerActor {
    type Result = ResponseFuture<Verdict>;

    fn handle(&mut self, message: OrderClaim, _: &mut Self::Context) -> Self::Result {
        self.order_claim(message.partition, message.record, 0)
    }
}

impl Handler<FetchSession> for PeerActor {
    type Result = ResponseFuture<Option<CallState>>;

    fn handle(&mut self, message: FetchSession, _: &mut Self::Context) -> Self::Result {
        let key = message.0;
        let mut requests = self.request_from_homes(&key, 1);
        for summary in self.members.centres() {
            if let Some(contact) = summary.contacts.first() {
                requests.push(self.request_session(contact.peer_address, &key, 0));
            }
        }
        Box::pin(async move {
            for request in requests {
                let found = request.await;
                if found.is_some() {
                    return found;
                }
            }
            None
        })
    }
}

impl Handler<HandOverCall> for PeerActor {
    type Result = ResponseFuture<bool>;

    fn handle(&mut self, message: HandOverCall, _: &mut Self::Context) -> Self::Result {
        let state = message.0;
        let targets = self.handover_targets(&state.session);
        let links = self.links.clone();
        Box::pin(async move {
            for target in targets {
                let body = Body::Handover(wire::Handover::from(&state));
                let reply = links.request(target, body, REQUEST_TIMEOUT).await;
                if let Some(Body::HandoverAck(wire::HandoverAck { taken: true })) = reply {
                    info!("hand-over request={} to={target}", state.request_id);
                    return true;
                }
            }
            false
        })
    }
}

impl Handler<AnnounceLeaving> for PeerActor {
    type Result = ();

    fn handle(&mut self, _: AnnounceLeaving, _: &mut Self::Context) {
        let outbound = self.members.set_leaving();
        self.send_outbound(outbound);
    }
}

impl Handler<AnnounceTable> for PeerActor {
    type Result = ();

    fn handle(&mut self, message: AnnounceTable, _: &mut Self::Context) {
        self.announce_version(message.version);
    }
}

impl Handler<GetMembership> for PeerActor {
    type Result = MessageResult<GetMembership>;

    fn handle(&mut self, _: GetMembership, _: &mut Self::Context) -> Self::Result {
        let mut centres = Vec::new();
        for summary in self.members.centres() {
            let name = summary.data_centre.clone();
            centres.push((name, summary.live_count, summary.table_version));
        }
        MessageResult(MembershipStatus {
            centres,
            live_count: self.members.live_count(),
            members: self
                .members
                .active()
                .map(|member| member.instance.clone())
                .collect(),
        })
    }
}

impl Handler<GetPolledServers> for PeerActor {
    type Result = MessageResult<GetPolledServers>;

    fn handle(&mut self, message: GetPolledServers, _: &mut Self::Context) -> Self::Result {
        let mut servers = message.0;
        servers.retain(|server| self.members.is_home(server, POLLERS_PER_SERVER));
        MessageResult(PolledServers {
            members: 1 + self.members.live().count(),
            servers,
        })
    }
}
