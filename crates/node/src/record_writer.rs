//! Writes records that have to be there some time, many at once.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_adapter::{KeyedRecord, Partition};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::event::Event;
use crate::shared::Shared;

/// Time for an answer.
const TIMEOUT: Duration = Duration::from_millis(900);

/// Pause before records are written again.
const RETRY: Duration = Duration::from_millis(200);

/// Writes records to one partition until they are there, or until nobody owns the cell here any
/// more.
///
/// Failure: the store takes a quarter of a second for an append, one at a time, and a hundred
/// records that are written by themselves keep it busy for half a minute. What comes while an
/// append is under way goes into the next one together.
#[derive(Debug)]
pub(crate) struct RecordWriter {
    /// Each instance and each wave has a record or two, so there are never many.
    queue: mpsc::UnboundedSender<KeyedRecord>,
}

impl RecordWriter {
    pub(crate) fn start(shared: Arc<Shared>, events: mpsc::Sender<Event>, to: Partition) -> Self {
        let (queue, records) = mpsc::unbounded_channel();
        tokio::spawn(write(shared, events, to, records));
        Self { queue }
    }

    pub(crate) fn write(&self, record: KeyedRecord) {
        if self.queue.send(record).is_err() {
            log::warn!("record not written: nobody owns the cell here any more");
        }
    }
}

async fn write(
    shared: Arc<Shared>,
    events: mpsc::Sender<Event>,
    to: Partition,
    mut queue: mpsc::UnboundedReceiver<KeyedRecord>,
) {
    while let Some(first) = queue.recv().await {
        let mut records = vec![first];
        while let Ok(next) = queue.try_recv() {
            records.push(next);
        }
        while let Err(e) = shared.store.append(to, None, None, &records, TIMEOUT).await {
            if events.is_closed() {
                return;
            }
            let count = records.len() as u64;
            log::info!(topic = to.topic, records = count, error:% = e; "records not written yet");
            sleep(RETRY).await;
        }
    }
}
