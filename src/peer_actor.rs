//! The actor that owns the membership and speaks with the other instances.

use super::*;

use std::sync::atomic::Ordering;

use futures_util::future::LocalBoxFuture;
use wire::frame::Body;

/// Time for an answer of a peer in the same data centre or another.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for the gatherer of a partition to order a record.
const CLAIM_REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Homes of a session that are asked for it.
const SESSION_HOMES: usize = 2;

/// Instances that poll a backend server.
const POLLERS: usize = 2;

/// A frame that came in, with its sender.
#[derive(Message)]
#[rtype(result = "Option<Body>")]
pub struct InboundFrame {
    /// The frame's body.
    pub body: Body,
    /// Name that the sender gave.
    pub from: InstanceName,
}

/// News for all instances.
#[derive(Debug, Clone, Message)]
#[rtype(result = "()")]
pub enum Announce {
    /// Load of backend servers that this instance polls; goes to its own data centre.
    Loads(Vec<(ServerName, LoadReport)>),
    /// A backend server is leaving or is not.
    ServerLeaving {
        /// True if it is leaving.
        leaving: bool,
        /// The server.
        server: ServerName,
        /// Who says so.
        source: LeavingSource,
    },
    /// A content was running on a server that broke.
    Suspect {
        /// Account whose request it was.
        account: AccountName,
        /// Hash of the content.
        content_hash: u64,
        /// Server that broke.
        server: ServerName,
    },
}

/// Orders a claim record through the partition's gatherer.
#[derive(Message)]
#[rtype(result = "Verdict")]
pub struct OrderClaim {
    /// Partition of the record's key.
    pub partition: u32,
    /// The record.
    pub record: ClaimRecord,
}

/// Asks other instances for a session and moves it here.
#[derive(Message)]
#[rtype(result = "Option<CallState>")]
pub struct FetchSession(
    /// Account and session name.
    pub SessionKey,
);

/// Gives a call to another instance. The result tells if one took it.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct HandOverCall(
    /// What the other needs.
    pub CallState,
);

/// Tells all members that this instance is stopping.
#[derive(Message)]
#[rtype(result = "()")]
pub struct AnnounceLeaving;

/// The table in force changed.
#[derive(Message)]
#[rtype(result = "()")]
pub struct AnnounceTable {
    /// Version in force.
    pub version: TableVersion,
}

/// Asks for the state of the membership.
#[derive(Message)]
#[rtype(result = "MembershipStatus")]
pub struct AskMembership;

/// Asks which of the servers this instance polls.
#[derive(Message)]
#[rtype(result = "PolledServers")]
pub struct AskPolled(
    /// Names of all servers of the data centre.
    pub Vec<ServerName>,
);

/// Servers that fall to this instance.
#[derive(Debug, Default)]
pub struct PolledServers {
    /// Live members of the data centre.
    pub members: usize,
    /// Names.
    pub servers: Vec<ServerName>,
}

/// Membership as this instance sees it.
#[derive(Debug, Clone, Serialize)]
pub struct MembershipStatus {
    /// Other data centres, with their live instances and newest table version.
    pub centres: Vec<(DataCentreName, u32, TableVersion)>,
    /// Live instances in all reachable data centres.
    pub live_count: u32,
    /// Live instances of this data centre.
    pub members: Vec<InstanceName>,
}

/// Owner of the membership.
pub struct PeerActor {
    pub(crate) claims: Addr<ClaimActor>,
    pub(crate) context: Option<Arc<Context>>,
    pub(crate) links: PeerLinks,
    pub(crate) members: Members,
    pub(crate) router: Addr<RouterActor>,
    pub(crate) table: Option<Addr<TableActor>>,
    pub(crate) table_version: TableVersion,
    started_at: Instant,
}

/// Gives the actor the parts that are made after it.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Connect {
    /// Shared parts.
    pub context: Arc<Context>,
    /// Owner of the table's log.
    pub table: Addr<TableActor>,
}

impl PeerActor {
    /// Creates the actor of an instance.
    pub fn new(
        members: Members,
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

    fn send_all(&self, sends: MemberSends) {
        for send in sends {
            self.links.send(send.to, Body::from(&send.message));
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        let sends = self.members.tick(now);
        self.send_all(sends);
        let live = self.members.live_count().max(1);
        if let Some(context) = &self.context {
            context.counts.live_count.store(live, Ordering::Relaxed);
        }
        self.router.do_send(SetLimitFraction(1.0 / f64::from(live)));
    }

    /// Sends to all members of this data centre.
    fn send_here(&self, body: &Body) {
        for member in self.members.live() {
            self.links.send(member.peer_address, body.clone());
        }
    }

    /// Sends to one contact of each other data centre, who tells its own.
    fn send_abroad(&self, body: &Body) {
        for summary in self.members.centres() {
            if let Some(contact) = summary.contacts.first() {
                self.links.send(contact.peer_address, body.clone());
            }
        }
    }

    /// Takes news of another instance; what comes from another data centre is told on in this one.
    fn take_news(&self, from: &InstanceName, body: Body) {
        let is_from_here = self.members.live().any(|member| member.instance == *from);
        if !is_from_here {
            self.send_here(&body);
        }
        match body {
            Body::ServerNote(note) => self.router.do_send(SetLeaving {
                is_own_word: false,
                leaving: note.leaving,
                server: note.server.into(),
                source: leaving_source(note.source),
            }),
            Body::SuspectNote(note) => self.router.do_send(SuspectContent {
                account: note.account.into(),
                content_hash: note.content_hash,
                server: note.server.into(),
            }),
            _ => {}
        }
    }

    fn take_loads(&self, note: wire::LoadNote) {
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

    /// Address of the instance that gathers a partition's claims; `None` if it is this one.
    fn gatherer_of(&self, partition: u32, is_passed_on: bool) -> Option<SocketAddr> {
        let name = partition_name(partition);
        let home_centre = self.members.home_centre(&name);
        if home_centre != self.members.own().data_centre {
            if is_passed_on {
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
        let order_here = move |record| async move {
            let sent = claims.send(SubmitClaimRecord { partition, record }).await;
            sent.unwrap_or(Verdict::Unavailable)
        };
        let to = match hops < CLAIM_HOPS_MAX {
            true => self.gatherer_of(partition, hops > 0),
            false => None,
        };
        let Some(to) = to else {
            return Box::pin(order_here(record));
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
                // The gatherer may have vanished with the record; any instance can gather.
                _ => order_here(record).await,
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
        let is_abroad = request.hops == 0;
        let elsewhere = match is_abroad {
            true => self.ask_homes(&key, request.hops + 1),
            false => Vec::new(),
        };
        Box::pin(async move {
            let mut found = context.release_session(key).await;
            for asked in elsewhere {
                if found.is_some() {
                    break;
                }
                found = asked.await;
            }
            let session = found.as_ref().map(wire::Handover::from);
            Some(Body::SessionReply(wire::SessionReply { session }))
        })
    }

    /// Requests to the homes of a session in this data centre.
    fn ask_homes(&self, key: &SessionKey, hops: u32) -> Vec<SessionFuture> {
        let mut asked: Vec<SessionFuture> = Vec::new();
        for skip in 0..SESSION_HOMES {
            let Some(home) = self.members.home(&key.1, skip) else {
                continue;
            };
            if home.instance != self.members.own().instance {
                asked.push(self.ask_session(home.peer_address, key, hops));
            }
        }
        asked
    }

    fn ask_session(&self, to: SocketAddr, key: &SessionKey, hops: u32) -> SessionFuture {
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

    /// Instances to which a call can be handed, best first: its homes here, then abroad.
    fn takers(&self, session: &str) -> Vec<SocketAddr> {
        let mut takers = Vec::new();
        for skip in 0..SESSION_HOMES {
            if let Some(home) = self.members.home(session, skip)
                && home.instance != self.members.own().instance
            {
                takers.push(home.peer_address);
            }
        }
        for summary in self.members.centres() {
            if let Some(contact) = summary.contacts.first() {
                takers.push(contact.peer_address);
            }
        }
        takers
    }
}

/// Instances that may pass a claim on: the first one, and the contact in the home data centre.
const CLAIM_HOPS_MAX: u32 = 2;

/// Future of an answer to a peer.
pub(crate) type AnswerFuture = ResponseFuture<Option<Body>>;

type OrderFuture = ResponseFuture<Verdict>;

type SessionFuture = ResponseFuture<Option<CallState>>;

fn partition_name(partition: u32) -> String {
    format!("claims-{partition}")
}

/// Short name of a server in load notes. Two servers with one hash share their loads, which costs a
/// less good placement and nothing else.
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

/// Hands the frames of peers to the actor.
pub struct PeerActorService {
    key: SmolStr,
    peers: Addr<PeerActor>,
}

impl PeerActorService {
    /// Creates the service for an actor, with the peer key of the settings.
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
        // An actor that has ended answers nothing.
        Box::pin(async move { answer.await.ok().flatten() })
    }

    fn peer_key(&self) -> &str {
        &self.key
    }

    fn take(&self, inbound: InboundFrame) {
        self.peers.do_send(inbound);
    }
}

impl Actor for PeerActor {
    type Context = actix::Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(members::TICK_INTERVAL, |actor, _| actor.tick());
    }
}

impl Handler<Connect> for PeerActor {
    type Result = ();

    fn handle(&mut self, message: Connect, _: &mut Self::Context) {
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
            | Body::VouchRequest(_) => self.take_member_message(body),
            Body::LoadNote(note) => self.take_loads(note),
            Body::ServerNote(_) | Body::SuspectNote(_) => self.take_news(&from, body),
            Body::TableNotice(notice) => self.take_table_notice(&notice),
            other => return self.answer(other),
        }
        Box::pin(std::future::ready(None))
    }
}

impl PeerActor {
    fn take_member_message(&mut self, body: Body) {
        let now = self.now();
        match MemberMessage::try_from(body) {
            Ok(message) => {
                self.fetch_newer_table(&message);
                let sends = self.members.receive(now, message);
                self.send_all(sends);
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
                self.send_here(&Body::LoadNote(note));
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
                server,
            } => Body::SuspectNote(wire::SuspectNote {
                content_hash,
                account: account.to_string(),
                server: server.to_string(),
            }),
        };
        self.send_here(&body);
        self.send_abroad(&body);
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
        let mut asked = self.ask_homes(&key, 1);
        for summary in self.members.centres() {
            if let Some(contact) = summary.contacts.first() {
                asked.push(self.ask_session(contact.peer_address, &key, 0));
            }
        }
        Box::pin(async move {
            for answer in asked {
                let found = answer.await;
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
        let takers = self.takers(&state.session);
        let links = self.links.clone();
        Box::pin(async move {
            for taker in takers {
                let body = Body::Handover(wire::Handover::from(&state));
                let answer = links.request(taker, body, REQUEST_TIMEOUT).await;
                if let Some(Body::HandoverAck(wire::HandoverAck { taken: true })) = answer {
                    info!("hand-over request={} to={taker}", state.request_id);
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
        let sends = self.members.set_leaving();
        self.send_all(sends);
    }
}

impl Handler<AnnounceTable> for PeerActor {
    type Result = ();

    fn handle(&mut self, message: AnnounceTable, _: &mut Self::Context) {
        self.spread_version(message.version);
    }
}

impl Handler<AskMembership> for PeerActor {
    type Result = MessageResult<AskMembership>;

    fn handle(&mut self, _: AskMembership, _: &mut Self::Context) -> Self::Result {
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
                .staying()
                .map(|member| member.instance.clone())
                .collect(),
        })
    }
}

impl Handler<AskPolled> for PeerActor {
    type Result = MessageResult<AskPolled>;

    fn handle(&mut self, message: AskPolled, _: &mut Self::Context) -> Self::Result {
        let mut servers = message.0;
        servers.retain(|server| self.members.is_home(server, POLLERS));
        MessageResult(PolledServers {
            members: 1 + self.members.live().count(),
            servers,
        })
    }
}
