//! Follows the roster of workers, for the cell's owner.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_adapter::{KeyedRecord, ReadError, parse_worker};
use cactuswheel_model::Set;
use cactuswheel_work::WorkerId;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::event::Event;
use crate::expiry::page_time;
use crate::shared::Shared;
use crate::topics::WORKERS;

/// How long a read waits for new records.
const READ_WAIT: Duration = Duration::from_millis(1_000);

/// Timeout of a read, in addition to its wait.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Pause between reads. Every worker writes a record each second or two, so that a read would
/// return a single record without the pause; with it, a read returns about ten.
const READ_PAUSE: Duration = Duration::from_millis(150);

/// Follows the roster until the owner has stopped.
pub(crate) async fn follow(shared: Arc<Shared>, events: mpsc::Sender<Event>) {
    let mut known = Set::default();
    let mut lost = false;
    loop {
        let failure = match read_newest(&shared, &events, &mut known).await {
            Ok(end) => follow_from(&shared, &events, &mut known, end, &mut lost).await,
            Err(e) => e,
        };
        if events.is_closed() {
            return;
        }
        if !lost && !matches!(failure, ReadError::Deleted) {
            lost = true;
            log::warn!(error:% = failure; "cannot read roster; retrying");
        }
        sleep(READ_PAUSE).await;
    }
}

/// Reads the newest entry of each worker and returns the offset from which to continue.
async fn read_newest(
    shared: &Shared,
    events: &mpsc::Sender<Event>,
    known: &mut Set<WorkerId>,
) -> Result<u64, ReadError> {
    let mut after: Option<String> = None;
    let mut end = None;
    let mut listed: Set<WorkerId> = Set::default();
    let limit = READ_TIMEOUT + page_time(shared.settings.link);
    loop {
        let page = shared.store.newest(WORKERS, after.as_deref(), limit);
        let page = page.await?;
        let from = *end.get_or_insert(page.end);
        after = page.items.last().map(|i| i.key.clone());
        for item in page.items {
            listed.insert(item.key.as_str().into());
            publish(events, known, KeyedRecord::new(item.key, item.value)).await;
        }
        if !page.more {
            let removed: Vec<WorkerId> = known.difference(&listed).cloned().collect();
            for id in removed {
                publish(events, known, KeyedRecord::tombstone(id.as_str())).await;
            }
            // The channel keeps the order, so the owner receives every entry before this event.
            let _ = events.send(Event::RosterComplete).await;
            return Ok(from);
        }
    }
}

/// Polls for changed entries, starting at offset `next`, until a read fails.
async fn follow_from(
    shared: &Shared,
    events: &mpsc::Sender<Event>,
    known: &mut Set<WorkerId>,
    mut next: u64,
    lost: &mut bool,
) -> ReadError {
    loop {
        if events.is_closed() {
            return ReadError::Failed("the owner is gone".into());
        }
        let page = shared
            .store
            .read(WORKERS, next, READ_WAIT, READ_TIMEOUT)
            .await;
        let page = match page {
            Ok(page) => page,
            Err(e) => return e,
        };
        if std::mem::take(lost) {
            log::info!("roster readable again");
        }
        next += page.records.len() as u64;
        for record in &page.records {
            match KeyedRecord::parse(record) {
                Some(record) => publish(events, known, record).await,
                None => log::warn!(offset = page.from; "ignoring roster record without a key"),
            }
        }
        sleep(READ_PAUSE).await;
    }
}

/// Sends the owner the event for a worker's record; an invalid entry counts as removed.
async fn publish(events: &mpsc::Sender<Event>, known: &mut Set<WorkerId>, record: KeyedRecord) {
    let id = WorkerId::from(record.key);
    let entry = record.value.map(|value| parse_worker(id.as_str(), &value));
    let event = match entry {
        Some(Ok(entry)) => {
            known.insert(id);
            Event::WorkerUpdated(entry)
        }
        Some(Err(e)) => {
            log::warn!(worker:% = id, error:% = e; "worker removed from roster: invalid entry");
            known.remove(&id);
            Event::WorkerRemoved(id)
        }
        None => {
            known.remove(&id);
            Event::WorkerRemoved(id)
        }
    };
    // The owner may have stopped; the events channel is then closed.
    let _ = events.send(event).await;
}
