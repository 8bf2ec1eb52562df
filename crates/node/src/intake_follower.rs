//! Reads back what fronts have accepted, for the cell's owner.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_adapter::{Keyed, ReadError};
use cactuswheel_model::Time;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::owner::Event;
use crate::shared::Shared;
use crate::topics::INTAKE;

/// How long a read of the intake waits for a record.
const READ_WAIT: Duration = Duration::from_millis(2_000);

/// Time for an answer beyond the wait.
const READ_LIMIT: Duration = Duration::from_millis(900);

/// Pause after a read that failed.
const RETRY: Duration = Duration::from_millis(60);

/// Reads the intake once, to its end.
pub(crate) async fn read_intake(shared: Arc<Shared>, events: mpsc::Sender<Event>, from: u64) {
    let sent = shared.clock.now();
    let page = shared.store.read(INTAKE, from, Duration::ZERO, READ_LIMIT);
    let Ok(page) = page.await else {
        // Whoever asked hears that nobody knows, after its own patience.
        return;
    };
    if page.from + page.records.len() as u64 >= page.end {
        let records = page.records.iter().filter_map(Keyed::read).collect();
        let _ = events.send(Event::Intake(records, sent)).await;
    }
}

/// Follows the intake until nobody takes its records any more.
pub(crate) async fn follow_intake(shared: Arc<Shared>, events: mpsc::Sender<Event>, mut next: u64) {
    let mut lost = false;
    while !events.is_closed() {
        let sent = shared.clock.now();
        let page = shared.store.read(INTAKE, next, READ_WAIT, READ_LIMIT).await;
        match page {
            Ok(page) => {
                if std::mem::take(&mut lost) {
                    log::info!("intake regained");
                }
                next = page.from + page.records.len() as u64;
                let records = page.records.iter().filter_map(Keyed::read).collect();
                let whole = next >= page.end;
                let sent = if whole { sent } else { Time::default() };
                let _ = events.send(Event::Intake(records, sent)).await;
            }
            Err(ReadError::Deleted) => next = reread(&shared, &events, next).await,
            Err(e) => {
                if !std::mem::replace(&mut lost, true) {
                    log::warn!(error:% = e; "intake lost");
                }
                sleep(RETRY).await;
            }
        }
    }
}

/// The records between were deleted: the newest of each key has all that matters.
async fn reread(shared: &Shared, events: &mpsc::Sender<Event>, from: u64) -> u64 {
    log::warn!(from = from; "intake records were deleted: reading the newest again");
    let mut after: Option<String> = None;
    let mut end = None;
    loop {
        let page = shared.store.newest(INTAKE, after.as_deref(), READ_LIMIT);
        let page = match page.await {
            Ok(page) => page,
            Err(e) => {
                log::info!(error:% = e; "intake cannot be read again yet");
                return from;
            }
        };
        let first = *end.get_or_insert(page.end);
        after = page.items.last().map(|i| i.key.clone());
        let records = page.items.into_iter().map(|i| Keyed::new(i.key, i.value));
        let records = records.collect();
        let _ = events.send(Event::Intake(records, Time::default())).await;
        if !page.more {
            return first;
        }
    }
}
