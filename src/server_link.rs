//! Connections to backend servers, one call at a time on each.
//!
//! A call that may not be repeated needs to know precisely how far its attempt got, and whether a
//! kept connection is sound before it is used. Pooling clients hide both, so this drives the
//! HTTP/1.1 codec below them.

use super::*;

use std::cell::RefCell;
use std::rc::Rc;

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
use tokio::net::TcpStream;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

/// Time for a TCP connection inside a region: a lost first packet is sent again after a second,
/// which is too late for interactive calls.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time for which an idle connection is kept; servers close theirs after a few seconds.
const IDLE_MAX: Duration = Duration::from_secs(4);

/// Part of the server's own idle time-out that a connection may be idle here; the rest covers the
/// time on the way.
const IDLE_PART: f64 = 0.5;

/// Idle connections kept to one server.
const IDLE_CONNECTIONS_MAX: usize = 32;

/// Room for one read.
const READ_BYTES: usize = 8 << 10;

/// Stray answers of other calls that are passed over on one connection.
const STRAY_ANSWERS_MAX: u32 = 4;

/// How far a failed attempt got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reached {
    /// Nothing of the call was sent.
    NotSent,
    /// Some of the call was sent; the server may have run it.
    MaybeRun,
}

/// A failed attempt.
#[derive(Debug, Clone)]
pub struct LinkError {
    /// How far it got.
    pub reached: Reached,
    /// Cause, for the log.
    pub reason: String,
}

impl LinkError {
    fn maybe_run(reason: impl ToString) -> Self {
        Self {
            reached: Reached::MaybeRun,
            reason: reason.to_string(),
        }
    }

    fn not_sent(reason: impl ToString) -> Self {
        Self {
            reached: Reached::NotSent,
            reason: reason.to_string(),
        }
    }
}

/// Where a call is sent: an address belongs to a server only for a time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LinkTarget {
    /// Address.
    pub address: SocketAddr,
    /// Server expected there.
    pub server: ServerName,
}

/// What an answer's head says about whose it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerOwner {
    /// The call that is waiting.
    ThisCall,
    /// Another call: the answer came late or twice.
    OtherCall,
}

struct Link {
    buffer: BytesMut,
    codec: ClientCodec,
    idle_max: Duration,
    idle_since: Instant,
    stream: TcpStream,
}

/// Idle connections of this instance.
#[derive(Default)]
pub struct ServerLinks {
    /// Shared by all codecs: each new one would start a clock task of its own.
    config: ServiceConfig,
    idle: RefCell<HashMap<LinkTarget, Vec<Link>>>,
}

/// A call on its way.
pub struct LinkCall<'a> {
    /// Body.
    pub body: &'a Bytes,
    /// Head as the server is to receive it.
    pub head: RequestHead,
    /// Tells whose an answer is.
    pub owner_of: &'a dyn Fn(&ResponseHead) -> AnswerOwner,
    /// Server.
    pub target: LinkTarget,
}

/// An answer whose body is still to come.
pub struct LinkAnswer {
    /// Body.
    pub body: LinkBody,
    /// Head.
    pub head: ResponseHead,
}

/// Body of an answer as it arrives. Dropping it early closes the connection, which makes the
/// server stop its work.
pub struct LinkBody {
    framing: Framing,
    link: Option<Link>,
    links: Rc<ServerLinks>,
    target: LinkTarget,
}

enum Framing {
    /// Ends as the codec says.
    Codec(ClientPayloadCodec),
    /// Ends with the connection.
    Connection,
    /// Nothing is left.
    Ended,
}

impl ServerLinks {
    /// Sends a call and waits for the head of its answer.
    pub async fn send(self: &Rc<Self>, call: LinkCall<'_>) -> Result<LinkAnswer, LinkError> {
        let mut link = match self.take_idle(&call.target) {
            Some(link) => link,
            None => self.connect(call.target.address).await?,
        };
        let has_body = !call.body.is_empty() || call.head.method != actix_http::Method::GET;
        let size = match has_body {
            true => BodySize::Sized(call.body.len() as u64),
            false => BodySize::None,
        };
        let mut request = BytesMut::with_capacity(1_024 + call.body.len());
        let head = RequestHeadType::Owned(call.head);
        link.codec
            .encode(Message::Item((head, size)), &mut request)
            .map_err(LinkError::not_sent)?;
        request.extend_from_slice(call.body);
        let written = link.write_and_await(&request).await?;
        let (head, framing) = link.read_head(&self.config, call.owner_of).await?;
        // The rest of a body that the server did not wait for would be taken for another call.
        let keep = written && link.codec.keep_alive();
        Ok(self.answer(link, head, framing, keep, call.target))
    }

    fn answer(
        self: &Rc<Self>,
        mut link: Link,
        head: ResponseHead,
        framing: BodyFraming,
        keep: bool,
        target: LinkTarget,
    ) -> LinkAnswer {
        if let Some(idle_max) = keep_alive_of(&head) {
            link.idle_max = idle_max.mul_f64(IDLE_PART).min(IDLE_MAX);
        }
        if !keep {
            link.idle_max = Duration::ZERO;
        }
        let mut body = LinkBody {
            framing: Framing::Ended,
            link: None,
            links: self.clone(),
            target,
        };
        match framing {
            BodyFraming::Codec => {
                let codec = link.take_codec(&self.config);
                body.framing = Framing::Codec(codec.into_payload_codec());
            }
            BodyFraming::Connection => {
                link.idle_max = Duration::ZERO;
                body.framing = Framing::Connection;
            }
            BodyFraming::None => {}
        }
        body.link = Some(link);
        if let Framing::Ended = body.framing {
            body.put_back();
        }
        LinkAnswer { body, head }
    }

    /// Takes the connection used last, if it is sound: open, with nothing to read.
    fn take_idle(&self, target: &LinkTarget) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(target)?;
        while let Some(link) = links.pop() {
            if link.idle_since.elapsed() > link.idle_max {
                links.clear();
                return None;
            }
            if link.is_quiet() {
                return Some(link);
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr) -> Result<Link, LinkError> {
        let connecting = TcpStream::connect(address);
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(LinkError::not_sent(error)),
            Err(_) => return Err(LinkError::not_sent("no connection in time")),
        };
        stream.set_nodelay(true).map_err(LinkError::not_sent)?;
        Ok(Link {
            buffer: BytesMut::with_capacity(READ_BYTES),
            codec: ClientCodec::new(self.config.clone()),
            idle_max: IDLE_MAX,
            idle_since: Instant::now(),
            stream,
        })
    }

    fn put_back(&self, target: &LinkTarget, mut link: Link) {
        if link.idle_max.is_zero() || !link.buffer.is_empty() {
            return;
        }
        link.idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(target.clone()).or_default();
        if links.len() < IDLE_CONNECTIONS_MAX {
            links.push(link);
        }
    }

    /// Closes idle connections that are past their time.
    pub fn close_old(&self) {
        self.idle.borrow_mut().retain(|_, links| {
            links.retain(|link| link.idle_since.elapsed() <= link.idle_max);
            !links.is_empty()
        });
    }
}

enum BodyFraming {
    Codec,
    Connection,
    None,
}

impl Link {
    /// True if the connection is open and nothing waits to be read on it.
    fn is_quiet(&self) -> bool {
        let mut probe = [0; 1];
        match self.stream.try_read(&mut probe) {
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }

    /// Writes a request until it is written or the answer begins. Returns true if all of it was
    /// written.
    async fn write_and_await(&mut self, request: &[u8]) -> Result<bool, LinkError> {
        let mut written = 0;
        while written < request.len() {
            let (mut reader, mut writer) = self.stream.split();
            tokio::select! {
                biased;
                wrote = writer.write(&request[written..]) => {
                    let count = wrote.map_err(|error| match written {
                        0 => LinkError::not_sent(error),
                        _ => LinkError::maybe_run(error),
                    })?;
                    written += count;
                }
                read = reader.read_buf(&mut self.buffer) => {
                    match read {
                        Ok(0) => return Err(LinkError::maybe_run("closed while sending")),
                        Ok(_) => return Ok(false),
                        Err(error) => return Err(LinkError::maybe_run(error)),
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
        owner_of: &dyn Fn(&ResponseHead) -> AnswerOwner,
    ) -> Result<(ResponseHead, BodyFraming), LinkError> {
        for _ in 0..STRAY_ANSWERS_MAX {
            let head = self.next_head().await?;
            let framing = framing_of(&head, &self.codec);
            match owner_of(&head) {
                AnswerOwner::ThisCall => return Ok((head, framing)),
                AnswerOwner::OtherCall => self.skip_body(config, framing).await?,
            }
        }
        Err(LinkError::maybe_run("only answers of other calls"))
    }

    async fn next_head(&mut self) -> Result<ResponseHead, LinkError> {
        loop {
            let decoded = self.codec.decode(&mut self.buffer);
            match decoded.map_err(LinkError::maybe_run)? {
                Some(head) if head.status.is_informational() => {}
                Some(head) => return Ok(head),
                None => self.fill().await?,
            }
        }
    }

    async fn skip_body(
        &mut self,
        config: &ServiceConfig,
        framing: BodyFraming,
    ) -> Result<(), LinkError> {
        match framing {
            BodyFraming::None => Ok(()),
            BodyFraming::Connection => Err(LinkError::maybe_run("stray answer without a length")),
            BodyFraming::Codec => {
                let mut payload = self.take_codec(config).into_payload_codec();
                loop {
                    let decoded = payload.decode(&mut self.buffer);
                    match decoded.map_err(LinkError::maybe_run)? {
                        Some(Some(_)) => {}
                        Some(None) => break,
                        None => self.fill().await?,
                    }
                }
                self.codec = payload.into_message_codec();
                Ok(())
            }
        }
    }

    async fn fill(&mut self) -> Result<(), LinkError> {
        self.buffer.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) => Err(LinkError::maybe_run("closed by the server")),
            Ok(_) => Ok(()),
            Err(error) => Err(LinkError::maybe_run(error)),
        }
    }
}

impl LinkBody {
    /// Next bytes; `None` at the end of a whole body.
    pub async fn next(&mut self) -> Option<Result<Bytes, LinkError>> {
        let link = self.link.as_mut()?;
        match &mut self.framing {
            Framing::Ended => None,
            Framing::Connection => {
                if !link.buffer.is_empty() {
                    return Some(Ok(link.buffer.split().freeze()));
                }
                link.buffer.reserve(READ_BYTES);
                match link.stream.read_buf(&mut link.buffer).await {
                    Ok(0) => {
                        self.link = None;
                        None
                    }
                    Ok(_) => Some(Ok(link.buffer.split().freeze())),
                    Err(error) => Some(Err(LinkError::maybe_run(error))),
                }
            }
            Framing::Codec(codec) => loop {
                match codec.decode(&mut link.buffer) {
                    Ok(Some(Some(bytes))) => return Some(Ok(bytes)),
                    Ok(Some(None)) => {
                        self.put_back();
                        return None;
                    }
                    Ok(None) => {}
                    Err(error) => return Some(Err(LinkError::maybe_run(error))),
                }
                if let Err(error) = link.fill().await {
                    return Some(Err(error));
                }
            },
        }
    }

    /// Closes the connection unless the whole body was read, which makes the server stop its work.
    pub fn close(&mut self) {
        self.framing = Framing::Ended;
        self.link = None;
    }

    /// Reads all of the body up to a bound.
    pub async fn read_whole(&mut self, max_bytes: usize) -> Result<Bytes, LinkError> {
        let mut whole = BytesMut::new();
        while let Some(bytes) = self.next().await {
            whole.extend_from_slice(&bytes?);
            if whole.len() > max_bytes {
                return Err(LinkError::maybe_run(format!(
                    "answer is over {max_bytes} bytes"
                )));
            }
        }
        Ok(whole.freeze())
    }

    fn put_back(&mut self) {
        let Some(mut link) = self.link.take() else {
            return;
        };
        match std::mem::replace(&mut self.framing, Framing::Ended) {
            Framing::Codec(codec) => link.codec = codec.into_message_codec(),
            Framing::Connection | Framing::Ended => {}
        }
        self.links.put_back(&self.target, link);
    }
}

/// How the body of an answer ends. The codec takes an HTTP/1.1 answer without a length for one
/// without a body; in HTTP it ends with the connection.
fn framing_of(head: &ResponseHead, codec: &ClientCodec) -> BodyFraming {
    let status = head.status.as_u16();
    if status == 204 || status == 304 {
        return BodyFraming::None;
    }
    let has_length = head.headers().contains_key(CONTENT_LENGTH);
    let is_coded = head.headers().contains_key(TRANSFER_ENCODING);
    match codec.message_type() {
        _ if !has_length && !is_coded => BodyFraming::Connection,
        actix_http::h1::MessageType::None => BodyFraming::None,
        _ => BodyFraming::Codec,
    }
}

/// Idle time that a server tells in `Keep-Alive: timeout=SECONDS`.
fn keep_alive_of(head: &ResponseHead) -> Option<Duration> {
    let value = head.headers().get("keep-alive")?.to_str().ok()?;
    let (_, seconds) = value.split_once("timeout=")?;
    let digits = seconds.split(|c: char| !c.is_ascii_digit()).next()?;
    digits.parse().ok().map(Duration::from_secs)
}
