//! Actor that owns the claim batchers of this instance and performs their log I/O. A claim is a log
//! record that reserves an idempotency key for one call; keys are divided into partitions, each
//! with its own log stream. A batcher collects the claims of one partition into a common append and
//! decides by their order in the log which of them are granted.

use super::*;

/// Delay between a failed read or append of a log stream and the next attempt.
const LOG_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Submits a record to the log stream of its partition and returns the verdict on it; a claim gets
/// `Unavailable` if the log has not confirmed it within [`CLAIM_TIMEOUT`].
#[derive(Message)]
#[rtype(result = "Verdict")]
pub struct SubmitClaimRecord {
    /// Partition to which [`partition_of`] assigns the record's key.
    pub partition: u32,
    /// Claim, answer or release; a claim is not appended if the records read so far already decide
    /// it.
    pub record: ClaimRecord,
}

#[derive(Message)]
#[rtype(result = "()")]
struct PartitionRead {
    partition: u32,
    read: LogRead,
}

#[derive(Message)]
#[rtype(result = "()")]
struct PartitionAppended {
    partition: u32,
    succeeded: bool,
}

/// Owns a claim batcher for each partition for which this instance has received a record.
pub struct ClaimActor {
    answer_senders: HashMap<Ticket, oneshot::Sender<Verdict>>,
    batchers: BTreeMap<u32, ClaimBatcher>,
    log: LogClient,
    metrics: Metrics,
    next_ticket: Ticket,
    settings: Arc<Settings>,
    shutdown: CancellationToken,
    started_at: Instant,
}

impl ClaimActor {
    /// Creates the actor. The batcher of a partition is started by the first record for it.
    pub fn new(settings: Arc<Settings>, metrics: Metrics, shutdown: CancellationToken) -> Self {
        Self {
            answer_senders: HashMap::new(),
            batchers: BTreeMap::new(),
            log: LogClient::new(&settings.platform_url),
            metrics,
            next_ticket: 0,
            settings,
            shutdown,
            started_at: Instant::now(),
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn answer(&mut self, answers: impl IntoIterator<Item = TicketAnswer>) {
        for answer in answers {
            if let Some(sender) = self.answer_senders.remove(&answer.ticket) {
                // The result is ignored: the receiver may have given up waiting, and the record
                // stays in the log in any case.
                let _ = sender.send(answer.verdict);
            }
        }
    }

    fn start_partition(&mut self, partition: u32, context: &mut actix::Context<Self>) {
        let settings = &self.settings;
        let batcher = ClaimBatcher::new(settings.claim_window, settings.claim_batch);
        self.batchers.insert(partition, batcher);
        self.read_next(partition, context);
    }

    /// Reads the partition's stream from the batcher's next offset. The handler of the result calls
    /// this again.
    fn read_next(&self, partition: u32, context: &mut actix::Context<Self>) {
        let Some(batcher) = self.batchers.get(&partition) else {
            return;
        };
        let from = batcher.next_offset();
        // The batcher appends nothing until the stream has been read to its tail, so reads before
        // that return at once instead of waiting for new records.
        let wait = match batcher.is_caught_up() {
            true => READ_WAIT,
            false => Duration::ZERO,
        };
        let log = self.log.clone();
        let shutdown = self.shutdown.clone();
        let actor = context.address();
        actix_rt::spawn(async move {
            let stream = stream_name(partition);
            while !shutdown.is_cancelled() {
                match log.read(&stream, from, wait).await {
                    Ok(read) => {
                        actor.do_send(PartitionRead { partition, read });
                        return;
                    }
                    Err(error) => {
                        warn!("claims partition={partition} read failed: {error}");
                        tokio::time::sleep(LOG_RETRY_DELAY).await;
                    }
                }
            }
        });
    }

    fn append_due_batches(&mut self, context: &mut actix::Context<Self>) {
        let now = self.now();
        for (partition, batcher) in &mut self.batchers {
            let Some(batch) = batcher.next_batch(now) else {
                continue;
            };
            let partition = *partition;
            let log = self.log.clone();
            let actor = context.address();
            actix_rt::spawn(async move {
                let mut records = Vec::with_capacity(batch.len());
                for record in &batch {
                    records.push(wire::LogRecord::from(record));
                }
                let appended = log.append(&stream_name(partition), &records).await;
                if let Err(error) = &appended {
                    warn!("claims partition={partition} append failed: {error}");
                    tokio::time::sleep(LOG_RETRY_DELAY).await;
                }
                actor.do_send(PartitionAppended {
                    partition,
                    succeeded: appended.is_ok(),
                });
            });
        }
    }

    /// Schedules a check for due batches at the end of the batch window, the time for which a batch
    /// collects records. An idle actor runs no timer.
    fn schedule_append(&self, context: &mut actix::Context<Self>) {
        context.run_later(self.settings.claim_batch, |actor, context| {
            actor.append_due_batches(context)
        });
    }

    fn expire(&mut self) {
        let now = self.now();
        let mut expired = Vec::new();
        for batcher in self.batchers.values_mut() {
            expired.extend(batcher.expire(now));
        }
        self.answer(expired);
    }
}

fn stream_name(partition: u32) -> String {
    format!("claims-{partition}")
}

impl Actor for ClaimActor {
    type Context = actix::Context<Self>;
}

impl Handler<SubmitClaimRecord> for ClaimActor {
    type Result = ResponseFuture<Verdict>;

    fn handle(&mut self, message: SubmitClaimRecord, context: &mut Self::Context) -> Self::Result {
        let SubmitClaimRecord { partition, record } = message;
        if !self.batchers.contains_key(&partition) {
            self.start_partition(partition, context);
        }
        let now = self.now();
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let batcher = self.batchers.get_mut(&partition);
        let settled = batcher.and_then(|batcher| batcher.submit(now, ticket, record));
        if let Some(verdict) = settled {
            return Box::pin(std::future::ready(verdict));
        }
        self.schedule_append(context);
        context.run_later(CLAIM_TIMEOUT, |actor, _| actor.expire());
        let (sender, answer) = oneshot::channel();
        self.answer_senders.insert(ticket, sender);
        Box::pin(async move { answer.await.unwrap_or(Verdict::Unavailable) })
    }
}

impl Handler<PartitionRead> for ClaimActor {
    type Result = ();

    fn handle(&mut self, message: PartitionRead, context: &mut Self::Context) {
        let PartitionRead { partition, read } = message;
        let now = self.now();
        let Some(batcher) = self.batchers.get_mut(&partition) else {
            return;
        };
        batcher.skip_to(read.start, read.first_time_ms());
        if let Some(tail) = read.restored_tail(batcher.next_offset()) {
            warn!(
                "claims partition={partition} log restored era={}",
                era_of(tail)
            );
            batcher.enter_era(now, tail);
        }
        let mut answers = Vec::new();
        for entry in &read.entries {
            let record = entry.record.clone();
            let record = record.and_then(|record| ClaimRecord::try_from(record).ok());
            match batcher.read(entry.offset, entry.time_ms, record.as_ref()) {
                Ok(settled) => answers.extend(settled),
                Err(error) => {
                    error!("claims partition={partition} record was not applied: {error}");
                    self.metrics
                        .invariant("claim records are folded in order without gaps");
                }
            }
        }
        if batcher.next_offset() >= read.tail {
            batcher.set_caught_up();
        }
        self.answer(answers);
        self.append_due_batches(context);
        self.read_next(partition, context);
    }
}

impl Handler<PartitionAppended> for ClaimActor {
    type Result = ();

    fn handle(&mut self, message: PartitionAppended, context: &mut Self::Context) {
        let now = self.now();
        if let Some(batcher) = self.batchers.get_mut(&message.partition) {
            batcher.finish_append(now, message.succeeded);
        }
        self.append_due_batches(context);
        self.schedule_append(context);
    }
}
