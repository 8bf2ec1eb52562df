//! Stores the submissions and cancels that this front end accepts. Each partition has one append in
//! flight at a time, and each append carries all records waiting at that moment.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cactuswheel_adapter::{AppendError, KeyedRecord, Partition, Producer, records_size};
use cactuswheel_cell::{Slack, Standing, new_job_size};
use cactuswheel_model::Time;
use cactuswheel_work::Submission;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::appending::append;
use crate::ask;
use crate::owner_outage::Outlook;
use crate::peer::HandInAnswer;
use crate::shared::Shared;
use crate::topics::{IntakeKey, intake, intake_part};

/// Maximum number of records waiting for a partition. A front end accepts a few dozen per second;
/// more accumulate only while the store is unreachable, and are then refused.
const MAX_QUEUED: usize = 1_024;

/// Size from which an append takes no further records, in bytes.
const MAX_APPEND_BYTES: usize = 512 << 10;

/// Maximum time without an answer until an append counts as in doubt, that is, its outcome as
/// unknown. A store that is slower than usual by a factor of 100 still answers sooner.
const MAX_DOUBT_TIMEOUT: Duration = Duration::from_millis(1_100);

/// Number of usual answer timeouts after which an append counts as in doubt, if that is sooner.
///
/// Otherwise, while the store is unreachable, each request would wait a second before it is
/// refused. For a store that usually answers within milliseconds, three timeouts without an answer
/// are sufficient evidence.
const DOUBT_RTT_FACTOR: u32 = 3;

/// How long an append may be in doubt before the records queued behind it are refused.
const MAX_DOUBT: Duration = Duration::from_millis(250);

/// How long an append may be in flight before the records queued behind it are refused.
pub(crate) fn stuck_timeout(shared: &Shared) -> Duration {
    doubt_timeout(shared) + MAX_DOUBT
}

/// Time without an answer after which an append counts as in doubt.
fn doubt_timeout(shared: &Shared) -> Duration {
    MAX_DOUBT_TIMEOUT.min(shared.append_rtt.retry_timeout() * DOUBT_RTT_FACTOR)
}

/// Why a record is not known to be stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotStored {
    /// It was not stored and never will be.
    Refused,
    /// It was not stored and never will be, because the job would start too late by this much.
    Overloaded(Duration),
    /// It was not stored and never will be: no owner has accepted jobs for so long that the job
    /// would start too late by this much.
    NoOwner(Duration),
    /// It was not stored and never will be: the state of the open jobs has no room for it.
    Full,
    /// The outcome is unknown: it may be stored already, or be stored later.
    Doubt,
}

/// Decides whether to refuse a job unless the owner says otherwise, from the waiting times that this
/// front end knows of.
fn early_refusal(shared: &Shared, sub: &Submission, slack: Slack) -> Option<NotStored> {
    let (now, team) = (shared.clock.now(), sub.team.as_ref());
    if let Some(excess) = shared.overload.excess(now, &sub.service, team, slack) {
        return Some(NotStored::Overloaded(excess));
    }
    match outlook(shared, slack) {
        Outlook::InTime => None,
        Outlook::Unsure(excess) | Outlook::TooLate(excess) => Some(NotStored::NoOwner(excess)),
    }
}

fn outlook(shared: &Shared, slack: Slack) -> Outlook {
    let usual = TAKEOVER_TIME + shared.min_expiry;
    let now = shared.clock.now();
    shared.owner_outage.outlook(now, usual, slack)
}

/// Probes the owner before a job is refused for its absence, unless another job's probe has just
/// done so.
async fn probe_owner(shared: &Shared, sub: &Submission, slack: Slack) {
    let _turn = shared.probe_turn.lock().await;
    if let Outlook::Unsure(excess) = outlook(shared, slack) {
        let found = ask::probe(shared, sub).await;
        shared.owner_outage.probed(shared.clock.now());
        log::info!(
            job:% = sub.job, found = found, excess_ms = excess.as_millis() as u64;
            "probed the owner, which took no jobs"
        );
    }
}

/// Settles a job without handing it in, if the last that this front end heard of the owner speaks
/// against it; `None` if the job is to be handed in.
async fn check_early(
    shared: &Arc<Shared>,
    sub: &Submission,
    slack: Option<Slack>,
    size: u64,
    limit: Duration,
) -> Option<Result<(), NotStored>> {
    let team = sub.team.as_ref();
    let late = slack.and_then(|slack| early_refusal(shared, sub, slack));
    let full = (!shared.room.fits(team, size)).then_some(NotStored::Full);
    let refusal = late.or(full)?;
    if let Some(slack) = slack
        && matches!(refusal, NotStored::NoOwner(_))
    {
        // Without the probe, the job is refused after the time that the caller waits.
        let _ = timeout(limit, probe_owner(shared, sub, slack)).await;
    }
    // The request may repeat one for a job that was already accepted.
    let Some((standing, prospects)) = ask::standing(shared, sub).await else {
        return Some(Err(refusal));
    };
    // The owner's current delay may be shorter than the one that this front end knows of.
    let delay = prospects.delay;
    let now = shared.clock.now();
    shared.overload.learn(now, &sub.service, team, delay);
    shared.room.learn(team, prospects.room);
    match standing {
        Standing::Stored => Some(Ok(())),
        // Handing the job in again returns its outcome.
        Standing::Pending => None,
        Standing::Unknown => {
            if let Some(excess) = slack.and_then(|s| delay.excess(s)) {
                return Some(Err(NotStored::Overloaded(excess)));
            }
            (!prospects.room.fits(size)).then_some(Err(NotStored::Full))
        }
    }
}

/// Usual duration of a takeover with little state to read, counted from the expiry of the previous
/// ownership.
const TAKEOVER_TIME: Duration = Duration::from_millis(1_500);

/// State of a record: queued, part of an append, or withdrawn by its caller.
#[derive(Debug, Default)]
struct Stage(AtomicU8);

const QUEUED: u8 = 0;
const IN_APPEND: u8 = 1;
const WITHDRAWN: u8 = 2;

struct Entry {
    record: KeyedRecord,
    stage: Arc<Stage>,
    reply: oneshot::Sender<Result<(), NotStored>>,
}

/// Appends records to the intake topic in the store.
#[derive(Debug)]
pub(crate) struct Intake {
    /// One queue per partition.
    partitions: Vec<PartitionQueue>,
}

/// Queue of the records to be appended to one partition.
#[derive(Debug)]
struct PartitionQueue {
    queue: mpsc::Sender<Entry>,
    /// Since when the append in flight is in doubt, in milliseconds; 0 if it is not.
    doubt_since: Arc<AtomicU64>,
    shared: Arc<Shared>,
}

impl Intake {
    /// Starts the append tasks. `life` distinguishes this process's appends from those of earlier
    /// processes of the node.
    pub(crate) fn start(shared: &Arc<Shared>, life: u64) -> Self {
        let parts = 0..shared.settings.parts;
        let partitions = parts.map(|part| PartitionQueue::start(shared.clone(), life, part));
        Self {
            partitions: partitions.collect(),
        }
    }

    /// Accepts a job: hands it in to the owner, which writes it to the journal together with its
    /// scheduling state, or stores it in the intake if the owner does not answer.
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
        let (team, size) = (sub.team.as_ref(), new_job_size(sub, record.len()));
        if let Some(settled) = check_early(shared, sub, slack, size, limit).await {
            return settled;
        }
        let record = Bytes::from(record);
        let left = limit.saturating_sub(shared.clock.now().since(start));
        let handed = ask::hand_in(shared, record.clone(), left).await;
        match handed {
            HandInAnswer::Accepted(room) => {
                shared.owner_outage.answered(shared.clock.now());
                shared.room.learn(team, room);
                return Ok(());
            }
            HandInAnswer::Overloaded(delay) => {
                let now = shared.clock.now();
                shared.owner_outage.answered(now);
                shared.overload.learn(now, &sub.service, team, delay);
                let excess = slack.and_then(|s| delay.excess(s));
                return Err(NotStored::Overloaded(excess.unwrap_or_default()));
            }
            HandInAnswer::Full(room) => {
                shared.owner_outage.answered(shared.clock.now());
                shared.room.learn(team, room);
                return Err(NotStored::Full);
            }
            HandInAnswer::Refused | HandInAnswer::Unknown => {
                shared.owner_outage.failed(shared.clock.now());
            }
        }
        if !shared.room.take_uncounted(size) {
            return Err(match handed {
                // The owner may still accept the job.
                HandInAnswer::Unknown => NotStored::Doubt,
                _ => NotStored::Full,
            });
        }
        let left = limit.saturating_sub(shared.clock.now().since(start));
        let stored = self
            .store(IntakeKey::Submitted(id), record.to_vec(), left)
            .await;
        match (stored, handed) {
            // The owner may still accept the job.
            (Err(_), HandInAnswer::Unknown) => Err(NotStored::Doubt),
            (stored, _) => stored,
        }
    }

    /// Stores a record of a job. When it returns `Ok`, the record is durable.
    pub(crate) async fn store(
        &self,
        key: IntakeKey,
        value: Vec<u8>,
        limit: Duration,
    ) -> Result<(), NotStored> {
        let part = intake_part(key.job(), self.partitions.len() as u32);
        let record = KeyedRecord::new(key.to_string(), value);
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

    /// Appends a record. A record that waits behind an append in doubt is withdrawn, so that its
    /// caller learns at once that nothing was stored.
    async fn store(&self, record: KeyedRecord, limit: Duration) -> Result<(), NotStored> {
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
            let left = deadline.since(self.shared.clock.now());
            if let Ok(answer) = timeout(MAX_DOUBT.min(left), &mut answer).await {
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
    /// Marks the record as part of an append; false if its caller has withdrawn it.
    fn begin_append(&self) -> bool {
        self.transition(IN_APPEND)
    }

    /// Withdraws the record; false if it is already part of an append.
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
            let records: Vec<KeyedRecord> = batch.iter().map(|e| e.record.clone()).collect();
            let outcome = self.append(&records).await;
            for entry in batch {
                // The caller may have stopped waiting.
                let _ = entry.reply.send(outcome);
            }
        }
    }

    /// Appends records, retrying until the outcome is certain.
    async fn append(&mut self, records: &[KeyedRecord]) -> Result<(), NotStored> {
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
                log::warn!(
                    records = records.len() as u64, status = status;
                    "store refused append to intake"
                );
                Err(NotStored::Refused)
            }
            Err(error) => {
                log::error!(
                    error:% = error, seq = self.seq;
                    "append to intake failed; continuing under a new producer name"
                );
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
        log::warn!(
            part = self.part.part, seq = self.seq;
            "append to intake in doubt: outcome unknown"
        );
    }

    /// Continues under a new producer name, whose sequence numbers start at 1.
    fn restart_sequence(&mut self) {
        self.name.push('x');
        self.seq = 1;
    }
}
