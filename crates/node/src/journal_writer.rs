//! Writes the owner's journal.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cactuswheel_adapter::{AppendError, Appended, KeyedRecord, Producer};
use cactuswheel_cell::Batch;
use cactuswheel_work::JobId;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::appending::append;
use crate::event::Event;
use crate::shared::Shared;
use crate::takeover::OWNER_NAME;
use crate::topics::{IntakeKey, JOURNAL, intake, intake_part};

/// Time for an answer when something is dropped.
const TIMEOUT: Duration = Duration::from_millis(700);

/// Time without an answer after which the journal counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(700);

/// Pause before an append is repeated.
const RETRY: Duration = Duration::from_millis(30);

/// Writes the journal under one ownership; copies share its place in it.
#[derive(Debug, Clone)]
pub(crate) struct JournalWriter {
    shared: Arc<Shared>,
    events: mpsc::Sender<Event>,
    epoch: u64,
    /// Sequence number of the next append.
    seq: Arc<AtomicU64>,
}

/// A newer owner writes the journal.
struct ShutOut;

impl JournalWriter {
    pub(crate) fn new(shared: Arc<Shared>, events: mpsc::Sender<Event>, epoch: u64) -> Self {
        Self {
            shared,
            events,
            epoch,
            seq: Arc::new(AtomicU64::new(1)),
        }
    }

    /// Appends a batch until it is certain, and says so.
    pub(crate) async fn append(self, batch: Batch) {
        let start = self.shared.clock.now();
        let forgotten: Vec<JobId> = batch
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
        let records: Vec<KeyedRecord> = submissions.chain(states).collect();
        // With the owner gone there is nobody to tell.
        if let Err(ShutOut) = self.write(&records).await {
            let _ = self.events.send(Event::Deposed).await;
            return;
        }
        self.shared
            .metrics
            .journaled(self.shared.clock.now().since(start));
        let _ = self.events.send(Event::Appended(batch.number)).await;
        self.forget(&forgotten).await;
    }

    /// The same epoch and sequence number each time: the store does a repeat once, whatever
    /// became of the tries before.
    async fn write(&self, records: &[KeyedRecord]) -> Result<(), ShutOut> {
        let mut lost = false;
        while !self.events.is_closed() {
            let producer = Producer {
                name: OWNER_NAME.into(),
                epoch: self.epoch,
                seq: self.seq.load(Ordering::Acquire),
            };
            let Some(done) = self.try_write(&producer, records, &mut lost).await else {
                // Nobody owns the cell here any more.
                return Ok(());
            };
            match done {
                Ok(_) => {
                    self.seq.fetch_add(1, Ordering::AcqRel);
                    if lost {
                        log::info!(seq = producer.seq; "journal regained");
                    }
                    return Ok(());
                }
                Err(AppendError::Fenced) => {
                    log::warn!(epoch = self.epoch, seq = producer.seq; "journal shut this owner out");
                    return Err(ShutOut);
                }
                Err(AppendError::Sequence {
                    expected: Some(expected),
                }) if expected < producer.seq => self.seq.store(expected, Ordering::Release),
                Err(e) => {
                    if !std::mem::replace(&mut lost, true) {
                        log::warn!(error:% = e, seq = producer.seq; "journal lost");
                    }
                    sleep(RETRY).await;
                }
            }
        }
        Ok(())
    }

    /// `None` if the cell's owner is gone before the outcome is certain.
    async fn try_write(
        &self,
        producer: &Producer,
        records: &[KeyedRecord],
        lost: &mut bool,
    ) -> Option<Result<Appended, AppendError>> {
        let append = append(&self.shared, "journal", JOURNAL, producer, records, || {});
        tokio::pin!(append);
        if let Ok(done) = timeout(LOST_AFTER, append.as_mut()).await {
            return Some(done);
        }
        if !std::mem::replace(lost, true) {
            log::warn!(seq = producer.seq; "journal lost");
        }
        tokio::select! {
            done = append => Some(done),
            () = self.events.closed() => None,
        }
    }

    /// Drops what the intake holds of jobs that need it no more. One that stays does no harm.
    pub(crate) async fn forget(&self, jobs: &[JobId]) {
        let parts = self.shared.settings.parts;
        for part in 0..parts {
            let here = jobs.iter().filter(|id| intake_part(**id, parts) == part);
            let keys = here.flat_map(|id| [IntakeKey::Submitted(*id), IntakeKey::Cancelled(*id)]);
            let records: Vec<KeyedRecord> = keys
                .map(|k| KeyedRecord::tombstone(k.to_string()))
                .collect();
            self.drop_keys(part, &records).await;
        }
    }

    async fn drop_keys(&self, part: u32, records: &[KeyedRecord]) {
        if records.is_empty() {
            return;
        }
        let store = &self.shared.store;
        let done = store.append(intake(part), None, None, records, TIMEOUT);
        if let Err(e) = done.await {
            log::info!(part = part, error:% = e; "finished jobs stay in the intake");
        }
    }
}
