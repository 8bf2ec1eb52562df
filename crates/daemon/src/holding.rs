//! Keeps this entry's units: says what the log has to know, and asks for word of it.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::{Holding, Offset, Record};
use cactuswheel_platform::{AppendPurpose, Log, Stream};
use futures::future::join_all;
use tokio::time::{sleep, timeout};

use crate::Phase;
use crate::shared::Shared;

/// Time between two looks at whether there is news for the log.
const PERIOD: Duration = Duration::from_millis(100);

/// Longest wait for records to be read back before they are told again.
const READ_BACK: Duration = Duration::from_secs(2);

/// Longest that a planned stop waits for the log to take the units back.
const HAND_BACK: Duration = Duration::from_secs(3);

/// Questions to the log within one fence time.
const ASKS: u32 = 6;

/// Appends this entry's records for as long as the task lives.
pub(crate) async fn drive(shared: Arc<Shared>) {
    loop {
        sleep(PERIOD).await;
        // A node that starts may lack records that it is named in.
        if shared.phase.get() > Phase::Starting {
            tell(&shared, tick(&shared)).await;
        }
    }
}

fn tick(shared: &Shared) -> Vec<Holding> {
    let mut holder = shared.holder();
    let state = shared.state.load();
    holder.tick(shared.now(), state.allotments(), rand::random())
}

/// Appends records and waits until they are read back, or are lost.
async fn tell(shared: &Shared, records: Vec<Holding>) {
    let bodies = records.into_iter().map(Record::Holding);
    let bodies = bodies.filter_map(|r| serde_json::to_string(&r).ok());
    let appends = bodies.map(|body| shared.appender.append(AppendPurpose::Control, body));
    let done = join_all(appends).await;
    let last = done.into_iter().filter_map(|offset| match offset {
        Ok(offset) => Some(offset),
        Err(e) => {
            log::debug!("units not told: {e}");
            None
        }
    });
    let Some(last) = last.max() else { return };
    wait_for(shared, last.next(), READ_BACK).await;
}

async fn wait_for(shared: &Shared, next: Offset, limit: Duration) -> bool {
    let mut reached = shared.reached.subscribe();
    let read = reached.wait_for(|reached| *reached >= next);
    timeout(limit, read).await.is_ok_and(|read| read.is_ok())
}

/// Asks the log whether anything is unread, for as long as the task lives.
///
/// The follower's own reads wait for news and are too long under way to measure with.
pub(crate) async fn watch(shared: Arc<Shared>) {
    let period = shared.settings.limits.fence_ms.duration() / ASKS;
    loop {
        let sent = shared.now();
        let from = shared.state.load().next();
        let batch = shared
            .platform
            .read(Stream::Fleet, from, 1, Duration::ZERO)
            .await;
        if let Ok(batch) = batch
            && wait_for(&shared, batch.head, period).await
        {
            shared.holder().record_log_read(sent);
        }
        sleep(period).await;
    }
}

/// Hands all units back at a planned stop, as far as nothing runs any more.
pub(crate) async fn hand_back(shared: &Shared) {
    shared.holder().start_leaving();
    let done = async {
        while holds(shared) {
            tell(shared, tick(shared)).await;
            sleep(PERIOD).await;
        }
    };
    if timeout(HAND_BACK, done).await.is_err() {
        log::warn!("units not handed back");
    }
}

fn holds(shared: &Shared) -> bool {
    let holder = shared.holder();
    let state = shared.state.load();
    state.allotments().life(holder.life()).is_some()
}
