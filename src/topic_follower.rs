//! Follows keyed topics of the log, in which the newest record of a key gives the key's value: the
//! topics of the policy (the operators' configuration of routes, services and client accounts), of
//! the registered backend servers and of the running instances. Topics are read from the log
//! service or from peers, other instances that serve copies of them.

use super::*;

use std::rc::Rc;

/// Delay between a failed read and the next one. It is short, since the policy may be used only for
/// a limited time after the last read that showed it to be the newest.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time after a restore of the log for which keys that it lacks are kept: whoever wrote them writes
/// them again within about two seconds.
const RESTORE_TIME: Duration = Duration::from_millis(2_500);

/// Reads one topic continuously and reports its changes.
pub struct TopicFollower {
    /// Log service that holds the topic, or peers that serve copies of it.
    pub log: Rc<dyn TopicLog>,
    /// Pause between reads of the log, so that frequent records are read in batches. Peers return
    /// only records that change a value, so that they may be read again sooner.
    pub pause: Duration,
    /// Pause between reads from peers.
    pub peer_pause: Duration,
    /// Name of the topic at the log service.
    pub topic: &'static str,
    /// Maximum time that a read waits for a record if there is no new one.
    pub wait: Duration,
}

/// What a read of a followed topic showed.
#[derive(Debug)]
pub enum TopicEvent {
    /// A read reached the end of the topic.
    CaughtUp {
        /// Time, by the clock of [`boot_time`], at which the topic ended there.
        at: Duration,
        /// Offset after the last record at that time.
        end: LogOffset,
    },
    /// A key has a new record, or was removed if the record has no value.
    Change(KeyedRecord),
    /// Reads started to fail (false), or succeed again (true).
    Reachable(bool),
    /// The log was restored from an older copy. Changes show what it holds now.
    Restored,
}

impl TopicFollower {
    /// Reads the newest record of each key, then all later records, and passes each change to
    /// `on_event`, until `shutdown` is cancelled. Failed reads are repeated.
    pub async fn run(self, mut on_event: impl FnMut(TopicEvent), shutdown: CancellationToken) {
        let mut view = KeyedView::default();
        let mut reachable = true;
        // Time at which the read of the first page started. The pages together contain everything
        // that the log accepted before that time.
        let mut pages_began_at = None;
        let mut restored_at = None;
        loop {
            let mut began_at = boot_time();
            match view.next_request() {
                ViewRequest::Page { .. } => began_at = *pages_began_at.get_or_insert(began_at),
                ViewRequest::Records { .. } => pages_began_at = None,
            }
            let read = tokio::select! {
                () = shutdown.cancelled() => return,
                read = self.read(&mut view, began_at, &mut restored_at, &mut on_event) => read,
            };
            if restored_at.is_some_and(|at| boot_time().saturating_sub(at) >= RESTORE_TIME) {
                restored_at = None;
                for change in view.drop_absent() {
                    on_event(TopicEvent::Change(change));
                }
            }
            let pause = match &read {
                Ok(ReadSource::Log) => self.pause,
                Ok(ReadSource::Peer { .. }) => self.peer_pause,
                Err(_) => RETRY_DELAY,
            };
            if read.is_ok() != reachable {
                reachable = read.is_ok();
                self.log_reachability(&read);
                on_event(TopicEvent::Reachable(reachable));
            }
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
        }
    }

    async fn read(
        &self,
        view: &mut KeyedView,
        began_at: Duration,
        restored_at: &mut Option<Duration>,
        on_event: &mut impl FnMut(TopicEvent),
    ) -> Result<ReadSource> {
        match view.next_request() {
            ViewRequest::Page { after } => {
                let page = self.log.newest(self.topic, after).await?;
                let source = page.source;
                let (items, end) = (page.items.len(), page.end);
                let changes = view.apply_page(page.items, page.has_more, page.end);
                info!(
                    "follow topic={} listed={items} end={end} changes={}",
                    self.topic,
                    changes.len()
                );
                if view.take_restored() {
                    *restored_at = Some(boot_time());
                    self.report_restore(end, on_event);
                }
                for change in changes {
                    on_event(TopicEvent::Change(change));
                }
                if let Some(end) = view.caught_up_to() {
                    let at = source.as_of(began_at);
                    on_event(TopicEvent::CaughtUp { at, end });
                }
                Ok(source)
            }
            ViewRequest::Records { from } => {
                let read = self.log.read(self.topic, from, self.wait).await?;
                let TopicRead::Records {
                    end,
                    next,
                    records,
                    source,
                } = read
                else {
                    info!(
                        "follow topic={} requested records have expired; rereading the topic",
                        self.topic
                    );
                    view.restart();
                    return Ok(ReadSource::Log);
                };
                let changes = view.apply_records(self.decode_records(records), next);
                if view.take_restored() {
                    self.report_restore(next, on_event);
                }
                for change in changes {
                    on_event(TopicEvent::Change(change));
                }
                if next >= end {
                    let at = source.as_of(began_at);
                    on_event(TopicEvent::CaughtUp { at, end });
                }
                Ok(source)
            }
        }
    }

    fn report_restore(&self, end: LogOffset, on_event: &mut impl FnMut(TopicEvent)) {
        warn!("log topic={} restored era={}", self.topic, era_of(end));
        on_event(TopicEvent::Restored);
    }

    fn decode_records(&self, records: Vec<(LogOffset, Bytes)>) -> Vec<KeyedRecord> {
        let mut decoded = Vec::with_capacity(records.len());
        for (offset, raw) in records {
            match decode_keyed_record(offset, &raw) {
                Ok(record) => decoded.push(record),
                Err(error) => warn!("follow topic={} skipped record: {error}", self.topic),
            }
        }
        decoded
    }

    fn log_reachability(&self, read: &Result<ReadSource>) {
        match read {
            Ok(_) => info!("dependency name=log topic={} regained", self.topic),
            Err(error) => {
                warn!(
                    "dependency name=log topic={} lost reason=\"{error}\"",
                    self.topic
                );
            }
        }
    }
}
