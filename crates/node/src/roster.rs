//! Follows the workers' entries, for the cell's owner.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_adapter::{Keyed, ReadError, read_worker};
use cactuswheel_model::Set;
use cactuswheel_work::WorkerId;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::event::Event;
use crate::expiry::page_time;
use crate::shared::Shared;
use crate::topics::WORKERS;

/// How long a read waits for a record.
const READ_WAIT: Duration = Duration::from_millis(1_000);

/// Time for an answer beyond the wait.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Pause between reads. Every worker writes each second or two, so without it a read would
/// bring one record; with it, some ten.
const READ_PAUSE: Duration = Duration::from_millis(150);

/// Follows the workers' entries until nobody takes them any more.
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
            log::warn!(error:% = failure; "roster lost");
        }
        sleep(READ_PAUSE).await;
    }
}

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
            publish(events, known, Keyed::new(item.key, item.value)).await;
        }
        if !page.more {
            let gone: Vec<WorkerId> = known.difference(&listed).cloned().collect();
            for id in gone {
                publish(events, known, Keyed::dropped(id.as_str())).await;
            }
            // Whoever takes this knows every entry.
            let _ = events.send(Event::RosterComplete).await;
            return Ok(from);
        }
    }
}

async fn follow_from(
    shared: &Shared,
    events: &mpsc::Sender<Event>,
    known: &mut Set<WorkerId>,
    mut next: u64,
    lost: &mut bool,
) -> ReadError {
    loop {
        if events.is_closed() {
            return ReadError::Failed("nobody listens".into());
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
            log::info!("roster regained");
        }
        next += page.records.len() as u64;
        for record in &page.records {
            match Keyed::read(record) {
                Some(record) => publish(events, known, record).await,
                None => log::warn!(offset = page.from; "worker's record without a key"),
            }
        }
        sleep(READ_PAUSE).await;
    }
}

async fn publish(events: &mpsc::Sender<Event>, known: &mut Set<WorkerId>, record: Keyed) {
    let id = WorkerId::from(record.key);
    let entry = record.value.map(|value| read_worker(id.as_str(), &value));
    let event = match entry {
        Some(Ok(entry)) => {
            known.insert(id);
            Event::WorkerUpdated(entry)
        }
        Some(Err(e)) => {
            log::warn!(worker:% = id, error:% = e; "worker's entry names none to use");
            known.remove(&id);
            Event::WorkerRemoved(id)
        }
        None => {
            known.remove(&id);
            Event::WorkerRemoved(id)
        }
    };
    // With the owner gone there is nobody to tell.
    let _ = events.send(event).await;
}
