//! Appends to the store with retries until the outcome is certain.

use std::time::Duration;

use cactuswheel_adapter::{AppendError, Appended, KeyedRecord, Partition, Producer};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::{sleep, timeout};

use crate::shared::Shared;

/// Timeout of one attempt. Callers stop waiting long before it elapses.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Maximum number of attempts in flight at a time.
const MAX_IN_FLIGHT: usize = 3;

/// Pause before a retry after the last attempt in flight failed.
const RETRY_DELAY: Duration = Duration::from_millis(25);

/// Number of refused attempts after which an append fails, provided that none can have been
/// executed. The store briefly refuses calls when all nodes together exceed its rate limit.
const MAX_REFUSALS: u32 = 3;

/// HTTP statuses with which the store rejects an append that it will never accept: the request is
/// malformed or too large.
pub(crate) const REJECTED: [u16; 2] = [400, 413];

/// Appends records under a producer's sequence number until the outcome is certain.
///
/// If an answer is lost or its connection is broken, waiting for the timeout would block all later
/// appends, and the timeout has to be long enough for a store that is slower than usual by a factor
/// of 100. Therefore, once an answer takes longer than usual, another attempt is sent in parallel
/// on a new connection, and the first answer decides. This is safe because the store executes
/// repeated appends of one sequence number only once.
///
/// Calls `in_doubt` when an attempt fails that may have been executed.
///
/// [`AppendError::Refused`] means that no attempt was or will be executed. Never returns
/// [`AppendError::Unknown`].
pub(crate) async fn append(
    shared: &Shared,
    topic: &'static str,
    to: Partition,
    producer: &Producer,
    records: &[KeyedRecord],
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
    // Whether an attempt that failed may still be executed.
    let mut uncertain = false;
    loop {
        if in_flight.is_empty() {
            in_flight.push(attempt());
        }
        let Ok(next) = timeout(shared.append_rtt.retry_timeout(), in_flight.next()).await else {
            shared.metrics.append_failed(topic);
            shared.append_rtt.record_timeout();
            if in_flight.len() < MAX_IN_FLIGHT {
                shared.store.discard_idle();
                in_flight.push(attempt());
            }
            continue;
        };
        let Some((took, outcome)) = next else {
            continue;
        };
        match outcome {
            Ok(done) => {
                shared.append_rtt.record_answer(took);
                return Ok(done);
            }
            Err(AppendError::Refused(status)) => {
                refused += 1;
                let last = in_flight.is_empty();
                // An earlier attempt with the same records was rejected as well.
                let certain = !uncertain || REJECTED.contains(&status);
                if last && certain && refused >= MAX_REFUSALS {
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
