//! Appends to the store until the outcome is certain.

use std::time::Duration;

use cactuswheel_adapter::{AppendError, Appended, Keyed, Partition, Producer};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::{sleep, timeout};

use crate::shared::Shared;

/// Longest time for one answer. Whoever waits for it has given up long before.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Tries under way at a time.
const MAX_IN_FLIGHT: usize = 3;

/// Pause before an append is tried again that was turned away.
const RETRY_DELAY: Duration = Duration::from_millis(25);

/// Times that an append which was surely not done is tried. The store turns calls away when
/// all nodes together are over its rate, for a moment.
const MAX_REFUSALS: u32 = 3;

/// Appends records under a producer's sequence number until it is certain what became of them.
///
/// Failure: an answer is lost, or its connection has gone silent, and everything behind it waits
/// for a time limit that has to suit a store that is slow by a factor of a hundred. The store
/// does a repeat once, so another try goes out beside the first on a new connection as soon as
/// an answer is later than answers usually are; whichever answers first decides.
///
/// `in_doubt` is called when a try has failed that may have been carried out.
///
/// [`AppendError::Refused`] means that no try was or will be carried out; never gives
/// [`AppendError::Unknown`].
pub(crate) async fn append(
    shared: &Shared,
    topic: &'static str,
    to: Partition,
    producer: &Producer,
    records: &[Keyed],
    in_doubt: impl Fn(),
) -> Result<Appended, AppendError> {
    let attempt = || async {
        let sent = shared.clock.now();
        let store = &shared.store;
        let done = store
            .append(to, Some(producer), None, records, ANSWER_TIMEOUT)
            .await;
        (shared.clock.now().since(sent), done)
    };
    let mut in_flight = FuturesUnordered::new();
    let mut refused = 0;
    // A try may be carried out that nobody waits for any more.
    let mut uncertain = false;
    loop {
        if in_flight.is_empty() {
            in_flight.push(attempt());
        }
        let Ok(next) = timeout(shared.append_rtt.limit(), in_flight.next()).await else {
            shared.metrics.append_failed(topic);
            shared.append_rtt.overdue();
            if in_flight.len() < MAX_IN_FLIGHT {
                shared.store.suspect();
                in_flight.push(attempt());
            }
            continue;
        };
        let Some((took, outcome)) = next else {
            continue;
        };
        match outcome {
            Ok(done) => {
                shared.append_rtt.answered(took);
                return Ok(done);
            }
            Err(AppendError::Refused(status)) => {
                refused += 1;
                let last = in_flight.is_empty();
                if last && !uncertain && refused >= MAX_REFUSALS {
                    return Err(AppendError::Refused(status));
                }
            }
            Err(AppendError::Unknown(_)) => {
                uncertain = true;
                in_doubt();
            }
            Err(certain) => return Err(certain),
        }
        shared.metrics.append_failed(topic);
        if in_flight.is_empty() {
            sleep(RETRY_DELAY).await;
        }
    }
}
