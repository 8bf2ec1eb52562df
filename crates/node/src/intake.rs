//! Puts what this front accepts into the store: one append at a time, with all that waits.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cactuswheel_adapter::{AppendError, Keyed, Partition, Producer, records_size};
use cactuswheel_cell::{Slack, Standing};
use cactuswheel_model::Time;
use cactuswheel_work::Submission;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::appending::append;
use crate::ask;
use crate::overload::outage_excess;
use crate::peer::HandInAnswer;
use crate::shared::Shared;
use crate::topics::{IntakeKey, intake, intake_part};

/// Records that may wait. A front takes some dozens a second; more only pile up while the store
/// is away, and are refused then.
const MAX_QUEUED: usize = 1_024;

/// Largest append, in bytes.
const MAX_APPEND_BYTES: usize = 512 << 10;

/// Longest time without an answer after which an append is in doubt: a store that is slow by a
/// factor of a hundred answers before.
const MAX_DOUBT_TIMEOUT: Duration = Duration::from_millis(1_100);

/// Times the usual limit for an answer after which an append is in doubt all the same.
///
/// Failure: the store is away, and what comes in waits a second to hear that. Of a store that
/// answers in milliseconds three limits without an answer say enough.
const DOUBT_RTT_FACTOR: u32 = 3;

/// Time for which an append may be in doubt before what comes after it is refused.
const MAX_DOUBT: Duration = Duration::from_millis(250);

/// Time for which an append may be under way before what waits behind it is refused.
pub(crate) fn stuck_timeout(shared: &Shared) -> Duration {
    doubt_timeout(shared) + MAX_DOUBT
}

/// Time without an answer after which an append is in doubt.
fn doubt_timeout(shared: &Shared) -> Duration {
    MAX_DOUBT_TIMEOUT.min(shared.append_rtt.limit() * DOUBT_RTT_FACTOR)
}

/// Why a record is not known to be in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotStored {
    /// It is not there and never will be.
    Refused,
    /// The same: it would begin too late, by so much.
    Overloaded(Duration),
    /// The same: nobody has taken jobs for so long that it would begin too late, by so much.
    NoOwner(Duration),
    /// It may be there, now or later.
    Doubt,
}

/// Why a job is refused here, as far as this front knows what it would wait for.
fn early_refusal(shared: &Shared, now: Time, slack: Slack) -> Option<NotStored> {
    if let Some(excess) = shared.overload.excess(now, slack) {
        return Some(NotStored::Overloaded(excess));
    }
    let outage = shared.owner_health.failing_for(now);
    let usual = TAKEOVER_TIME + shared.min_expiry;
    outage_excess(outage, usual, slack).map(NotStored::NoOwner)
}

/// Time in which a node takes the cell over once it may claim it, with little to read.
const TAKEOVER_TIME: Duration = Duration::from_millis(1_500);

/// Where a record is on its way.
#[derive(Debug, Default)]
struct Stage(AtomicU8);

const QUEUED: u8 = 0;
const IN_APPEND: u8 = 1;
const WITHDRAWN: u8 = 2;

struct Entry {
    record: Keyed,
    stage: Arc<Stage>,
    reply: oneshot::Sender<Result<(), NotStored>>,
}

/// Puts records into the store.
#[derive(Debug)]
pub(crate) struct Intake {
    /// One for each partition.
    partitions: Vec<PartitionQueue>,
}

/// What goes into one partition.
#[derive(Debug)]
struct PartitionQueue {
    queue: mpsc::Sender<Entry>,
    /// Since when the append under way is in doubt, in milliseconds; 0 if it is not.
    doubt_since: Arc<AtomicU64>,
    shared: Arc<Shared>,
}

impl Intake {
    /// Starts the appending tasks; `life` tells this process's appends from an earlier one's.
    pub(crate) fn start(shared: &Arc<Shared>, life: u64) -> Self {
        let parts = 0..shared.settings.parts;
        let partitions = parts.map(|part| PartitionQueue::start(shared.clone(), life, part));
        Self {
            partitions: partitions.collect(),
        }
    }

    /// Accepts a job: by the owner, whose journal then holds it together with what is planned of
    /// it, or in the intake if the owner does not answer.
    pub(crate) async fn accept(
        &self,
        shared: &Arc<Shared>,
        sub: &Submission,
        record: Vec<u8>,
        limit: Duration,
    ) -> Result<(), NotStored> {
        let id = sub.job;
        let config = shared.config.load();
        let queue = config.as_ref().and_then(|c| c.queues.get(&sub.queue));
        let slack = Slack::of(sub, queue);
        let start = shared.clock.now();
        if let Some(slack) = slack
            && let Some(refusal) = early_refusal(shared, start, slack)
        {
            // It may be a repeat of a job that was accepted before.
            let Some((standing, waits)) = ask::standing(shared, id, sub.service.clone()).await
            else {
                return Err(refusal);
            };
            // What was told before may be over sooner than it said.
            shared.overload.learn(shared.clock.now(), waits);
            match standing {
                Standing::Stored => return Ok(()),
                // What becomes of it shows when it is handed in again.
                Standing::Pending => {}
                Standing::Unknown => {
                    if let Some(excess) = waits.excess(slack) {
                        return Err(NotStored::Overloaded(excess));
                    }
                }
            }
        }
        let record = Bytes::from(record);
        let handed = ask::hand_in(shared, record.clone(), limit).await;
        match handed {
            HandInAnswer::Accepted => {
                shared.owner_health.answered(shared.clock.now());
                return Ok(());
            }
            HandInAnswer::Overloaded(waits) => {
                shared.owner_health.answered(shared.clock.now());
                shared.overload.learn(shared.clock.now(), waits);
                let excess = slack.and_then(|s| waits.excess(s));
                return Err(NotStored::Overloaded(excess.unwrap_or_default()));
            }
            HandInAnswer::Refused | HandInAnswer::Unknown => {
                shared.owner_health.failed(shared.clock.now());
            }
        }
        let left = limit.saturating_sub(shared.clock.now().since(start));
        let stored = self
            .store(IntakeKey::Submitted(id), record.to_vec(), left)
            .await;
        match (stored, handed) {
            // The owner may accept it yet.
            (Err(_), HandInAnswer::Unknown) => Err(NotStored::Doubt),
            (stored, _) => stored,
        }
    }

    /// Stores a record of a job; certain when it returns without an error.
    pub(crate) async fn store(
        &self,
        key: IntakeKey,
        value: Vec<u8>,
        limit: Duration,
    ) -> Result<(), NotStored> {
        let part = intake_part(key.job(), self.partitions.len() as u32);
        let record = Keyed::new(key.to_string(), value);
        self.partitions[part as usize].store(record, limit).await
    }
}

impl PartitionQueue {
    fn start(shared: Arc<Shared>, life: u64, part: u32) -> Self {
        let (queue, entries) = mpsc::channel(MAX_QUEUED);
        let doubt_since = Arc::new(AtomicU64::new(0));
        let appender = Appender {
            shared: shared.clone(),
            part: intake(part),
            doubt_since: doubt_since.clone(),
            name: format!("{}-{life:x}", shared.settings.node),
            seq: 1,
        };
        tokio::spawn(appender.run(entries));
        Self {
            queue,
            doubt_since,
            shared,
        }
    }

    /// A record that waits behind an append in doubt is taken back, so that its caller hears at
    /// once that nothing was done.
    async fn store(&self, record: Keyed, limit: Duration) -> Result<(), NotStored> {
        if self.is_stuck() {
            return Err(NotStored::Refused);
        }
        let (reply, mut answer) = oneshot::channel();
        let stage = Arc::new(Stage::default());
        let entry = Entry {
            record,
            stage: stage.clone(),
            reply,
        };
        if self.queue.try_send(entry).is_err() {
            return Err(NotStored::Refused);
        }
        let deadline = self.shared.clock.now().after(limit);
        loop {
            if let Ok(answer) = timeout(MAX_DOUBT, &mut answer).await {
                return answer.unwrap_or(Err(NotStored::Doubt));
            }
            let expired = self.shared.clock.now() >= deadline;
            if (expired || self.is_stuck()) && stage.withdraw() {
                return Err(NotStored::Refused);
            }
            if expired {
                return Err(NotStored::Doubt);
            }
        }
    }

    fn is_stuck(&self) -> bool {
        let since = self.doubt_since.load(Ordering::Relaxed);
        since != 0 && self.shared.clock.now().since(Time::new(since)) > MAX_DOUBT
    }
}

impl Stage {
    /// The record goes into an append; false if its caller has left.
    fn begin_append(&self) -> bool {
        self.transition(IN_APPEND)
    }

    /// The caller leaves; false if the record is in an append already.
    fn withdraw(&self) -> bool {
        self.transition(WITHDRAWN)
    }

    fn transition(&self, to: u8) -> bool {
        let done = self
            .0
            .compare_exchange(QUEUED, to, Ordering::AcqRel, Ordering::Acquire);
        done.is_ok()
    }
}

struct Appender {
    shared: Arc<Shared>,
    part: Partition,
    doubt_since: Arc<AtomicU64>,
    name: String,
    seq: u64,
}

impl Appender {
    async fn run(mut self, mut entries: mpsc::Receiver<Entry>) {
        while let Some(first) = entries.recv().await {
            let mut batch = vec![first];
            let mut size = records_size(std::slice::from_ref(&batch[0].record));
            while size < MAX_APPEND_BYTES
                && let Ok(next) = entries.try_recv()
            {
                size += records_size(std::slice::from_ref(&next.record));
                batch.push(next);
            }
            batch.retain(|e| e.stage.begin_append());
            if batch.is_empty() {
                continue;
            }
            let records: Vec<Keyed> = batch.iter().map(|e| e.record.clone()).collect();
            let outcome = self.append(&records).await;
            for entry in batch {
                // A caller that has left needs no answer.
                let _ = entry.reply.send(outcome);
            }
        }
    }

    /// Appends until the outcome is certain.
    async fn append(&mut self, records: &[Keyed]) -> Result<(), NotStored> {
        let producer = Producer {
            name: self.name.clone(),
            epoch: 1,
            seq: self.seq,
        };
        let outcome = {
            let in_doubt = || self.enter_doubt();
            let append = append(
                &self.shared,
                "intake",
                self.part,
                &producer,
                records,
                in_doubt,
            );
            tokio::pin!(append);
            match timeout(doubt_timeout(&self.shared), append.as_mut()).await {
                Ok(outcome) => outcome,
                Err(_) => {
                    self.enter_doubt();
                    append.await
                }
            }
        };
        self.doubt_since.store(0, Ordering::Relaxed);
        match outcome {
            Ok(_) => {
                self.shared.store_answered();
                self.seq += 1;
                Ok(())
            }
            Err(AppendError::Refused(status)) => {
                self.shared.store_failed();
                log::warn!(records = records.len() as u64, status = status; "intake refused");
                Err(NotStored::Refused)
            }
            Err(error) => {
                log::error!(error:% = error, seq = self.seq; "intake lost count");
                self.restart_sequence();
                Err(NotStored::Doubt)
            }
        }
    }

    fn enter_doubt(&self) {
        self.shared.store_failed();
        let now = self.shared.clock.now().get();
        let before =
            self.doubt_since
                .compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed);
        if before.is_err() {
            return;
        }
        log::warn!(part = self.part.part, seq = self.seq; "intake in doubt");
    }

    /// Goes on under another name, whose sequence starts afresh.
    fn restart_sequence(&mut self) {
        self.name.push('x');
        self.seq = 1;
    }
}
