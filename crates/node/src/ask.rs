//! Asks the cell's owner, wherever it is.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use cactuswheel_cell::{Standing, Waits};
use cactuswheel_work::{JobId, QueueName, ServiceName};
use tokio::time::{sleep, timeout};

use crate::peer::{HandInAnswer, JobAnswer, PeerLink, QueueAnswer};
use crate::shared::Shared;

/// Time for one answer of the owner. It answers from memory, so a longer silence is a lost
/// connection, and another one is worth the try.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(350);

/// Pause before the owner is looked up again.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// What the owner says of a job; `None` if no owner answers within `limit`.
pub(crate) async fn job(shared: &Shared, id: JobId, limit: Duration) -> Option<JobAnswer> {
    let deadline = shared.clock.now().after(limit);
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
            Some(known) => return Some(known),
            None => drop_link(shared),
        }
        if shared.clock.now() >= deadline {
            return None;
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Number of a queue's jobs that wait; `None` if no owner answers within `limit`.
pub(crate) async fn pending(shared: &Shared, queue: &QueueName, limit: Duration) -> Option<u64> {
    let deadline = shared.clock.now().after(limit);
    loop {
        let answer = match shared.local_owner.load_full() {
            Some(own) => Some(own.queue(queue.clone()).await),
            None => match owner_link(shared).await {
                Some(link) => link.queue(queue.clone(), ATTEMPT_TIMEOUT).await,
                None => None,
            },
        };
        match answer {
            Some(QueueAnswer::Pending(n)) => return Some(n),
            Some(QueueAnswer::NotOwner) => shared.owner_unreachable.notify_one(),
            None => drop_link(shared),
        }
        if shared.clock.now() >= deadline {
            return None;
        }
        sleep(RETRY_DELAY).await;
    }
}

/// What the owner knows of a job, as far as it tells at once, and how long a new one waits; `None`
/// if no owner answers.
pub(crate) async fn standing(
    shared: &Arc<Shared>,
    id: JobId,
    service: ServiceName,
) -> Option<(Standing, Waits)> {
    if let Some(own) = shared.local_owner.load_full() {
        return own.standing(id, service).await;
    }
    let link = connected_link(shared)?;
    let answer = link.standing(id, service, ATTEMPT_TIMEOUT).await;
    if answer.is_none() {
        drop_link(shared);
    }
    answer
}

/// Hands a job to the owner if one is connected, within `limit`.
///
/// Nothing waits for a connection here: without the owner the front stores the job by itself.
pub(crate) async fn hand_in(shared: &Arc<Shared>, record: Bytes, limit: Duration) -> HandInAnswer {
    let limit = limit.min(shared.accept_rtt.limit());
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
        Some(_) => shared.accept_rtt.answered(took),
        None if took < limit => drop_link(shared),
        None => shared.accept_rtt.overdue(),
    }
    answer.unwrap_or(HandInAnswer::Unknown)
}

/// The connection to the owner; without one it begins to be made.
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

fn drop_link(shared: &Shared) {
    shared.owner_link.store(None);
    shared.owner_unreachable.notify_one();
}

async fn owner_link(shared: &Shared) -> Option<Arc<PeerLink>> {
    let owner = shared.owner.load_full()?;
    if owner.node == shared.settings.node {
        // This node owns the cell and is still taking it over.
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
