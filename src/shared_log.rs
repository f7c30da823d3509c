//! Access of one instance to the log, which it reads either directly or through a peer (another
//! instance) of its data centre that reads the log.
//!
//! An instance that should read the log directly but cannot reach it reads through peers until it
//! can; one that should read through peers reads the log directly while none of them gives a recent
//! answer. An answer of a peer carries its age, so that it shows that there was nothing newer only
//! up to the time at which it was valid.
//!
//! An edit of the operators' configuration has to be in force, that is, used for calls at every
//! instance, within a set time (the setting `edit_time`). Several durations in this file are
//! fractions of that time.

use super::*;

use std::cell::Cell;
use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use wire::frame::Body;

/// Minimum age at which a peer's answer shows that the peer is cut off from the log, as a fraction
/// of the time within which an edit has to be in force. The rest of that time is left for detecting
/// this and for a direct read.
const PEER_AGE_FRACTION: f64 = 0.5;

/// Maximum time that a direct read waits for new records while peers read through this instance, as
/// a fraction of the time within which an edit has to be in force. An answer that a peer receives
/// is up to two reads old.
const READER_WAIT_FRACTION: f64 = 1.0 / 6.0;

/// Part of the age at which a peer's answer is too old that a reader's copy may reach between two
/// reads; the rest covers the answer's way to the peer.
const COPY_AGE_FRACTION: f64 = 0.9;

/// Shortest time that a direct read waits for new records, so that it costs more than it waits only
/// where edits have to be in force very soon.
const READER_WAIT_MIN: Duration = Duration::from_millis(20);

/// Maximum time that a read through a peer waits for new records, as a fraction of the time within
/// which an edit has to be in force.
const PEER_WAIT_FRACTION: f64 = 1.0 / 8.0;

/// Time allowed for a peer's answer in addition to the wait for new records that was requested.
const PEER_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which this instance does not ask peers after none of them gave a recent answer, unless
/// a direct read fails.
const PEERS_BACKOFF: Duration = Duration::from_secs(2);

/// Time after a failed direct read for which this instance asks peers first. The timeouts of log
/// calls are longer than the time within which an edit has to be in force, so trying again at once
/// would make edits late.
const LOG_BACKOFF: Duration = Duration::from_secs(4);

enum PeerAnswer {
    /// The peer no longer keeps the records from the requested offset on.
    Gone,
    /// Records that the peer keeps, with the time at which they were known to be the newest.
    Page(FeedPage),
}

/// Log whose topics are read directly or through peers; appends always go to the log itself.
pub struct SharedLog {
    links: PeerLinks,
    log: Rc<dyn TopicLog>,
    log_backoff_until: Cell<Duration>,
    peers_backoff_until: Cell<Duration>,
    serving: Rc<ServingState>,
}

/// Returns the maximum time that a direct read may wait for new records if `pause` follows each
/// read. A copy is at its oldest when the next read ends: two waits and a pause after the last one
/// began. Peers must still take it for recent then.
pub fn reader_wait(edit_time: Duration, pause: Duration) -> Duration {
    let age_max = edit_time.mul_f64(PEER_AGE_FRACTION * COPY_AGE_FRACTION);
    (age_max.saturating_sub(pause) / 2).max(READER_WAIT_MIN)
}

impl SharedLog {
    /// Creates the log access of an instance: `log` serves appends and direct reads, `links` carry
    /// reads through peers, and `serving` tells which peers are live.
    pub fn new(log: Rc<dyn TopicLog>, serving: Rc<ServingState>, links: PeerLinks) -> Self {
        Self {
            links,
            log,
            log_backoff_until: Cell::default(),
            peers_backoff_until: Cell::default(),
            serving,
        }
    }

    /// Returns the peers to ask before the log is read directly. Up to [`LOG_BACKOFF`] after a
    /// failed direct read these are peers that may have the log's contents. Otherwise there are
    /// none if this instance is one of those that should read the log themselves, or for
    /// [`PEERS_BACKOFF`] after no peer gave a recent answer.
    fn readers(&self, now: Duration) -> SmallVec<[SocketAddr; 2]> {
        let settings = &self.serving.settings;
        let peers = self.serving.peers.borrow();
        if now < self.log_backoff_until.get() {
            return peers.fallback_readers(now, &settings.data_centre);
        }
        if now < self.peers_backoff_until.get() {
            return SmallVec::new();
        }
        peers.readers(now, &settings.instance, &settings.data_centre)
    }

    /// Reads the newest record of each key from a peer's copy, however old it is. Returns `None` if
    /// the peer does not answer or has no copy.
    pub async fn read_peer(&self, address: SocketAddr, topic: &'static str) -> Option<FeedPage> {
        let request = Body::TopicReadRequest(wire::TopicReadRequest {
            from: None,
            topic: topic.to_owned(),
            wait_ms: 0,
        });
        let sent_at = boot_time();
        match self.links.request(address, request, PEER_TIMEOUT).await {
            Some(Body::TopicReadReply(reply)) if !reply.unknown && !reply.gone => {
                Some(FeedPage::from_reply(reply, sent_at))
            }
            _ => None,
        }
    }

    /// Asks peers in turn until one gives a recent answer or reports that it no longer keeps the
    /// requested records. Returns `None` if the log has to be read directly.
    async fn read_from_peers(
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
        let wait = wait.min(edit_time.mul_f64(PEER_WAIT_FRACTION));
        for address in readers {
            let request = Body::TopicReadRequest(wire::TopicReadRequest {
                from,
                topic: topic.to_owned(),
                wait_ms: wait.as_millis() as u64,
            });
            let sent_at = boot_time();
            let response = self.links.request(address, request, wait + PEER_TIMEOUT);
            let Some(Body::TopicReadReply(reply)) = response.await else {
                continue;
            };
            if reply.unknown {
                continue;
            }
            if reply.gone {
                return Some(PeerAnswer::Gone);
            }
            let page = FeedPage::from_reply(reply, sent_at);
            if boot_time().saturating_sub(page.as_of) < edit_time.mul_f64(PEER_AGE_FRACTION) {
                return Some(PeerAnswer::Page(page));
            }
        }
        info!("log topic={topic} no peer has a recent copy; reading the log directly");
        self.peers_backoff_until.set(boot_time() + PEERS_BACKOFF);
        self.log_backoff_until.set(Duration::ZERO);
        None
    }

    /// Returns the maximum time that a direct read waits for new records: `wait`, or less while
    /// peers read through this instance.
    fn log_wait(&self, topic: &str, wait: Duration) -> Duration {
        let edit_time = self.serving.settings.edit_time;
        match self.serving.has_peer_readers() {
            true if topic == INSTANCES_TOPIC => {
                wait.min(reader_wait(edit_time, INSTANCES_READ_INTERVAL))
            }
            true => wait.min(edit_time.mul_f64(READER_WAIT_FRACTION)),
            false => wait,
        }
    }

    /// If a direct read failed, starts the time ([`LOG_BACKOFF`]) for which peers are asked first.
    fn track_failure<T>(&self, read: Result<T>) -> Result<T> {
        if read.is_err() {
            self.log_backoff_until.set(boot_time() + LOG_BACKOFF);
        }
        read
    }

    async fn read_newest(&self, topic: &'static str, after: Option<SmolStr>) -> Result<KeyedPage> {
        if after.is_none()
            && let Some(PeerAnswer::Page(page)) =
                self.read_from_peers(topic, None, Duration::ZERO).await
        {
            return Ok(KeyedPage {
                end: page.end,
                has_more: false,
                items: page.records,
                source: ReadSource::Peer { as_of: page.as_of },
            });
        }
        self.track_failure(self.log.newest(topic, after).await)
    }

    async fn read_records(
        &self,
        topic: &'static str,
        from: LogOffset,
        wait: Duration,
    ) -> Result<TopicRead> {
        let page = match self.read_from_peers(topic, Some(from), wait).await {
            Some(PeerAnswer::Page(page)) => page,
            Some(PeerAnswer::Gone) => return Ok(TopicRead::Gone),
            None => {
                let wait = self.log_wait(topic, wait);
                return self.track_failure(self.log.read(topic, from, wait).await);
            }
        };
        let mut records = Vec::with_capacity(page.records.len());
        for record in page.records {
            let value = record.value.unwrap_or_default();
            records.push((record.offset, encode_keyed_record(&record.key, &value)));
        }
        Ok(TopicRead::Records {
            end: page.end,
            next: page.end,
            records,
            source: ReadSource::Peer { as_of: page.as_of },
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
    ) -> LocalBoxFuture<'a, Result<AppendOutcome>> {
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
