//! Answers peers that read topics of the log here.

use super::*;

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use wire::frame::Body;

/// Longest time that a peer's read waits here.
const READ_WAIT_MAX: Duration = Duration::from_secs(10);

/// Answers topic reads from the feeds of an instance.
pub struct FeedService {
    serving: Rc<Serving>,
}

impl FeedService {
    /// Creates the service of an instance.
    pub fn new(serving: Rc<Serving>) -> Self {
        Self { serving }
    }
}

impl PeerService for FeedService {
    fn answer(&self, inbound: InboundFrame) -> LocalBoxFuture<'static, Option<Body>> {
        let serving = self.serving.clone();
        Box::pin(async move {
            match inbound.body {
                Body::TopicReadRequest(request) => {
                    serving.note_reader();
                    let reply = answer_read(&serving, &request).await;
                    Some(Body::TopicReadReply(reply.unwrap_or_else(unknown)))
                }
                other => {
                    let frame = wire::Frame {
                        request_id: 0,
                        body: Some(other),
                    };
                    let kind = frame_kind(&frame);
                    debug!(
                        "peer instance={} sent {kind}; not served here",
                        inbound.from
                    );
                    None
                }
            }
        })
    }

    fn peer_key(&self) -> &str {
        // Datagrams between these instances carry no key either: their network is the platform's.
        ""
    }

    fn take(&self, inbound: InboundFrame) {
        debug!("peer instance={} sent a frame without an id", inbound.from);
    }
}

fn unknown() -> wire::TopicReadReply {
    wire::TopicReadReply {
        unknown: true,
        ..Default::default()
    }
}

/// Waits for a record of interest, up to the time that the request allows. `None` if this instance
/// does not know the topic.
async fn answer_read(
    serving: &Serving,
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
        let is_over = tokio::time::Instant::now() >= until;
        match read {
            FeedRead::Unknown => return None,
            FeedRead::Gone => {
                return Some(wire::TopicReadReply {
                    gone: true,
                    ..Default::default()
                });
            }
            FeedRead::Records(page) => {
                let has_news = page.end > from && !page.records.is_empty();
                if has_news || is_over {
                    return Some(page.into_reply(received_at));
                }
            }
        }
        // The sender lives as long as the instance; the time over ends the wait.
        let _ = tokio::time::timeout_at(until, changed.changed()).await;
    }
}
