//! Where requests wait for a unit of their team and a slot of their pool.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cactuswheel_admission::{Concurrency, Queue, QueueRequest};
use cactuswheel_model::{Code, Map, PoolId, Refusal, Set, Share, TeamId, Time};
use cactuswheel_routing::Lease;
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use super::conns::Conns;
use super::held::{Charge, Permit};
use super::job::Job;
use super::slot::Slot;
use crate::shared::Shared;

/// Longest wait of a request whose team holds no unit here at all.
const UNITS_WAIT: Duration = Duration::from_secs(2);

/// Part of the usual run time for which there must be time left when a request gets its slot.
const RUN: f64 = 1.5;

/// When to come back if nothing better is known.
const RETRY: Duration = Duration::from_secs(1);

/// Time between two looks while requests wait, for slots that come free without a word.
const LOOK: Duration = Duration::from_millis(10);

/// One queue for each pool.
#[derive(Debug, Default)]
pub(crate) struct Lines {
    queues: Mutex<Map<PoolId, Queue<Waiter>>>,
    waiting: AtomicUsize,
    wake: Notify,
}

/// What a request starts with.
#[derive(Debug)]
pub(super) struct Grant {
    pub(super) permit: Permit,
    pub(super) slot: Slot,
}

#[derive(Debug)]
struct Waiter {
    share: Share,
    grant: oneshot::Sender<Grant>,
}

/// A place in a queue; given up when the caller goes.
struct Waiting<'a> {
    lines: &'a Lines,
    pool: &'a PoolId,
    team: &'a TeamId,
    id: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.lines.waiting.fetch_sub(1, Ordering::Relaxed);
        if let Some(queue) = self.lines.lock().get_mut(self.pool) {
            queue.cancel(self.team, self.id);
        }
    }
}

impl Lines {
    fn lock(&self) -> MutexGuard<'_, Map<PoolId, Queue<Waiter>>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Teams with requests that wait.
    pub(crate) fn waiting_teams(&self) -> Set<TeamId> {
        if self.waiting.load(Ordering::Relaxed) == 0 {
            return Set::default();
        }
        let queues = self.lock();
        let teams = queues.values().flat_map(Queue::teams);
        teams.cloned().collect()
    }

    /// Corrects teams' weights, in 1/1024.
    pub(crate) fn correct(&self, factors: &Map<TeamId, u32>) {
        let factor = |team: &TeamId| factors.get(team).copied().unwrap_or(1_024);
        self.lock().values_mut().for_each(|q| q.set_factors(factor));
    }

    /// Notes the end of a request.
    pub(super) fn ended(&self, team: &TeamId, charge: &Charge, took: Duration) {
        if let Some(queue) = self.lock().get_mut(&charge.pool) {
            queue.settle_charge(team, charge.paid, took);
        }
        self.freed();
    }

    /// Notes that a slot or a unit came free; whoever waits may start.
    pub(super) fn freed(&self) {
        if self.waiting.load(Ordering::Relaxed) > 0 {
            self.wake.notify_one();
        }
    }
}

/// Waits for a unit of the team and a slot of the pool.
pub(super) async fn enter(job: &Job) -> Result<Grant, Refusal> {
    let (lines, pool, team) = (&job.shared.lines, &job.service.pool, &job.team);
    let (until, late) = bounds(job);
    let (grant, mut answer) = oneshot::channel();
    let id = {
        let mut queues = lines.lock();
        if !queues.contains_key(pool) {
            queues.insert(pool.clone(), Queue::default());
        }
        let queue = queues.get_mut(pool).expect("it was just put in");
        // Whoever waits goes first.
        if queue.is_empty()
            && let Some(grant) = try_start(job, queue)?
        {
            return Ok(grant);
        }
        let now = job.shared.now();
        let place = QueueRequest {
            team: team.id.clone(),
            share: team.share,
            urgent: job.urgent,
            deadline: until,
        };
        let share = team.share;
        queue.push(now, place, room(job, now)?, Waiter { share, grant })?
    };
    lines.waiting.fetch_add(1, Ordering::Relaxed);
    let waiting = Waiting {
        lines,
        pool,
        team: &team.id,
        id,
    };
    lines.wake.notify_one();
    let left = until.since(job.shared.now());
    let granted = timeout(left, &mut answer).await;
    drop(waiting);
    match granted {
        Ok(Ok(grant)) => Ok(grant),
        // It may have come between the two.
        _ => answer
            .try_recv()
            .map_err(|_| Refusal::new(late).with_retry(RETRY)),
    }
}

/// How long a request may wait, and what it is told then.
fn bounds(job: &Job) -> (Time, Code) {
    let shared = &job.shared;
    let holder = shared.holder();
    let state = shared.state.load();
    let row = state.allotments().row(&job.team.id, holder.life());
    if row.is_some_and(|r| r.cap > 0) {
        return (last_start(job), Code::Deadline);
    }
    let code = match state.allotments().life(holder.life()) {
        Some(_) => Code::TeamLimit,
        None => Code::Fenced,
    };
    (job.deadline.min(shared.now().after(UNITS_WAIT)), code)
}

/// When a request has to start so that there is time to run.
///
/// Started later, most would run and be too late: their slot is lost, their outcome unknown.
fn last_start(job: &Job) -> Time {
    let now = job.shared.now();
    let latency = job.shared.routes.load().latency(&job.service.pool, now);
    now.after(job.left().saturating_sub(latency.mul_f64(RUN)))
}

fn try_start(job: &Job, queue: &mut Queue<Waiter>) -> Result<Option<Grant>, Refusal> {
    let (shared, team) = (&job.shared, &job.team);
    match shared.enter(&team.id) {
        Ok(()) => {}
        Err(e) if e.code == Code::TeamLimit || shared.holder().awaits_join() => return Ok(None),
        Err(e) => return Err(e.with_retry(RETRY)),
    }
    let Some(lease) = pick(shared, &job.service.pool) else {
        shared.holder().release(&team.id);
        return Ok(None);
    };
    let paid = queue.charge_start(&team.id, team.share);
    let permit = Permit::new(shared, &team.id, charge(shared, &job.service.pool, paid));
    let slot = Slot::new(lease, shared.clone());
    Ok(Some(Grant { permit, slot }))
}

/// A slot, not yet one whose end wakes the queue.
///
/// A slot that is taken for nobody and given back would wake the queue to take it again.
fn pick(shared: &Shared, pool: &PoolId) -> Option<Lease<Conns>> {
    let routes = shared.routes.load();
    routes.pick(pool, &[], shared.now(), rand::random()).ok()
}

fn charge(shared: &Shared, pool: &PoolId, paid: Duration) -> Charge {
    Charge {
        pool: pool.clone(),
        paid,
        start: shared.now(),
    }
}

/// What the estimate of a wait counts on.
fn room(job: &Job, now: Time) -> Result<Concurrency, Refusal> {
    let shared = &job.shared;
    let slots = shared.routes.load().usable(&job.service.pool, now);
    if slots == 0 {
        return Err(Refusal::new(Code::NoUpstream).with_retry(RETRY));
    }
    let holder = shared.holder();
    let state = shared.state.load();
    let row = state.allotments().row(&job.team.id, holder.life());
    Ok(Concurrency {
        slots,
        units: row.map_or(0, |r| r.cap),
    })
}

/// Starts what waits, as far as there is room, for as long as the task lives.
pub(crate) async fn serve(shared: Arc<Shared>) {
    let mut reached = shared.reached.subscribe();
    loop {
        let waiting = shared.lines.waiting.load(Ordering::Relaxed) > 0;
        tokio::select! {
            () = shared.lines.wake.notified() => {}
            // Units may have come.
            _ = reached.changed() => {}
            () = sleep(LOOK), if waiting => {}
        }
        start_all(&shared);
    }
}

fn start_all(shared: &Arc<Shared>) {
    let mut gone = Vec::new();
    let mut queues = shared.lines.lock();
    for (pool, queue) in queues.iter_mut().filter(|(_, q)| !q.is_empty()) {
        start_some(shared, pool, queue, &mut gone);
    }
    // Dropping a grant locks the queues again.
    drop(queues);
    drop(gone);
}

fn start_some(
    shared: &Arc<Shared>,
    pool: &PoolId,
    queue: &mut Queue<Waiter>,
    gone: &mut Vec<Grant>,
) {
    queue.begin_round(shared.now());
    while let Some(lease) = pick(shared, pool) {
        let Some((team, waiter)) = queue.pop(|team| shared.enter(team).is_ok()) else {
            return;
        };
        let paid = queue.charge_start(&team, waiter.share);
        let permit = Permit::new(shared, &team, charge(shared, pool, paid));
        let slot = Slot::new(lease, shared.clone());
        if let Err(grant) = waiter.grant.send(Grant { permit, slot }) {
            gone.push(grant);
        }
    }
}
