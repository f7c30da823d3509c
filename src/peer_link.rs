//! Outgoing connections to peers, the other instances: one-way frames, and requests with replies.
//!
//! A link is opened on first use and closed when idle. Its queue has a maximum length. If the queue
//! is full or the peer cannot be reached, frames are dropped; senders must expect losses as on any
//! network.

use super::*;

use std::cell::RefCell;
use std::rc::Rc;

use futures_util::SinkExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use wire::frame::Body;

/// Maximum number of frames queued for one peer; further ones are dropped.
const QUEUE_CAPACITY: usize = 1_024;

/// Timeout for connecting to a peer; the frames queued by then are lost.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for writing a frame; after it the link is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without a queued frame or reply after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

type PendingRequests = Rc<RefCell<HashMap<u64, oneshot::Sender<Body>>>>;

/// Links of one instance by the peer's address; clones share them. Used on one thread.
#[derive(Clone)]
pub struct PeerLinks {
    instance: InstanceName,
    key: SmolStr,
    links: Rc<RefCell<HashMap<SocketAddr, mpsc::Sender<wire::Frame>>>>,
    metrics: Metrics,
    next_request_id: Rc<RefCell<u64>>,
    pending: PendingRequests,
    shutdown: CancellationToken,
}

impl PeerLinks {
    /// Creates an empty set of links. Each presents `instance` and `key` in its first frame, and
    /// closes when `shutdown` is cancelled.
    pub fn new(
        instance: InstanceName,
        key: SmolStr,
        metrics: Metrics,
        shutdown: CancellationToken,
    ) -> Self {
        Self {
            instance,
            key,
            links: Rc::default(),
            metrics,
            next_request_id: Rc::default(),
            pending: Rc::default(),
            shutdown,
        }
    }

    /// Queues a frame to which no reply is expected. It is lost without notice if the queue is full
    /// or the link fails.
    pub fn send(&self, to: SocketAddr, body: Body) {
        let body = Some(body);
        self.queue(
            to,
            wire::Frame {
                request_id: 0,
                body,
            },
        );
    }

    /// Sends a request and waits for its reply. `None` means that no reply arrived in time; the
    /// peer may or may not have acted on the request.
    pub async fn request(&self, to: SocketAddr, body: Body, wait: Duration) -> Option<Body> {
        let request_id = {
            let mut next = self.next_request_id.borrow_mut();
            *next += 1;
            *next
        };
        let (reply_sender, reply) = oneshot::channel();
        self.pending.borrow_mut().insert(request_id, reply_sender);
        let body = Some(body);
        self.queue(to, wire::Frame { request_id, body });
        let reply = timeout(wait, reply).await;
        self.pending.borrow_mut().remove(&request_id);
        reply.ok()?.ok()
    }

    fn queue(&self, to: SocketAddr, frame: wire::Frame) {
        let link = self.links.borrow().get(&to).cloned();
        let frame = match link {
            Some(link) => match link.try_send(frame) {
                Ok(()) => return,
                Err(mpsc::error::TrySendError::Full(_)) => {
                    debug!("peer {to}: send queue is full; frame dropped");
                    return;
                }
                Err(mpsc::error::TrySendError::Closed(frame)) => frame,
            },
            None => frame,
        };
        let (link, frames) = mpsc::channel(QUEUE_CAPACITY);
        // The new queue is empty, so the frame fits.
        let _ = link.try_send(frame);
        self.links.borrow_mut().insert(to, link);
        let links = self.clone();
        actix_rt::spawn(async move {
            if let Err(error) = links.run(to, frames).await {
                debug!("peer {to}: {error}");
            }
        });
    }

    /// Writes queued frames and reads replies until the link is idle or fails.
    async fn run(
        &self,
        to: SocketAddr,
        mut frames: mpsc::Receiver<wire::Frame>,
    ) -> std::io::Result<()> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await??;
        stream.set_nodelay(true)?;
        let mut framed = Framed::new(stream, PeerCodec::new(FRAME_MAX_BYTES));
        let hello = wire::Hello {
            key: self.key.to_string(),
            instance: self.instance.to_string(),
        };
        let hello = wire::Frame {
            request_id: 0,
            body: Some(Body::Hello(hello)),
        };
        framed.send(hello).await?;
        loop {
            tokio::select! {
                frame = timeout(IDLE_TIMEOUT, frames.recv()) => {
                    let Ok(Some(frame)) = frame else {
                        return Ok(());
                    };
                    self.count_sent(&frame);
                    timeout(WRITE_TIMEOUT, framed.send(frame)).await??;
                }
                reply = framed.next() => match reply {
                    Some(reply) => self.deliver_reply(reply?),
                    None => return Ok(()),
                },
                () = self.shutdown.cancelled() => return Ok(()),
            }
        }
    }

    fn deliver_reply(&self, (frame, bytes): (wire::Frame, usize)) {
        self.metrics.control(frame_kind(&frame), "received", bytes);
        let reply_sender = self.pending.borrow_mut().remove(&frame.request_id);
        if let (Some(reply_sender), Some(body)) = (reply_sender, frame.body) {
            // The request may have timed out already.
            let _ = reply_sender.send(body);
        }
    }

    fn count_sent(&self, frame: &wire::Frame) {
        use prost::Message as _;
        self.metrics
            .control(frame_kind(frame), "sent", frame.encoded_len());
    }
}
