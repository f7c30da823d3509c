//! Serves reads of log topics to peers (other instances) that do not read the log themselves, from
//! this instance's in-memory copies of the topics (feeds).

use super::*;

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use wire::frame::Body;

/// Maximum time that a peer's read waits for a record, also if the request allows a longer wait.
const READ_WAIT_MAX: Duration = Duration::from_secs(10);

/// Answers topic reads from the feeds of an instance, and ignores all other messages of peers.
pub struct FeedService {
    serving: Rc<ServingState>,
}

impl FeedService {
    /// Creates the service, which answers each request from the feeds that `serving` holds at that
    /// time.
    pub fn new(serving: Rc<ServingState>) -> Self {
        Self { serving }
    }
}

impl PeerService for FeedService {
    fn answer(&self, inbound: InboundFrame) -> LocalBoxFuture<'static, Option<Body>> {
        let serving = self.serving.clone();
        Box::pin(async move {
            match inbound.body {
                Body::TopicReadRequest(request) => {
                    serving.record_peer_read();
                    let reply = answer_read(&serving, &request).await;
                    Some(Body::TopicReadReply(reply.unwrap_or_else(unknown_topic)))
                }
                other => {
                    let frame = wire::Frame {
                        request_id: 0,
                        body: Some(other),
                    };
                    let kind = frame_kind(&frame);
                    debug!(
                        "peer instance={} sent {kind}, which this instance does not serve",
                        inbound.from
                    );
                    None
                }
            }
        })
    }

    fn peer_key(&self) -> &str {
        // No key is needed, because the network between the instances belongs to the platform.
        // Their datagrams carry no key either.
        ""
    }

    fn receive(&self, inbound: InboundFrame) {
        debug!(
            "peer instance={} sent an unexpected one-way frame",
            inbound.from
        );
    }
}

fn unknown_topic() -> wire::TopicReadReply {
    wire::TopicReadReply {
        unknown: true,
        ..Default::default()
    }
}

/// Waits for a change at or after the requested offset, up to the time that the request allows. A
/// request without an offset gets the newest record of each key at once. Returns `None` if this
/// instance has no current copy of the topic.
async fn answer_read(
    serving: &ServingState,
    request: &wire::TopicReadRequest,
) -> Option<wire::TopicReadReply> {
    let received_at = boot_time();
    let Some(from) = request.from else {
        let feeds = serving.feeds.borrow();
        let page = feeds.get(request.topic.as_str())?.newest()?;
        return Some(page.into_reply(received_at));
    };
    let wait = Duration::from_millis(request.wait_ms).min(READ_WAIT_MAX);
    let until = tokio::time::Instant::now() + wait;
    let mut changed = serving.feed_changes.subscribe();
    loop {
        let read = {
            let feeds = serving.feeds.borrow();
            let feed = feeds.get(request.topic.as_str())?;
            feed.read(from)
        };
        let is_expired = tokio::time::Instant::now() >= until;
        match read {
            FeedRead::Unknown => return None,
            FeedRead::Gone => {
                return Some(wire::TopicReadReply {
                    gone: true,
                    ..Default::default()
                });
            }
            FeedRead::Records(page) => {
                let has_records = page.end > from && !page.records.is_empty();
                if has_records || is_expired {
                    return Some(page.into_reply(received_at));
                }
            }
        }
        // The result is ignored: the sender of changes exists as long as the instance, so the wait
        // ends either with a change or with the timeout.
        let _ = tokio::time::timeout_at(until, changed.changed()).await;
    }
}
