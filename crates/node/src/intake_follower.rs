//! Reads back what fronts have accepted, for the cell's owner.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_adapter::{Keyed, Page, ReadError};
use cactuswheel_model::Time;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::event::Event;
use crate::expiry::page_time;
use crate::shared::Shared;
use crate::topics::intake;

/// How long a read of the intake waits for a record.
const READ_WAIT: Duration = Duration::from_millis(2_000);

/// Time for an answer beyond the wait.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Pause after a read that failed.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// What a read of one partition of the intake has brought.
#[derive(Debug)]
pub(crate) struct IntakePage {
    pub(crate) part: u32,
    pub(crate) records: Vec<Keyed>,
    /// Offset up to which every record was read.
    pub(crate) next: u64,
    /// When the read was sent, if it reached the partition's end.
    pub(crate) complete_at: Option<Time>,
}

impl IntakePage {
    fn new(part: u32, page: &Page, sent: Time) -> Self {
        let next = page.from + page.records.len() as u64;
        Self {
            part,
            records: page.records.iter().filter_map(Keyed::read).collect(),
            next,
            complete_at: (next >= page.end).then_some(sent),
        }
    }
}

/// Reads a partition of the intake once, from `from` on, for the sake of a question.
pub(crate) async fn read_intake(
    shared: Arc<Shared>,
    events: mpsc::Sender<Event>,
    part: u32,
    from: u64,
) {
    let sent = shared.clock.now();
    let page = shared
        .store
        .read(intake(part), from, Duration::ZERO, READ_TIMEOUT);
    match page.await {
        Ok(page) => {
            let read = Event::Intake(IntakePage::new(part, &page, sent));
            let _ = events.send(read).await;
        }
        // Whoever asks on hears that nobody knows, after its own patience.
        Err(e) => {
            log::info!(part = part, error:% = e; "intake not read for a question");
            sleep(RETRY_DELAY).await;
        }
    }
    let _ = events.send(Event::IntakeReadDone(part)).await;
}

/// Follows a partition of the intake until nobody takes its records any more.
pub(crate) async fn follow_intake(
    shared: Arc<Shared>,
    events: mpsc::Sender<Event>,
    part: u32,
    mut next: u64,
) {
    let mut lost = false;
    while !events.is_closed() {
        let sent = shared.clock.now();
        let page = shared
            .store
            .read(intake(part), next, READ_WAIT, READ_TIMEOUT);
        match page.await {
            Ok(page) => {
                if std::mem::take(&mut lost) {
                    log::info!(part = part; "intake regained");
                }
                let read = IntakePage::new(part, &page, sent);
                next = read.next;
                let _ = events.send(Event::Intake(read)).await;
            }
            Err(ReadError::Deleted) => next = reread(&shared, &events, part, next).await,
            Err(e) => {
                if !std::mem::replace(&mut lost, true) {
                    log::warn!(part = part, error:% = e; "intake lost");
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// The records between were deleted: the newest of each key has all that matters.
async fn reread(shared: &Shared, events: &mpsc::Sender<Event>, part: u32, from: u64) -> u64 {
    log::warn!(part = part, from = from; "intake records were deleted: reading the newest again");
    let mut after: Option<String> = None;
    let mut end = None;
    let limit = READ_TIMEOUT + page_time(shared.settings.link);
    loop {
        let page = shared.store.newest(intake(part), after.as_deref(), limit);
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
        let read = IntakePage {
            part,
            records: records.collect(),
            next: first,
            complete_at: None,
        };
        let _ = events.send(Event::Intake(read)).await;
        if !page.more {
            return first;
        }
    }
}
