//! Writer of the owner's journal.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cactuswheel_adapter::{AppendError, Appended, KeyedRecord, Producer, records_size};
use cactuswheel_cell::{Batch, encode};
use cactuswheel_work::JobId;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::appending::{REJECTED, append};
use crate::cell_record::{CellKey, SilenceRecord};
use crate::event::Event;
use crate::shared::Shared;
use crate::takeover::PRODUCER_NAME;
use crate::topics::{IntakeKey, JOURNAL, intake, intake_part};

/// Timeout of an append that drops keys from the intake.
const DROP_TIMEOUT: Duration = Duration::from_millis(700);

/// Time without an answer after which an append counts as stalled. This is logged, and the append
/// is abandoned once the owner has stopped.
const STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause before a failed append is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(30);

/// Writes the journal under one epoch. Clones share the sequence number.
#[derive(Debug, Clone)]
pub(crate) struct JournalWriter {
    shared: Arc<Shared>,
    events: mpsc::Sender<Event>,
    epoch: u64,
    /// Sequence number of the next append.
    seq: Arc<AtomicU64>,
}

/// Outcome of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Written {
    /// The journal holds the records, or the owner has stopped.
    Done,
    /// The store will never accept the records.
    Rejected,
}

/// Error: a newer owner writes the journal.
struct Superseded;

impl JournalWriter {
    /// Creates a writer that reports to `events`.
    pub(crate) fn new(shared: Arc<Shared>, events: mpsc::Sender<Event>, epoch: u64) -> Self {
        Self {
            shared,
            events,
            epoch,
            seq: Arc::new(AtomicU64::new(1)),
        }
    }

    /// Appends a batch, with retries until the outcome is certain, and sends [`Event::Appended`] or
    /// [`Event::Deposed`]. Then removes the finished jobs of the batch from the intake.
    pub(crate) async fn append(self, batch: Batch) {
        let start = self.shared.clock.now();
        let finished: Vec<JobId> = batch
            .records
            .iter()
            .filter(|(_, record)| record.is_none())
            .map(|(id, _)| *id)
            .collect();
        let keyed = |key: String, value: Option<Vec<u8>>| KeyedRecord {
            key,
            value: value.map(Into::into),
        };
        let submissions = batch.submissions.into_iter();
        let submissions = submissions.map(|(id, v)| keyed(IntakeKey::Submitted(id).to_string(), v));
        let states = batch.records.into_iter();
        let states = states.map(|(id, v)| keyed(id.to_string(), v));
        let silences = batch.silences.into_iter().map(|(id, lease_end)| {
            let record = lease_end.map(|lease_end| SilenceRecord {
                epoch: self.epoch,
                life: self.shared.life,
                lease_end,
            });
            let value = record.map(|r| encode(&r));
            keyed(CellKey::Silent(id).to_string(), value)
        });
        let queues = batch.queues.into_iter();
        let queues = queues.map(|(name, attempts)| {
            let value = attempts.map(|n| encode(&n));
            keyed(CellKey::Queue(name).to_string(), value)
        });
        let cell = silences.chain(queues);
        let records: Vec<KeyedRecord> = submissions.chain(states).chain(cell).collect();
        // Failed sends mean that the owner has stopped and needs no events.
        if let Err(Superseded) = self.write_all(&records).await {
            let _ = self.events.send(Event::Deposed).await;
            return;
        }
        self.shared
            .metrics
            .journaled(self.shared.clock.now().since(start));
        let _ = self.events.send(Event::Appended(batch.number)).await;
        // Their submissions were dropped before; only a repetition that no owner has read can be left.
        let _ = self.clear_intake(&finished).await;
    }

    /// Appends records. If the store refuses them for good, appends them one by one and gives up
    /// those that it refuses alone.
    ///
    /// Otherwise one record that is too large would hold up the journal, and no job of any team would
    /// be started. The states go first: a submission is dropped only after its final state is
    /// stored, and a state without a submission belongs to no accepted job.
    async fn write_all(&self, records: &[KeyedRecord]) -> Result<(), Superseded> {
        if self.write(records).await? == Written::Done {
            return Ok(());
        }
        for record in records.iter().rev() {
            if self.write(std::slice::from_ref(record)).await? == Written::Rejected {
                let bytes = records_size(std::slice::from_ref(record)) as u64;
                log::error!(
                    key = record.key, bytes = bytes;
                    "store rejects a journal record; continuing without it"
                );
            }
        }
        Ok(())
    }

    /// Appends records until that succeeds, a newer owner is detected or the owner has stopped.
    /// Retries use the same epoch and sequence number, so that the store applies the append only
    /// once, whatever the outcome of earlier attempts.
    async fn write(&self, records: &[KeyedRecord]) -> Result<Written, Superseded> {
        let mut failing = false;
        while !self.events.is_closed() {
            let producer = Producer {
                name: PRODUCER_NAME.into(),
                epoch: self.epoch,
                seq: self.seq.load(Ordering::Acquire),
            };
            let Some(done) = self.try_write(&producer, records, &mut failing).await else {
                // This node no longer runs the cell.
                return Ok(Written::Done);
            };
            match done {
                Ok(_) => {
                    self.seq.fetch_add(1, Ordering::AcqRel);
                    if failing {
                        log::info!(seq = producer.seq; "journal append succeeded after failures");
                    }
                    return Ok(Written::Done);
                }
                Err(AppendError::Refused(status)) if REJECTED.contains(&status) => {
                    log::error!(
                        status = status, records = records.len() as u64, seq = producer.seq;
                        "store rejects a journal append"
                    );
                    return Ok(Written::Rejected);
                }
                Err(AppendError::Fenced) => {
                    log::warn!(
                        epoch = self.epoch, seq = producer.seq;
                        "journal is fenced off by a newer owner"
                    );
                    return Err(Superseded);
                }
                Err(AppendError::Sequence {
                    expected: Some(expected),
                }) if expected < producer.seq => self.seq.store(expected, Ordering::Release),
                Err(e) => {
                    if !std::mem::replace(&mut failing, true) {
                        log::warn!(
                            error:% = e, seq = producer.seq;
                            "journal append failed; retrying"
                        );
                    }
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
        Ok(Written::Done)
    }

    /// Makes one append; `None` if the owner has stopped before the outcome is certain. Sets
    /// `failing` and logs a warning if the append stalls.
    async fn try_write(
        &self,
        producer: &Producer,
        records: &[KeyedRecord],
        failing: &mut bool,
    ) -> Option<Result<Appended, AppendError>> {
        let append = append(&self.shared, "journal", JOURNAL, producer, records, || {});
        tokio::pin!(append);
        if let Ok(done) = timeout(STALL_TIMEOUT, append.as_mut()).await {
            return Some(done);
        }
        if !std::mem::replace(failing, true) {
            log::warn!(seq = producer.seq; "journal append stalled");
        }
        tokio::select! {
            done = append => Some(done),
            () = self.events.closed() => None,
        }
    }

    /// Removes the intake records of jobs that are finished or fully in the journal. Returns the jobs
    /// whose records are removed, and those whose records may still be there.
    pub(crate) async fn clear_intake(&self, jobs: &[JobId]) -> (Vec<JobId>, Vec<JobId>) {
        let parts = self.shared.settings.parts;
        let (mut removed, mut left) = (Vec::new(), Vec::new());
        for part in 0..parts {
            let here = jobs.iter().filter(|id| intake_part(**id, parts) == part);
            let here: Vec<JobId> = here.copied().collect();
            let keys = here
                .iter()
                .flat_map(|id| [IntakeKey::Submitted(*id), IntakeKey::Cancelled(*id)]);
            let records: Vec<KeyedRecord> = keys
                .map(|k| KeyedRecord::tombstone(k.to_string()))
                .collect();
            match self.drop_keys(part, &records).await {
                true => removed.extend(here),
                false => left.extend(here),
            }
        }
        (removed, left)
    }

    /// Drops keys from an intake partition; returns whether they are certainly dropped.
    async fn drop_keys(&self, part: u32, records: &[KeyedRecord]) -> bool {
        if records.is_empty() {
            return true;
        }
        let store = &self.shared.store;
        let done = store.append(intake(part), None, None, records, DROP_TIMEOUT);
        let done = done.await;
        if let Err(e) = &done {
            log::info!(part = part, error:% = e; "failed to remove jobs from the intake");
        }
        done.is_ok()
    }
}
