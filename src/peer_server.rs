//! Listener for the connections of peers, the other instances. A peer has to present the peer key
//! in its first frame.

use super::*;

use std::rc::Rc;

use futures_util::SinkExt;
use futures_util::future::LocalBoxFuture;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::FramedParts;
use wire::frame::Body;

/// Timeout for the hello frame, the first of a connection, with which a peer presents its key.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without a received frame or written reply after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);

/// Maximum number of open connections; further ones are closed at once.
const CONNECTIONS_MAX: usize = 2_048;

/// Maximum number of replies that one connection may be waiting for; further requests are dropped.
const PENDING_REPLIES_MAX: usize = 1_024;

/// Handles the frames of peers that have presented the peer key.
pub trait PeerService {
    /// Returns the body of the reply to a request; `None` is sent as an empty reply.
    fn answer(&self, inbound: InboundFrame) -> LocalBoxFuture<'static, Option<Body>>;

    /// Key that the hello frame of every peer must contain.
    fn peer_key(&self) -> &str;

    /// Handles a frame whose sender expects no reply.
    fn receive(&self, inbound: InboundFrame);
}

/// Accepts connections of peers and passes their frames to `service` in spawned tasks until
/// shutdown. Returns at once.
pub fn start_peer_server(
    listener: TcpListener,
    service: Rc<dyn PeerService>,
    metrics: Metrics,
    shutdown: CancellationToken,
) {
    let slots = Arc::new(tokio::sync::Semaphore::new(CONNECTIONS_MAX));
    actix_rt::spawn(async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = shutdown.cancelled() => return,
            };
            let Ok((stream, address)) = accepted else {
                continue;
            };
            let Ok(slot) = slots.clone().try_acquire_owned() else {
                continue;
            };
            let connection = Connection {
                address,
                metrics: metrics.clone(),
                service: service.clone(),
                shutdown: shutdown.clone(),
            };
            actix_rt::spawn(async move {
                if let Err(error) = connection.serve(stream).await {
                    warn!("{error}");
                }
                drop(slot);
            });
        }
    });
}

struct Connection {
    address: SocketAddr,
    metrics: Metrics,
    service: Rc<dyn PeerService>,
    shutdown: CancellationToken,
}

impl Connection {
    async fn serve(self, stream: TcpStream) -> Result {
        stream
            .set_nodelay(true)
            .map_err(|error| self.peer_error(error.to_string()))?;
        // Only a short frame is accepted until the peer has presented its key.
        let mut framed = Framed::new(stream, PeerCodec::new(HELLO_MAX_BYTES));
        let from = self.read_hello(&mut framed).await?;
        let parts = framed.into_parts();
        let codec = PeerCodec::new(FRAME_MAX_BYTES);
        let mut authenticated = FramedParts::new::<wire::Frame>(parts.io, codec);
        authenticated.read_buf = parts.read_buf;
        self.serve_frames(Framed::from_parts(authenticated), from)
            .await
    }

    async fn read_hello(&self, framed: &mut Framed<TcpStream, PeerCodec>) -> Result<InstanceName> {
        let first = timeout(HELLO_TIMEOUT, framed.next()).await;
        let frame = match first {
            Ok(Some(Ok((frame, _)))) => frame,
            Ok(Some(Err(error))) => return Err(self.peer_error(format!("first frame: {error}"))),
            Ok(None) | Err(_) => return Err(self.peer_error("sent no hello frame".to_owned())),
        };
        let Some(Body::Hello(hello)) = frame.body else {
            return Err(self.peer_error("first frame is not a hello frame".to_owned()));
        };
        let presented = hash_account_key(&hello.key);
        let expected = hash_account_key(self.service.peer_key());
        match bool::from(presented.ct_eq(&expected)) {
            true => Ok(hello.instance.into()),
            false => Err(self.peer_error("peer key is wrong".to_owned())),
        }
    }

    async fn serve_frames(
        &self,
        mut framed: Framed<TcpStream, PeerCodec>,
        from: InstanceName,
    ) -> Result {
        let (reply_sender, mut replies) = mpsc::channel::<wire::Frame>(PENDING_REPLIES_MAX);
        loop {
            tokio::select! {
                next = timeout(IDLE_TIMEOUT, framed.next()) => {
                    let Ok(Some(next)) = next else {
                        return Ok(());
                    };
                    let (frame, bytes) = next.map_err(|error| self.peer_error(error.to_string()))?;
                    self.metrics.control(frame_kind(&frame), "received", bytes);
                    self.receive(frame, &from, &reply_sender);
                }
                Some(reply) = replies.recv() => {
                    use prost::Message as _;
                    self.metrics.control(frame_kind(&reply), "sent", reply.encoded_len());
                    framed.send(reply).await.map_err(|error| self.peer_error(error.to_string()))?;
                }
                () = self.shutdown.cancelled() => return Ok(()),
            }
        }
    }

    /// Passes a frame to the service. The reply to a request is written once it is ready.
    fn receive(
        &self,
        frame: wire::Frame,
        from: &InstanceName,
        replies: &mpsc::Sender<wire::Frame>,
    ) {
        let Some(body) = frame.body else {
            return;
        };
        let from = from.clone();
        let inbound = InboundFrame { body, from };
        if frame.request_id == 0 {
            self.service.receive(inbound);
            return;
        }
        let Ok(permit) = replies.clone().try_reserve_owned() else {
            debug!(
                "peer {}: too many pending requests; request dropped",
                self.address
            );
            return;
        };
        let answer = self.service.answer(inbound);
        actix_rt::spawn(async move {
            let body = answer.await;
            permit.send(wire::Frame {
                request_id: frame.request_id,
                body,
            });
        });
    }

    fn peer_error(&self, reason: String) -> Error {
        Error::Peer {
            address: self.address.to_string(),
            reason,
        }
    }
}
