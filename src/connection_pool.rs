//! Pool of HTTP/1.1 connections to backend servers, without pipelining.
//!
//! For a call that must not be repeated, the proxy has to know whether any of an attempt was sent,
//! and whether an idle connection is still usable before it sends on it. HTTP clients with a pool
//! hide both, so this module drives the HTTP/1.1 codec directly.

use super::*;

use std::cell::RefCell;
use std::rc::Rc;

use actix_http::ConnectionType;
use actix_http::RequestHead;
use actix_http::RequestHeadType;
use actix_http::ResponseHead;
use actix_http::ServiceConfig;
use actix_http::body::BodySize;
use actix_http::h1::ClientCodec;
use actix_http::h1::ClientPayloadCodec;
use actix_http::h1::Message;
use actix_http::header::CONTENT_LENGTH;
use actix_http::header::TRANSFER_ENCODING;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

/// Timeout for opening a TCP connection within a region. A lost SYN is retransmitted only after one
/// second, which is too late for interactive calls.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time for which an idle connection is kept; servers close theirs after a few seconds.
const IDLE_TIMEOUT_MAX: Duration = Duration::from_secs(4);

/// Fraction of the server's advertised keep-alive timeout after which this pool closes an idle
/// connection; the rest covers the network delay.
const IDLE_TIMEOUT_FRACTION: f64 = 0.5;

/// Maximum number of idle connections kept per server and address; a further one is closed.
const IDLE_CONNECTIONS_MAX: usize = 32;

/// Free space in bytes that is made in the buffer before each read from a connection.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// Size of the receive buffer of a connection. Received bytes that have not been read are charged to
/// the process on some platforms; without a fixed size, the buffer would grow to several MiB while a
/// caller reads slowly.
const RECEIVE_BUFFER_BYTES: u32 = 128 << 10;

/// Maximum size of the head of a response. A server that sends more without ending it is faulty.
const HEAD_MAX_BYTES: usize = 64 << 10;

/// Highest status of HTTP. The codec also accepts higher ones of three digits, but none below 100.
const STATUS_MAX: u16 = 599;

/// Maximum number of informational (1xx) heads before the response to a call.
const INFORMATIONAL_HEADS_MAX: u32 = 64;

/// Maximum number of bytes that a call reads before the end of the head of its own response: that
/// head, informational heads, responses to other calls, and what is read along with them.
const BEFORE_BODY_MAX_BYTES: usize = 1 << 20;

/// Maximum number of bytes between two parts of a body, such as the extension of a chunk's size.
const FRAMING_MAX_BYTES: usize = 64 << 10;

/// Number of responses to other calls that a call skips while it waits for its own; after the last
/// of them the call fails.
const STRAY_RESPONSES_MAX: u32 = 4;

/// Whether any part of a call may have been sent before the attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendProgress {
    /// No byte of the call was sent, so the server cannot have run it.
    NotSent,
    /// Some of the call may have been sent, so the server may have run it.
    MaybeRun,
}

/// Reason why an attempt got no complete response.
#[derive(Debug, Clone)]
pub struct ServerCallError {
    /// True if the other side closed or reset the connection, as when the server crashes; false for
    /// an answer that is malformed or too large.
    pub closed: bool,
    /// Whether any part of the call may have been sent, and so whether the server can have run it.
    pub progress: SendProgress,
    /// Cause of the failure, as text for the log.
    pub reason: String,
    /// True if no connection could be opened because nothing listens at the address.
    pub refused: bool,
}

impl From<ServerCallError> for std::io::Error {
    fn from(error: ServerCallError) -> Self {
        let kind = match error.closed {
            true => std::io::ErrorKind::ConnectionReset,
            false => std::io::ErrorKind::Other,
        };
        Self::new(kind, error.reason)
    }
}

impl ServerCallError {
    fn closed(reason: impl ToString) -> Self {
        Self {
            closed: true,
            ..Self::maybe_run(reason)
        }
    }

    fn maybe_run(reason: impl ToString) -> Self {
        Self {
            closed: false,
            progress: SendProgress::MaybeRun,
            reason: reason.to_string(),
            refused: false,
        }
    }

    fn not_sent(reason: impl ToString) -> Self {
        Self {
            closed: false,
            progress: SendProgress::NotSent,
            reason: reason.to_string(),
            refused: false,
        }
    }
}

/// Address and expected server of a connection. An address may be reassigned to another server, so
/// connections are pooled by both.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ConnectionTarget {
    /// Address to which the connection is opened.
    pub address: SocketAddr,
    /// Server that is expected at the address. The pool does not check that it is the one that
    /// answers; the caller of the pool checks it from the response head.
    pub server: ServerName,
}

/// Whether a response belongs to the waiting call, according to its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseOwner {
    /// The call that waits on the connection.
    ThisCall,
    /// The response names no call. It is the waiting call's if that is the first on its connection;
    /// otherwise it may also be a second copy of the response to an earlier one.
    Unnamed,
    /// Another call, whose response is late or duplicated.
    OtherCall,
}

struct Connection {
    buffer: BytesMut,
    codec: ClientCodec,
    /// True if the connection has served a call before the current one.
    has_served: bool,
    /// Number of informational heads that the current call has read.
    informational_heads: u32,
    /// Number of bytes received since the current call was sent or, once its body is read, since
    /// the last part of the body.
    received_bytes: usize,
    idle_since: Instant,
    idle_timeout: Duration,
    stream: TcpStream,
}

/// Idle connections to backend servers, kept for later calls.
#[derive(Default)]
pub struct ConnectionPool {
    /// Shared by all codecs, because each new configuration starts a timer task of its own.
    config: ServiceConfig,
    idle: RefCell<HashMap<ConnectionTarget, Vec<Connection>>>,
}

/// Parameters of [`ConnectionPool::send`].
pub struct ServerCall<'a> {
    /// Whole request body, sent with its length; a `GET` with an empty body is sent without a
    /// length.
    pub body: &'a Bytes,
    /// Method, path and headers; with the connection type `Close` the call gets a connection of its
    /// own. The length of the body is added when the call is encoded.
    pub head: RequestHead,
    /// Tells from the head of a response whether it answers this call; responses to other calls are
    /// skipped.
    pub owner_of: &'a dyn Fn(&ResponseHead) -> ResponseOwner,
    /// Server to send to, on an idle connection if there is one.
    pub target: ConnectionTarget,
}

/// A response whose body has not been read yet.
pub struct ServerResponse {
    /// Rest of the response, read from the connection on demand.
    pub body: ServerResponseBody,
    /// Status and headers; informational (1xx) responses are skipped before it.
    pub head: ResponseHead,
}

/// Body of a response, read as it arrives. Dropping it before its end closes the connection, which
/// makes the server cancel the call.
pub struct ServerResponseBody {
    connection: Option<Connection>,
    decoder: BodyDecoder,
    pool: Rc<ConnectionPool>,
    target: ConnectionTarget,
}

enum BodyDecoder {
    /// The codec detects the end of the body.
    Codec(ClientPayloadCodec),
    /// The body has been read to its end.
    Ended,
    /// The body ends when the server closes the connection.
    UntilClose,
}

impl ConnectionPool {
    /// Sends a call and waits for the head of its response. Only opening the connection has a
    /// timeout here; dropping the future closes the connection.
    pub async fn send(
        self: &Rc<Self>,
        call: ServerCall<'_>,
    ) -> Result<ServerResponse, ServerCallError> {
        let is_single = call.head.connection_type() == ConnectionType::Close;
        let idle = match is_single {
            true => None,
            false => self.take_idle(&call.target),
        };
        let mut connection = match idle {
            Some(connection) => connection,
            None => self.connect(call.target.address).await?,
        };
        let has_body = !call.body.is_empty() || call.head.method != actix_http::Method::GET;
        let is_head = call.head.method == actix_http::Method::HEAD;
        let size = match has_body {
            true => BodySize::Sized(call.body.len() as u64),
            false => BodySize::None,
        };
        let mut request = BytesMut::with_capacity(1_024 + call.body.len());
        let head = RequestHeadType::Owned(call.head);
        connection
            .codec
            .encode(Message::Item((head, size)), &mut request)
            .map_err(ServerCallError::not_sent)?;
        request.extend_from_slice(call.body);
        connection.informational_heads = 0;
        connection.received_bytes = 0;
        let written = connection.write_request(&request).await?;
        let (head, mut framing) = connection.read_head(&self.config, call.owner_of).await?;
        if is_head {
            framing = BodyFraming::None;
        }
        // If the server responded before the whole body was written, it would parse the rest as the
        // next request, so the connection cannot be reused.
        let reusable = written && connection.codec.keep_alive();
        Ok(self.build_response(connection, head, framing, reusable, call.target))
    }

    fn build_response(
        self: &Rc<Self>,
        mut connection: Connection,
        head: ResponseHead,
        framing: BodyFraming,
        reusable: bool,
        target: ConnectionTarget,
    ) -> ServerResponse {
        if let Some(idle_timeout) = keep_alive_timeout(&head) {
            connection.idle_timeout = idle_timeout
                .mul_f64(IDLE_TIMEOUT_FRACTION)
                .min(IDLE_TIMEOUT_MAX);
        }
        if !reusable {
            connection.idle_timeout = Duration::ZERO;
        }
        let mut body = ServerResponseBody {
            connection: None,
            decoder: BodyDecoder::Ended,
            pool: self.clone(),
            target,
        };
        connection.received_bytes = 0;
        match framing {
            BodyFraming::Codec => {
                let codec = connection.take_codec(&self.config);
                body.decoder = BodyDecoder::Codec(codec.into_payload_codec());
            }
            BodyFraming::UntilClose => {
                connection.idle_timeout = Duration::ZERO;
                body.decoder = BodyDecoder::UntilClose;
            }
            BodyFraming::None => {}
        }
        body.connection = Some(connection);
        if let BodyDecoder::Ended = body.decoder {
            body.put_back();
        }
        ServerResponse { body, head }
    }

    /// Takes the most recently used idle connection that is open and has no unread data.
    fn take_idle(&self, target: &ConnectionTarget) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(target)?;
        while let Some(connection) = connections.pop() {
            if connection.idle_since.elapsed() > connection.idle_timeout {
                connections.clear();
                return None;
            }
            if connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, ServerCallError> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        };
        let socket = socket.map_err(ServerCallError::not_sent)?;
        if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
            debug!("connect address={address}: receive buffer has no fixed size: {error}");
        }
        let connecting = socket.connect(address);
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                return Err(ServerCallError {
                    refused: error.kind() == std::io::ErrorKind::ConnectionRefused,
                    ..ServerCallError::not_sent(error)
                });
            }
            Err(_) => return Err(ServerCallError::not_sent("connect timed out")),
        };
        stream
            .set_nodelay(true)
            .map_err(ServerCallError::not_sent)?;
        Ok(Connection {
            buffer: BytesMut::with_capacity(READ_BUFFER_BYTES),
            codec: ClientCodec::new(self.config.clone()),
            has_served: false,
            informational_heads: 0,
            received_bytes: 0,
            idle_since: Instant::now(),
            idle_timeout: IDLE_TIMEOUT_MAX,
            stream,
        })
    }

    /// Opens a connection to find out whether a server still runs, and keeps it for the next call.
    pub async fn check(self: &Rc<Self>, target: ConnectionTarget) -> CheckResult {
        match self.connect(target.address).await {
            Ok(connection) => {
                self.keep_idle(&target, connection);
                CheckResult::Accepted
            }
            Err(error) if error.refused => CheckResult::Refused,
            Err(_) => CheckResult::NoAnswer,
        }
    }

    fn put_back(&self, target: &ConnectionTarget, mut connection: Connection) {
        if connection.idle_timeout.is_zero() || !connection.buffer.is_empty() {
            return;
        }
        connection.has_served = true;
        self.keep_idle(target, connection);
    }

    fn keep_idle(&self, target: &ConnectionTarget, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(target.clone()).or_default();
        if connections.len() < IDLE_CONNECTIONS_MAX {
            connections.push(connection);
        }
    }

    /// Closes connections that have exceeded their idle timeout. It has to be called regularly:
    /// sending a call checks only the connections to that call's server.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections
                .retain(|connection| connection.idle_since.elapsed() <= connection.idle_timeout);
            !connections.is_empty()
        });
    }
}

enum BodyFraming {
    Codec,
    None,
    UntilClose,
}

impl Connection {
    /// Returns true if the connection is open and has no unread data.
    fn is_reusable(&self) -> bool {
        let mut probe = [0; 1];
        match self.stream.try_read(&mut probe) {
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }

    /// Writes a request until it is complete or the response begins. Returns true if the whole
    /// request was written.
    async fn write_request(&mut self, request: &[u8]) -> Result<bool, ServerCallError> {
        let mut written = 0;
        while written < request.len() {
            let (mut reader, mut writer) = self.stream.split();
            tokio::select! {
                biased;
                write_result = writer.write(&request[written..]) => {
                    let count = write_result.map_err(|error| match written {
                        0 => ServerCallError::not_sent(error),
                        _ => ServerCallError::closed(error),
                    })?;
                    written += count;
                }
                read = reader.read_buf(&mut self.buffer) => {
                    match read {
                        Ok(0) => return Err(ServerCallError::closed("closed while sending")),
                        Ok(_) => return Ok(false),
                        Err(error) => return Err(ServerCallError::closed(error)),
                    }
                }
            }
        }
        Ok(true)
    }

    fn take_codec(&mut self, config: &ServiceConfig) -> ClientCodec {
        let next = ClientCodec::new(config.clone());
        std::mem::replace(&mut self.codec, next)
    }

    async fn read_head(
        &mut self,
        config: &ServiceConfig,
        owner_of: &dyn Fn(&ResponseHead) -> ResponseOwner,
    ) -> Result<(ResponseHead, BodyFraming), ServerCallError> {
        for _ in 0..STRAY_RESPONSES_MAX {
            let head = self.next_head().await?;
            let framing = body_framing(&head, &self.codec);
            match owner_of(&head) {
                ResponseOwner::ThisCall => return Ok((head, framing)),
                ResponseOwner::Unnamed if !self.has_served => return Ok((head, framing)),
                ResponseOwner::Unnamed => {
                    return Err(ServerCallError::maybe_run(
                        "response on a kept connection names no call; check the server",
                    ));
                }
                ResponseOwner::OtherCall => self.skip_body(config, framing).await?,
            }
        }
        Err(ServerCallError::maybe_run(
            "connection delivers only responses to other calls",
        ))
    }

    async fn next_head(&mut self) -> Result<ResponseHead, ServerCallError> {
        loop {
            let decoded = self.codec.decode(&mut self.buffer);
            match decoded.map_err(ServerCallError::maybe_run)? {
                Some(head) if head.status.is_informational() => self.informational_heads += 1,
                Some(head) if head.status.as_u16() > STATUS_MAX => {
                    return Err(ServerCallError::maybe_run(format!(
                        "status {} is not one of HTTP (100 to {STATUS_MAX}); check the server",
                        head.status.as_u16()
                    )));
                }
                Some(head) => return Ok(head),
                None => self.read_before_body().await?,
            }
            if self.informational_heads > INFORMATIONAL_HEADS_MAX {
                return Err(ServerCallError::maybe_run(format!(
                    "more than {INFORMATIONAL_HEADS_MAX} informational heads; check the server"
                )));
            }
            if self.buffer.len() > HEAD_MAX_BYTES {
                // A read adds far less than this limit, so the bytes are one unfinished head.
                return Err(ServerCallError::maybe_run(format!(
                    "head of a response exceeds {HEAD_MAX_BYTES} bytes; check the server"
                )));
            }
        }
    }

    async fn skip_body(
        &mut self,
        config: &ServiceConfig,
        framing: BodyFraming,
    ) -> Result<(), ServerCallError> {
        match framing {
            BodyFraming::None => Ok(()),
            BodyFraming::UntilClose => Err(ServerCallError::maybe_run(
                "response to another call has no length",
            )),
            BodyFraming::Codec => {
                let mut payload = self.take_codec(config).into_payload_codec();
                loop {
                    let decoded = payload.decode(&mut self.buffer);
                    match decoded.map_err(ServerCallError::maybe_run)? {
                        Some(Some(_)) => {}
                        Some(None) => break,
                        None => self.read_before_body().await?,
                    }
                }
                self.codec = payload.into_message_codec();
                Ok(())
            }
        }
    }

    /// Reads on in front of the body of the call's own response. Fails once a server has sent more
    /// than [`BEFORE_BODY_MAX_BYTES`] there.
    async fn read_before_body(&mut self) -> Result<(), ServerCallError> {
        self.read_more().await?;
        if self.received_bytes > BEFORE_BODY_MAX_BYTES {
            return Err(ServerCallError::maybe_run(format!(
                "over {BEFORE_BODY_MAX_BYTES} bytes before the response; check the server"
            )));
        }
        Ok(())
    }

    async fn read_more(&mut self) -> Result<(), ServerCallError> {
        self.buffer.reserve(READ_BUFFER_BYTES);
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) => Err(ServerCallError::closed("closed by the server")),
            Ok(count) => {
                self.received_bytes += count;
                Ok(())
            }
            Err(error) => Err(ServerCallError::closed(error)),
        }
    }
}

impl ServerResponseBody {
    /// Reads the next part of the body, in whatever size it arrives. Returns `None` at the end of
    /// the body.
    pub async fn next(&mut self) -> Option<Result<Bytes, ServerCallError>> {
        let connection = self.connection.as_mut()?;
        match &mut self.decoder {
            BodyDecoder::Ended => None,
            BodyDecoder::UntilClose => {
                if !connection.buffer.is_empty() {
                    return Some(Ok(connection.buffer.split().freeze()));
                }
                connection.buffer.reserve(READ_BUFFER_BYTES);
                match connection.stream.read_buf(&mut connection.buffer).await {
                    Ok(0) => {
                        self.connection = None;
                        None
                    }
                    Ok(_) => Some(Ok(connection.buffer.split().freeze())),
                    Err(error) => Some(Err(ServerCallError::closed(error))),
                }
            }
            BodyDecoder::Codec(codec) => loop {
                match codec.decode(&mut connection.buffer) {
                    Ok(Some(Some(bytes))) => {
                        connection.received_bytes = 0;
                        return Some(Ok(bytes));
                    }
                    Ok(Some(None)) => {
                        self.put_back();
                        return None;
                    }
                    Ok(None) => {}
                    Err(error) => return Some(Err(ServerCallError::maybe_run(error))),
                }
                if let Err(error) = connection.read_more().await {
                    return Some(Err(error));
                }
                if connection.received_bytes > FRAMING_MAX_BYTES {
                    return Some(Err(ServerCallError::maybe_run(format!(
                        "over {FRAMING_MAX_BYTES} bytes between parts of a body; check the server"
                    ))));
                }
            },
        }
    }

    /// Returns true if the body has been read to its end, or if there is none.
    pub fn has_ended(&self) -> bool {
        self.connection.is_none()
    }

    /// Returns true if only the end of the connection shows where the body ends.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.decoder, BodyDecoder::UntilClose)
    }

    /// Reads the rest of the body and drops it. Fails if it is larger than `max_bytes`.
    pub async fn skip_rest(&mut self, max_bytes: usize) -> Result<(), ServerCallError> {
        let mut skipped_bytes = 0;
        while let Some(bytes) = self.next().await {
            skipped_bytes += bytes?.len();
            if skipped_bytes > max_bytes {
                return Err(ServerCallError::maybe_run(format!(
                    "body exceeds {max_bytes} bytes; check the server"
                )));
            }
        }
        Ok(())
    }

    /// Closes the connection, which makes the server cancel the call. Has no effect if the whole
    /// body was read.
    pub fn close(&mut self) {
        self.decoder = BodyDecoder::Ended;
        self.connection = None;
    }

    fn put_back(&mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        match std::mem::replace(&mut self.decoder, BodyDecoder::Ended) {
            BodyDecoder::Codec(codec) => connection.codec = codec.into_message_codec(),
            BodyDecoder::UntilClose | BodyDecoder::Ended => {}
        }
        self.pool.put_back(&self.target, connection);
    }
}

/// Determines how the body of a response is delimited. The codec treats an HTTP/1.1 response
/// without a length as one without a body, but in HTTP such a body ends when the connection closes.
fn body_framing(head: &ResponseHead, codec: &ClientCodec) -> BodyFraming {
    let status = head.status.as_u16();
    if status == 204 || status == 304 {
        return BodyFraming::None;
    }
    let has_length = head.headers().contains_key(CONTENT_LENGTH);
    let has_transfer_encoding = head.headers().contains_key(TRANSFER_ENCODING);
    match codec.message_type() {
        _ if !has_length && !has_transfer_encoding => BodyFraming::UntilClose,
        actix_http::h1::MessageType::None => BodyFraming::None,
        _ => BodyFraming::Codec,
    }
}

/// Returns the size in bytes that the head of a response states for the body, or `None` if it states
/// none.
pub(crate) fn content_length(head: &ResponseHead) -> Option<u64> {
    if head.headers().contains_key(TRANSFER_ENCODING) {
        return None;
    }
    head.headers()
        .get(CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Returns the idle timeout that a server advertises with `Keep-Alive: timeout=SECONDS`, or `None`
/// if it advertises none.
fn keep_alive_timeout(head: &ResponseHead) -> Option<Duration> {
    let value = head.headers().get("keep-alive")?.to_str().ok()?;
    let (_, seconds) = value.split_once("timeout=")?;
    let digits = seconds.split(|c: char| !c.is_ascii_digit()).next()?;
    digits.parse().ok().map(Duration::from_secs)
}
