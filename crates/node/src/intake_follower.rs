//! Reads the intake for the cell's owner: the submissions and cancels that front ends stored.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_adapter::{KeyedRecord, Page, ReadError};
use cactuswheel_model::Time;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::event::Event;
use crate::expiry::page_time;
use crate::shared::Shared;
use crate::topics::intake;

/// How long a read of the intake waits for new records.
const READ_WAIT: Duration = Duration::from_millis(2_000);

/// Timeout of a read, in addition to its wait.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Result of a read of one partition of the intake.
#[derive(Debug)]
pub(crate) struct IntakePage {
    pub(crate) part: u32,
    pub(crate) records: Vec<KeyedRecord>,
    /// Offset of the next record to read.
    pub(crate) next: u64,
    /// When the read was sent, if it reached the end of the partition: every record stored before
    /// then is known.
    pub(crate) complete_at: Option<Time>,
}

impl IntakePage {
    fn new(part: u32, page: &Page, sent: Time) -> Self {
        let next = page.from + page.records.len() as u64;
        Self {
            part,
            records: page.records.iter().filter_map(KeyedRecord::parse).collect(),
            next,
            complete_at: (next >= page.end).then_some(sent),
        }
    }
}

/// Reads a partition of the intake once, starting at offset `from`, to answer a query.
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
        // The query stays pending until another read succeeds or its caller times out.
        Err(e) => {
            log::info!(part = part, error:% = e; "cannot read intake for a query");
            sleep(RETRY_DELAY).await;
        }
    }
    let _ = events.send(Event::IntakeReadDone(part)).await;
}

/// Polls a partition of the intake, starting at offset `next`, until the owner has stopped.
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
                    log::warn!(part = part, error:% = e; "cannot read intake; retrying");
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the newest record of each key and returns the offset from which to continue.
///
/// Used when the store has deleted records before they were read. The newest record of each key is
/// enough, as intake records never change.
async fn reread(shared: &Shared, events: &mpsc::Sender<Event>, part: u32, from: u64) -> u64 {
    log::warn!(
        part = part, from = from;
        "intake records were deleted; reading the newest record of each key"
    );
    let mut after: Option<String> = None;
    let mut end = None;
    let limit = READ_TIMEOUT + page_time(shared.settings.link);
    loop {
        let page = shared.store.newest(intake(part), after.as_deref(), limit);
        let page = match page.await {
            Ok(page) => page,
            Err(e) => {
                log::info!(error:% = e; "cannot read the newest intake records; retrying");
                return from;
            }
        };
        let first = *end.get_or_insert(page.end);
        after = page.items.last().map(|i| i.key.clone());
        let records = page
            .items
            .into_iter()
            .map(|i| KeyedRecord::new(i.key, i.value));
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
