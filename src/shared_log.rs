//! The log as one instance reads it: itself, or at a peer of its data centre that reads it.
//!
//! An instance that is to read the log itself and cannot reach it reads at peers until it can, and
//! the other way round. How old a peer's answer is goes with it, so that freshness is proved only
//! as far as it holds.

use super::*;

use std::cell::Cell;
use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use wire::frame::Body;

/// Age of a peer's knowledge from which it counts as cut off from the log, as a part of the time in
/// which an edit has to be in force: the rest is for noticing it and for a read here.
const PEER_AGE_PART: f64 = 0.5;

/// Wait of a read of the log for peers, as a part of the same time: what they are told is up to two
/// reads old.
const READER_WAIT_PART: f64 = 1.0 / 6.0;

/// Wait of a read at a peer, as a part of the same time.
const PEER_WAIT_PART: f64 = 1.0 / 8.0;

/// Time for a peer's answer beyond the time that it is asked to wait.
const PEER_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which peers that did not answer are passed over.
const PEERS_PAUSE: Duration = Duration::from_secs(2);

/// Time for which the log is passed over after a failed read: its own time-outs are longer than
/// the time in which an edit has to be in force.
const LOG_PAUSE: Duration = Duration::from_secs(4);

/// What a peer answered.
enum PeerAnswer {
    /// The records asked for are not kept any more.
    Gone,
    /// What it knows.
    Page(FeedPage),
}

/// The log with peers beside it.
pub struct SharedLog {
    links: PeerLinks,
    log: Rc<dyn TopicLog>,
    log_paused_until: Cell<Duration>,
    peers_paused_until: Cell<Duration>,
    serving: Rc<ServingState>,
}

impl SharedLog {
    /// Creates the log of an instance.
    pub fn new(log: Rc<dyn TopicLog>, serving: Rc<ServingState>, links: PeerLinks) -> Self {
        Self {
            links,
            log,
            log_paused_until: Cell::default(),
            peers_paused_until: Cell::default(),
            serving,
        }
    }

    /// Peers to ask before the log is.
    fn readers(&self, now: Duration) -> SmallVec<[SocketAddr; 2]> {
        let settings = &self.serving.settings;
        let peers = self.serving.peers.borrow();
        if now < self.log_paused_until.get() {
            return peers.fallback_readers(now, &settings.data_centre);
        }
        if now < self.peers_paused_until.get() {
            return SmallVec::new();
        }
        peers.readers(now, &settings.instance, &settings.data_centre)
    }

    /// Asks peers, the next one if one does not answer or knows nothing new.
    async fn ask_peers(
        &self,
        topic: &'static str,
        from: Option<LogOffset>,
        wait: Duration,
    ) -> Option<PeerAnswer> {
        let readers = self.readers(boot_time());
        if readers.is_empty() {
            return None;
        }
        let edit_time = self.serving.settings.edit_time;
        let wait = wait.min(edit_time.mul_f64(PEER_WAIT_PART));
        for address in readers {
            let request = Body::TopicReadRequest(wire::TopicReadRequest {
                from,
                topic: topic.to_owned(),
                wait_ms: wait.as_millis() as u64,
            });
            let sent_at = boot_time();
            let asked = self.links.request(address, request, wait + PEER_TIMEOUT);
            let Some(Body::TopicReadReply(reply)) = asked.await else {
                continue;
            };
            if reply.unknown {
                continue;
            }
            if reply.gone {
                return Some(PeerAnswer::Gone);
            }
            let page = FeedPage::from_reply(reply, sent_at);
            if boot_time().saturating_sub(page.proven_at) < edit_time.mul_f64(PEER_AGE_PART) {
                return Some(PeerAnswer::Page(page));
            }
        }
        info!("log topic={topic} no peer has read it lately; read here");
        self.peers_paused_until.set(boot_time() + PEERS_PAUSE);
        self.log_paused_until.set(Duration::ZERO);
        None
    }

    /// Wait of a read of the log; short while peers read here.
    fn own_wait(&self, wait: Duration) -> Duration {
        let edit_time = self.serving.settings.edit_time;
        match self.serving.has_peer_readers() {
            true => wait.min(edit_time.mul_f64(READER_WAIT_PART)),
            false => wait,
        }
    }

    /// Notes whether the log answered.
    fn note<T>(&self, read: Result<T>) -> Result<T> {
        if read.is_err() {
            self.log_paused_until.set(boot_time() + LOG_PAUSE);
        }
        read
    }

    async fn read_newest(&self, topic: &'static str, after: Option<SmolStr>) -> Result<KeyedPage> {
        if after.is_none()
            && let Some(PeerAnswer::Page(page)) = self.ask_peers(topic, None, Duration::ZERO).await
        {
            return Ok(KeyedPage {
                end: page.end,
                has_more: false,
                items: page.records,
                source: ReadSource::Peer {
                    proven_at: page.proven_at,
                },
            });
        }
        self.note(self.log.newest(topic, after).await)
    }

    async fn read_records(
        &self,
        topic: &'static str,
        from: LogOffset,
        wait: Duration,
    ) -> Result<TopicRead> {
        let page = match self.ask_peers(topic, Some(from), wait).await {
            Some(PeerAnswer::Page(page)) => page,
            Some(PeerAnswer::Gone) => return Ok(TopicRead::Gone),
            None => {
                let wait = self.own_wait(wait);
                return self.note(self.log.read(topic, from, wait).await);
            }
        };
        let mut records = Vec::with_capacity(page.records.len());
        for record in page.records {
            let value = record.value.unwrap_or_default();
            records.push((record.offset, raw_record(&record.key, &value)));
        }
        Ok(TopicRead::Records {
            end: page.end,
            next: page.end,
            records,
            source: ReadSource::Peer {
                proven_at: page.proven_at,
            },
        })
    }
}

impl TopicLog for SharedLog {
    fn append_at<'a>(
        &'a self,
        topic: &'static str,
        at: LogOffset,
        key: &'a str,
        value: Bytes,
    ) -> LocalBoxFuture<'a, Result<AppendEnd>> {
        self.log.append_at(topic, at, key, value)
    }

    fn put<'a>(
        &'a self,
        topic: &'static str,
        key: &'a str,
        value: Bytes,
    ) -> LocalBoxFuture<'a, Result> {
        self.log.put(topic, key, value)
    }

    fn newest(
        &self,
        topic: &'static str,
        after: Option<SmolStr>,
    ) -> LocalBoxFuture<'_, Result<KeyedPage>> {
        Box::pin(self.read_newest(topic, after))
    }

    fn read(
        &self,
        topic: &'static str,
        from: LogOffset,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<TopicRead>> {
        Box::pin(self.read_records(topic, from, wait))
    }
}
