//! Follows the fleet's stream of the log.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::Offset;
use cactuswheel_platform::{Batch, Log, LogError, Stream};
use tokio::time::sleep;

use crate::shared::Shared;
use crate::{Phase, snapshots};

/// Records asked for at once.
const BATCH: usize = 500;

/// Longest wait for news.
const WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed read.
const PAUSE: Duration = Duration::from_millis(250);

/// Pause before another look for a snapshot that closes a gap.
const GAP_PAUSE: Duration = Duration::from_secs(1);

/// Applies records as they come, for as long as the task lives.
pub(crate) async fn follow(shared: Arc<Shared>) {
    if let Err(e) = snapshots::restore(&shared, Offset::default()).await {
        log::warn!("no snapshot: {e}");
    }
    loop {
        let from = shared.state.load().next();
        // Until it serves, a node has to learn soon that the log does not answer.
        let wait = match shared.phase.get() {
            Phase::Starting => Duration::ZERO,
            _ => WAIT,
        };
        match shared.platform.read(Stream::Fleet, from, BATCH, wait).await {
            Ok(batch) => take(&shared, from, &batch).await,
            Err(LogError::Trimmed(first)) => recover(&shared, from, first).await,
            Err(e) => {
                log::warn!("{e}");
                shared.link.failed();
                sleep(PAUSE).await;
            }
        }
    }
}

async fn take(shared: &Shared, from: Offset, batch: &Batch) {
    shared.link.answered(batch.first);
    shared.metrics.log.mark();
    shared.link.set_gap(false);
    shared.hear_head(batch.head);
    let first = batch.entries.first().map_or(from, |e| e.offset);
    let bodies: Vec<_> = batch.entries.iter().map(|e| e.body.as_str()).collect();
    if let Err(gap) = shared.take(first, &bodies) {
        log::error!("log: {gap}");
        return sleep(PAUSE).await;
    }
    if shared.is_current() {
        return shared.phase.advance(Phase::Ready);
    }
    if batch.entries.is_empty() {
        // A peer knows of records that the log does not show yet.
        sleep(PAUSE).await;
    }
}

/// The log no longer keeps what comes next: only a snapshot leads on.
///
/// Failure: after a long freeze the node would otherwise serve an old configuration for ever.
/// A snapshot that ends before `first` leaves a gap and is not taken; then a peer may help.
async fn recover(shared: &Shared, from: Offset, first: Offset) {
    shared.link.answered(first);
    match snapshots::restore(shared, first).await {
        Ok(true) => return shared.link.set_gap(false),
        Ok(false) => log::error!("log starts at {first}, this node needs {from}; no snapshot"),
        Err(e) => log::error!("log starts at {first}, this node needs {from}: {e}"),
    }
    shared.link.set_gap(true);
    sleep(GAP_PAUSE).await;
}
