//! Background writer of records that are not urgent, in batches.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_adapter::{Keyed, Partition};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::event::Event;
use crate::shared::Shared;

/// Timeout of an append.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);

/// Pause before a failed append is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Writes records to one partition, with retries until they are stored or this node no longer runs
/// the cell.
///
/// An append to the store can take a quarter of a second, and the store handles one at a time: a
/// hundred records written one by one would keep it busy for half a minute. Records that arrive
/// during an append are therefore written together in the next one.
#[derive(Debug)]
pub(crate) struct RecordWriter {
    /// Unbounded, but there are only one or two records for each instance and each wave.
    queue: mpsc::UnboundedSender<Keyed>,
}

impl RecordWriter {
    /// Starts a writer to `partition`.
    pub(crate) fn start(
        shared: Arc<Shared>,
        events: mpsc::Sender<Event>,
        partition: Partition,
    ) -> Self {
        let (queue, records) = mpsc::unbounded_channel();
        tokio::spawn(run_writer(shared, events, partition, records));
        Self { queue }
    }

    /// Queues a record.
    pub(crate) fn write(&self, record: Keyed) {
        if self.queue.send(record).is_err() {
            log::warn!("record dropped: this node no longer runs the cell");
        }
    }
}

/// Writes queued records in batches.
async fn run_writer(
    shared: Arc<Shared>,
    events: mpsc::Sender<Event>,
    partition: Partition,
    mut queue: mpsc::UnboundedReceiver<Keyed>,
) {
    while let Some(first) = queue.recv().await {
        let mut records = vec![first];
        while let Ok(next) = queue.try_recv() {
            records.push(next);
        }
        while let Err(e) = shared
            .store
            .append(partition, None, None, &records, STORE_TIMEOUT)
            .await
        {
            if events.is_closed() {
                return;
            }
            let count = records.len() as u64;
            log::info!(
                topic = partition.topic, records = count, error:% = e;
                "failed to write records; retrying"
            );
            sleep(RETRY_PAUSE).await;
        }
    }
}
