//! Follows the fleet's stream of the log.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_fleet::{Applied, State};
use cactuswheel_platform::{Batch, Log, LogError, Stream};
use tokio::time::sleep;

use crate::Phase;
use crate::shared::Shared;

/// Records asked for at once.
const BATCH: usize = 500;

/// Longest wait for news.
const WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed read.
const PAUSE: Duration = Duration::from_millis(250);

/// Applies records as they come, for as long as the task lives.
pub(crate) async fn follow(shared: Arc<Shared>) {
    loop {
        let from = shared.state.load().next();
        match shared.platform.read(Stream::Fleet, from, BATCH, WAIT).await {
            Ok(batch) => take(&shared, &batch),
            Err(LogError::Trimmed(first)) => {
                log::error!("log starts at {first}, this node needs {from}");
                sleep(PAUSE).await;
            }
            Err(e) => {
                log::warn!("{e}");
                sleep(PAUSE).await;
            }
        }
    }
}

fn take(shared: &Shared, batch: &Batch) {
    shared.log_answered(batch.head);
    let mut state = State::clone(&shared.state.load());
    for entry in &batch.entries {
        if let Applied::Undecodable(e) = state.apply(entry.offset, &entry.body) {
            log::error!("record {} passed over: {e}", entry.offset);
        }
    }
    let next = state.next();
    if !batch.entries.is_empty() {
        shared.state.store(Arc::new(state));
        shared.reroute();
        shared.reached.send_replace(next);
    }
    if next >= batch.head {
        shared.phase.advance(Phase::Ready);
    }
}
