//! Queries to the cell's owner, on this node or another.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use cactuswheel_cell::Standing;
use cactuswheel_model::Time;
use cactuswheel_work::{JobId, QueueName, Submission};
use tokio::time::{sleep, timeout};

use crate::peer::{HandInAnswer, JobAnswer, PeerLink, Prospects, QueueAnswer};
use crate::shared::Shared;

/// Timeout of one query to the owner. The owner answers from memory, so a longer silence means that
/// the connection is broken, and the query is retried on a new one.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(350);

/// Pause before a query is retried.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Attempts of a probe of an owner that cannot be reached.
const PROBE_ATTEMPTS: u32 = 2;

/// Usual time from the release of the ownership until the next owner answers.
const HANDOVER_TIME: Duration = Duration::from_millis(300);

/// Shortest limit of a query: one attempt, and the time to record its outcome.
const MIN_LIMIT: Duration = Duration::from_millis(400);

/// Queries the state of a job; `None` if no owner answers within `limit`, or within one attempt if
/// that is longer.
pub(crate) async fn job(shared: &Shared, id: JobId, limit: Duration) -> Option<JobAnswer> {
    let query = find_job(shared, id, last_retry(shared, limit));
    timeout(limit.max(MIN_LIMIT), query).await.ok()?
}

async fn find_job(shared: &Shared, id: JobId, last_retry: Time) -> Option<JobAnswer> {
    loop {
        let answer = match shared.local_owner.load_full() {
            Some(own) => Some(own.job(id).await),
            None => match owner_link(shared).await {
                Some(link) => link.job(id, ATTEMPT_TIMEOUT).await,
                None => None,
            },
        };
        match answer {
            Some(JobAnswer::NotOwner) => shared.owner_unreachable.notify_one(),
            Some(known) => {
                shared.owner_health.answered(shared.clock.now());
                return Some(known);
            }
            None => drop_link(shared),
        }
        pause(shared, last_retry).await?;
    }
}

/// Number of jobs in a queue that have not started; `None` if no owner answers within `limit`, or
/// within one attempt if that is longer.
pub(crate) async fn pending(shared: &Shared, queue: &QueueName, limit: Duration) -> Option<u64> {
    let query = count_pending(shared, queue, last_retry(shared, limit));
    timeout(limit.max(MIN_LIMIT), query).await.ok()?
}

async fn count_pending(shared: &Shared, queue: &QueueName, last_retry: Time) -> Option<u64> {
    loop {
        let answer = match shared.local_owner.load_full() {
            Some(own) => Some(own.queue(queue.clone()).await),
            None => match owner_link(shared).await {
                Some(link) => link.queue(queue.clone(), ATTEMPT_TIMEOUT).await,
                None => None,
            },
        };
        match answer {
            Some(QueueAnswer::Pending(n)) => {
                shared.owner_health.answered(shared.clock.now());
                return Some(n);
            }
            Some(QueueAnswer::NotOwner) => shared.owner_unreachable.notify_one(),
            None => drop_link(shared),
        }
        pause(shared, last_retry).await?;
    }
}

/// Until when a query is retried. Once a takeover would usually be over, a stopping node does not
/// wait for an owner any more: its callers find another node sooner.
fn last_retry(shared: &Shared, limit: Duration) -> Time {
    let now = shared.clock.now();
    let outage = shared.owner_health.failing_for(now);
    match shared.is_stopping() && outage > shared.usual_takeover() {
        true => now,
        false => now.after(limit),
    }
}

/// Pauses after a failed query; `None` if it is not to be retried.
async fn pause(shared: &Shared, last_retry: Time) -> Option<()> {
    let now = shared.clock.now();
    shared.owner_health.failed(now);
    if now >= last_retry {
        return None;
    }
    sleep(RETRY_DELAY).await;
    Some(())
}

/// What the owner knows of a job without reading the intake, and its prospects for such a job if it
/// is new; `None` if no owner answers.
pub(crate) async fn standing(
    shared: &Arc<Shared>,
    sub: &Submission,
) -> Option<(Standing, Prospects)> {
    let (id, service, team) = (sub.job, sub.service.clone(), sub.team.clone());
    if let Some(own) = shared.local_owner.load_full() {
        return own.standing(id, service, team).await;
    }
    let link = connected_link(shared)?;
    let answer = link.standing(id, service, team, ATTEMPT_TIMEOUT).await;
    if answer.is_none() {
        drop_link(shared);
    }
    answer
}

/// Whether the owner answers, on a new connection if there is none or the current one is broken.
/// While the ownership changes hands, waits for the next owner.
pub(crate) async fn probe(shared: &Shared, sub: &Submission) -> bool {
    let handed_over = shared.clock.now().after(HANDOVER_TIME);
    let mut attempts = 0;
    loop {
        if shared.local_owner.load().is_some() {
            return true;
        }
        attempts += 1;
        let link = owner_link(shared).await;
        if let Some(link) = &link {
            let (id, service, team) = (sub.job, sub.service.clone(), sub.team.clone());
            let answer = link.standing(id, service, team, ATTEMPT_TIMEOUT).await;
            if answer.is_some() {
                return true;
            }
            drop_link(shared);
        }
        let unreachable = link.is_none() && shared.owner.load().is_some();
        let late = unreachable || shared.clock.now() >= handed_over;
        if late && attempts >= PROBE_ATTEMPTS {
            shared.owner_unreachable.notify_one();
            return false;
        }
        if !late {
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Hands in a job to the owner, within `limit`.
///
/// Does not wait for a connection to the owner: if there is none, the front end stores the job in
/// the intake itself.
pub(crate) async fn hand_in(shared: &Arc<Shared>, record: Bytes, limit: Duration) -> HandInAnswer {
    let limit = limit.min(shared.accept_rtt.retry_timeout());
    let origin = shared.settings.listen.peers;
    if let Some(own) = shared.local_owner.load_full() {
        let answer = timeout(limit, own.hand_in(record, origin, limit)).await;
        return answer.unwrap_or(HandInAnswer::Unknown);
    }
    let Some(link) = connected_link(shared) else {
        return HandInAnswer::Refused;
    };
    let sent = shared.clock.now();
    let answer = link.hand_in(record, origin, limit).await;
    let took = shared.clock.now().since(sent);
    match answer {
        Some(_) => shared.accept_rtt.record_answer(took),
        None if took < limit => drop_link(shared),
        None => shared.accept_rtt.record_timeout(),
    }
    answer.unwrap_or(HandInAnswer::Unknown)
}

/// Returns the connection to the owner, or starts connecting in the background.
fn connected_link(shared: &Arc<Shared>) -> Option<Arc<PeerLink>> {
    let owner = shared.owner.load_full()?;
    let known = shared
        .owner_link
        .load_full()
        .filter(|l| l.addr == owner.addr);
    let is_local = owner.node == shared.settings.node;
    if known.is_none() && !is_local && !shared.connecting.swap(true, Ordering::AcqRel) {
        let shared = shared.clone();
        tokio::spawn(async move {
            owner_link(&shared).await;
            shared.connecting.store(false, Ordering::Release);
        });
    }
    known
}

/// Drops the connection to the owner and has the ownership read again.
fn drop_link(shared: &Shared) {
    shared.owner_link.store(None);
    shared.owner_unreachable.notify_one();
}

/// Returns the connection to the owner, connecting if there is none.
async fn owner_link(shared: &Shared) -> Option<Arc<PeerLink>> {
    let owner = shared.owner.load_full()?;
    if owner.node == shared.settings.node {
        // This node owns the cell but has not finished its takeover.
        return None;
    }
    if let Some(link) = shared
        .owner_link
        .load_full()
        .filter(|l| l.addr == owner.addr)
    {
        return Some(link);
    }
    let link = Arc::new(PeerLink::connect(owner.addr).await?);
    shared.owner_link.store(Some(link.clone()));
    Some(link)
}
