//! Asks the cell's owner, wherever it is.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use cactuswheel_cell::{Standing, StartDelay};
use cactuswheel_work::{JobId, QueueName, ServiceName};
use tokio::time::{sleep, timeout};

use crate::peer::{HandInAnswer, JobAnswer, OwnerLink, QueueAnswer};
use crate::shared::Shared;

/// Time for one answer of the owner. It answers from memory, so a longer silence is a lost
/// connection, and another one is worth the try.
const TRY_TIMEOUT: Duration = Duration::from_millis(350);

/// Pause before the owner is looked up again.
const PAUSE: Duration = Duration::from_millis(40);

/// What the owner says of a job; `None` if no owner answers within `limit`.
pub(crate) async fn job(shared: &Shared, id: JobId, limit: Duration) -> Option<JobAnswer> {
    let until = shared.clock.now().after(limit);
    loop {
        let answer = match shared.own.load_full() {
            Some(own) => Some(own.job(id).await),
            None => match link(shared).await {
                Some(link) => link.job(id, TRY_TIMEOUT).await,
                None => None,
            },
        };
        match answer {
            Some(JobAnswer::NotOwner) => shared.missed.notify_one(),
            Some(known) => return Some(known),
            None => lose_link(shared),
        }
        if shared.clock.now() >= until {
            return None;
        }
        sleep(PAUSE).await;
    }
}

/// Number of a queue's jobs that wait; `None` if no owner answers within `limit`.
pub(crate) async fn pending(shared: &Shared, queue: &QueueName, limit: Duration) -> Option<u64> {
    let until = shared.clock.now().after(limit);
    loop {
        let answer = match shared.own.load_full() {
            Some(own) => Some(own.queue(queue.clone()).await),
            None => match link(shared).await {
                Some(link) => link.queue(queue.clone(), TRY_TIMEOUT).await,
                None => None,
            },
        };
        match answer {
            Some(QueueAnswer::Pending(n)) => return Some(n),
            Some(QueueAnswer::NotOwner) => shared.missed.notify_one(),
            None => lose_link(shared),
        }
        if shared.clock.now() >= until {
            return None;
        }
        sleep(PAUSE).await;
    }
}

/// What the owner knows of a job, as far as it tells at once, and how long a new one waits; `None`
/// if no owner answers.
pub(crate) async fn standing(
    shared: &Arc<Shared>,
    id: JobId,
    service: ServiceName,
) -> Option<(Standing, StartDelay)> {
    if let Some(own) = shared.own.load_full() {
        return own.standing(id, service).await;
    }
    let link = link_at_hand(shared)?;
    let answer = link.standing(id, service, TRY_TIMEOUT).await;
    if answer.is_none() {
        lose_link(shared);
    }
    answer
}

/// Hands a job to the owner if one is connected, within `limit`.
///
/// Nothing waits for a connection here: without the owner the front stores the job by itself.
pub(crate) async fn hand_in(shared: &Arc<Shared>, record: Bytes, limit: Duration) -> HandInAnswer {
    let limit = limit.min(shared.hand_ins.limit());
    let origin = shared.settings.listen.peers;
    if let Some(own) = shared.own.load_full() {
        let answer = timeout(limit, own.hand_in(record, origin, limit)).await;
        return answer.unwrap_or(HandInAnswer::Unknown);
    }
    let Some(link) = link_at_hand(shared) else {
        return HandInAnswer::Refused;
    };
    let sent = shared.clock.now();
    let answer = link.hand_in(record, origin, limit).await;
    let took = shared.clock.now().since(sent);
    match answer {
        Some(_) => shared.hand_ins.answered(took),
        None if took < limit => lose_link(shared),
        None => shared.hand_ins.overdue(),
    }
    answer.unwrap_or(HandInAnswer::Unknown)
}

/// The connection to the owner; without one it begins to be made.
fn link_at_hand(shared: &Arc<Shared>) -> Option<Arc<OwnerLink>> {
    let owner = shared.owner.load_full()?;
    let known = shared.link.load_full().filter(|l| l.addr == owner.addr);
    let mine = owner.node == shared.settings.node;
    if known.is_none() && !mine && !shared.connecting.swap(true, Ordering::AcqRel) {
        let shared = shared.clone();
        tokio::spawn(async move {
            link(&shared).await;
            shared.connecting.store(false, Ordering::Release);
        });
    }
    known
}

fn lose_link(shared: &Shared) {
    shared.link.store(None);
    shared.missed.notify_one();
}

async fn link(shared: &Shared) -> Option<Arc<OwnerLink>> {
    let owner = shared.owner.load_full()?;
    if owner.node == shared.settings.node {
        // This node owns the cell and is still taking it over.
        return None;
    }
    if let Some(link) = shared.link.load_full().filter(|l| l.addr == owner.addr) {
        return Some(link);
    }
    let link = Arc::new(OwnerLink::connect(owner.addr).await?);
    shared.link.store(Some(link.clone()));
    Some(link)
}
