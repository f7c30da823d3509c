//! Follows keyed topics of the log: the policy and the registered servers.

use super::*;

use std::rc::Rc;

/// Pause after a failed read; the log is asked again soon, since keys lapse without it.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// A topic to follow.
pub struct Follow {
    /// The log.
    pub log: Rc<dyn TopicLog>,
    /// Pause between reads of the log, so that frequent records are read together. Peers tell
    /// only what changes something and are asked at once.
    pub pause: Duration,
    /// Name of the topic.
    pub topic: &'static str,
    /// Time that a read waits for the first record.
    pub wait: Duration,
}

/// What a follower tells.
#[derive(Debug)]
pub enum Followed {
    /// A key has a new value, or was dropped.
    Change(KeyedRecord),
    /// A read showed that the topic had no more records.
    Proof {
        /// When it had no more.
        at: Duration,
        /// End of the topic then.
        end: LogOffset,
    },
    /// Reads fail, or work again.
    Reachable(bool),
}

impl Follow {
    /// Follows until the shutdown.
    pub async fn run(self, mut tell: impl FnMut(Followed), shutdown: CancellationToken) {
        let mut view = KeyedView::default();
        let mut reachable = true;
        // Start of the first of the pages being read: whatever was accepted before it is in them.
        let mut pages_began_at = None;
        loop {
            let mut began_at = boot_time();
            match view.next_request() {
                ViewRequest::Page { .. } => began_at = *pages_began_at.get_or_insert(began_at),
                ViewRequest::Records { .. } => pages_began_at = None,
            }
            let read = tokio::select! {
                () = shutdown.cancelled() => return,
                read = self.read(&mut view, began_at, &mut tell) => read,
            };
            let pause = match &read {
                Ok(ReadSource::Log) => self.pause,
                Ok(ReadSource::Peer { .. }) => Duration::ZERO,
                Err(_) => RETRY_PAUSE,
            };
            if read.is_ok() != reachable {
                reachable = read.is_ok();
                self.log_reachable(&read);
                tell(Followed::Reachable(reachable));
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
        tell: &mut impl FnMut(Followed),
    ) -> Result<ReadSource> {
        match view.next_request() {
            ViewRequest::Page { after } => {
                let page = self.log.newest(self.topic, after).await?;
                let source = page.source;
                for change in view.apply_page(page.items, page.has_more, page.end) {
                    tell(Followed::Change(change));
                }
                if let Some(end) = view.caught_up_to() {
                    let at = source.as_of(began_at);
                    tell(Followed::Proof { at, end });
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
                    info!("follow topic={} records are gone; read anew", self.topic);
                    view.restart();
                    return Ok(ReadSource::Log);
                };
                for change in view.apply_records(self.keyed(records), next) {
                    tell(Followed::Change(change));
                }
                if next >= end {
                    let at = source.as_of(began_at);
                    tell(Followed::Proof { at, end });
                }
                Ok(source)
            }
        }
    }

    fn keyed(&self, records: Vec<(LogOffset, Bytes)>) -> Vec<KeyedRecord> {
        let mut keyed = Vec::with_capacity(records.len());
        for (offset, raw) in records {
            match decode_keyed_record(offset, &raw) {
                Ok(record) => keyed.push(record),
                Err(error) => warn!("follow topic={} {error}", self.topic),
            }
        }
        keyed
    }

    fn log_reachable(&self, read: &Result<ReadSource>) {
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
