//! Selects a worker for a task.
//!
//! Short tasks are bin-packed: the fullest worker with enough room takes the task, so that other
//! workers stay empty and their instances can leave the pool. The tasks of one job stay in one
//! failure domain. Long-running tasks go to workers that already have long-running tasks, as far as
//! the step's spread limit allows. Filler (best-effort) tasks are kept away from tasks that serve
//! users.

use cactuswheel_model::{Map, Set, Time};
use cactuswheel_work::{Room, ServiceName, Step, StepId, WorkerEntry, WorkerId, ZoneName};

use crate::free_index::{FreeIndex, Scope};
use crate::worker::Worker;
use crate::workers::Workers;

/// Data centre and rack of a job's first task, which its other tasks prefer.
///
/// This limits the jobs that a network partition delays. Suppose that a data centre with a quarter
/// of the workers is cut off for seconds. If the eight tasks of a job are placed wherever there is
/// room, nine jobs in ten have a task there, and wait for it until its lease has expired. With all
/// tasks of a job in one data centre, and in one rack of it as far as there is room, three jobs in
/// four are not affected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Affinity {
    pub(crate) zone: ZoneName,
    pub(crate) rack: Option<String>,
}

impl Affinity {
    pub(crate) fn of(entry: &WorkerEntry) -> Self {
        Self {
            zone: entry.zone.clone(),
            rack: entry.rack().map(str::to_owned),
        }
    }
}

/// Result of placing a task.
pub(crate) enum Placement {
    /// The task starts on this worker.
    At(WorkerId),
    /// No eligible worker has enough room.
    NoFit,
    /// The task may crash its worker and cannot start yet. This worker is to be reserved: it gets
    /// no other starts until it has survived the starts of the runs that it has.
    Reserve(WorkerId),
    /// The task may crash its worker and cannot start yet, and no further worker is to be reserved.
    Wait,
}

/// Requirements and preferences for the worker of a task.
#[derive(Debug)]
pub(crate) struct Constraints<'a> {
    pub(crate) step: &'a Step,
    pub(crate) id: StepId,
    /// Number of tasks of the step on each worker.
    pub(crate) per_worker: &'a Map<WorkerId, u32>,
    /// Whether the task is suspected of crashing its worker.
    pub(crate) suspect: bool,
    /// Worker on which the task last failed; it is used only if no other worker fits.
    pub(crate) avoid: Option<&'a WorkerId>,
    /// Rack on which the rest of the step runs, if the step should stay on a single rack.
    pub(crate) rack: Option<&'a str>,
    /// Data centre and rack of the job's other tasks, if any of them runs.
    pub(crate) affinity: Option<&'a Affinity>,
    /// Workers that the queue's policy service permits; `None` if the queue has no policy service.
    pub(crate) allowed: Option<&'a [WorkerId]>,
    /// Workers on instances that are due for maintenance soon.
    pub(crate) maintenance: &'a Set<WorkerId>,
    /// Whether the fullest worker is preferred (bin packing) instead of the emptiest.
    pub(crate) pack: bool,
}

/// Returns the best worker of a service for a task, or `None` if no worker fits.
pub(crate) fn pick_worker(
    workers: &Workers,
    service: &ServiceName,
    constraints: &Constraints<'_>,
    now: Time,
) -> Option<WorkerId> {
    let free_index = workers.free_index(service)?;
    let step = constraints.step;
    let found = match step.lasting || step.filler || step.serves() {
        true => cheapest(workers, free_index, constraints, now),
        false => nearest(workers, free_index, constraints, now),
    };
    found.map(|w| w.id.clone())
}

/// Returns a worker as close as possible to the preferred location of a short task: first in the
/// rack of the step or of its data, then in the rack and the data centre of the job's other tasks,
/// then anywhere. The worker on which the task failed comes last. With packing, the fullest worker
/// of the scope is chosen.
fn nearest<'a>(
    workers: &'a Workers,
    free_index: &FreeIndex,
    constraints: &Constraints<'_>,
    now: Time,
) -> Option<&'a Worker> {
    let near = constraints.rack.or(constraints.step.near.as_deref());
    let affinity = constraints.affinity;
    let rack = affinity.and_then(|a| Some(Scope::Rack(&a.zone, a.rack.as_deref()?)));
    let scopes = [
        near.map(Scope::RackName),
        rack,
        affinity.map(|a| Scope::Zone(&a.zone)),
        Some(Scope::All),
    ];
    let acceptable = |w: &Worker| constraints.avoid != Some(&w.id) && fits(w, constraints, now);
    let mut scopes = scopes.into_iter().flatten();
    let found =
        scopes.find_map(|scope| first_match(workers, free_index, scope, constraints, &acceptable));
    found.or_else(|| {
        let failed = workers.get(constraints.avoid?)?;
        let any = |w: &Worker| w.id == failed.id && fits(w, constraints, now);
        first_match(workers, free_index, Scope::All, constraints, &any)
    })
}

/// Returns the first acceptable worker of a scope, the fullest or the emptiest first.
fn first_match<'a>(
    workers: &'a Workers,
    free_index: &FreeIndex,
    scope: Scope<'_>,
    constraints: &Constraints<'_>,
    wanted: &impl Fn(&Worker) -> bool,
) -> Option<&'a Worker> {
    let need = constraints.step.reserved().cpu;
    let worker = |number| workers.by_number(number).filter(|w| wanted(w));
    match constraints.pack {
        true => free_index.fullest(scope, need).find_map(worker),
        false => free_index.emptiest(scope, need).find_map(worker),
    }
}

/// Returns the worker with the lowest [`cost`] for the task, comparing all that fit.
fn cheapest<'a>(
    workers: &'a Workers,
    free_index: &FreeIndex,
    constraints: &Constraints<'_>,
    now: Time,
) -> Option<&'a Worker> {
    let roomy = free_index.fullest(Scope::All, constraints.step.reserved().cpu);
    let fitting = roomy.filter_map(|n| workers.by_number(n));
    let fitting = fitting.filter(|w| fits(w, constraints, now));
    fitting.min_by_key(|w| cost(w, constraints))
}

/// Whether a worker can take the task now: it has the room, the label and the permission, is open
/// for work, and is below the step's spread limit.
pub(crate) fn fits(w: &Worker, constraints: &Constraints<'_>, now: Time) -> bool {
    w.is_schedulable(now) && has_room(w, constraints, now)
}

/// Returns an unusable worker that is fit for a task but for its withheld end records.
///
/// Its lease is left to expire on the task, which then starts again. Without this, a task that no
/// other worker can run would wait until the instance is moved, and a fleet without a spare pool
/// has no place to move it to.
pub(crate) fn pick_redeemable(
    workers: &Workers,
    service: &ServiceName,
    constraints: &Constraints<'_>,
    now: Time,
) -> Option<WorkerId> {
    if constraints.step.gang {
        return None;
    }
    let mut spent = workers.spent().filter(|w| w.belongs_to(service));
    let found = spent.find(|w| w.is_redeemable(now) && has_room(w, constraints, now));
    found.map(|w| w.id.clone())
}

fn has_room(w: &Worker, constraints: &Constraints<'_>, now: Time) -> bool {
    let step = constraints.step;
    let labels = w.entry.as_ref().map(|e| e.labels.as_slice());
    let has_label = |label: &String| labels.is_some_and(|l| l.contains(label));
    let spread_ok = || {
        let per_worker = constraints
            .per_worker
            .get(&w.id)
            .copied()
            .unwrap_or_default();
        step.spread == 0 || per_worker < step.spread
    };
    step.reserved().fits(available(w, constraints, now))
        && (constraints.suspect || !w.is_reserved(now))
        && w.has_trial_slot()
        && step.label.as_ref().is_none_or(has_label)
        && spread_ok()
        && constraints.allowed.is_none_or(|a| a.contains(&w.id))
}

/// Room of a worker for the step. A hold keeps long-running tasks off no room: every second without
/// them is missing to their users.
fn available(w: &Worker, constraints: &Constraints<'_>, now: Time) -> Room {
    match constraints.step.lasting {
        true => w.free(),
        false => w.free_for(constraints.id, now),
    }
}

/// Whether the worker is not in the rack on which the task's step runs or its data is stored.
pub(crate) fn is_far(w: &Worker, constraints: &Constraints<'_>) -> bool {
    let near = constraints.rack.or(constraints.step.near.as_deref());
    let labels = w.entry.as_ref().map(|e| e.labels.as_slice());
    let here = |rack: &str| labels.is_some_and(|l| l.iter().any(|l| l == rack));
    near.is_some_and(|rack| !here(rack))
}

/// Cost of a worker for a task, compared lexicographically; lower is better.
type Cost = (bool, bool, bool, bool, std::cmp::Reverse<usize>, u64);

fn cost(w: &Worker, constraints: &Constraints<'_>) -> Cost {
    let step = constraints.step;
    let failed = constraints.avoid == Some(&w.id);
    let far = is_far(w, constraints);
    let disturbs = (step.filler && w.serving > 0) || (step.serves() && w.fillers > 0);
    // A long-running task that is evicted for a maintenance wave should not go to an instance of
    // the same wave. It would be evicted a second time there, and as the step's disruption budget
    // lets one task move at a time, the wave would be late.
    let evicted_again = step.lasting && constraints.maintenance.contains(&w.id);
    let lasting_runs = match step.lasting {
        true => w.lasting,
        false => 0,
    };
    let cpu_rank = match constraints.pack {
        true => w.free().cpu,
        false => u64::MAX - w.free().cpu,
    };
    let lasting_runs = std::cmp::Reverse(lasting_runs);
    (failed, far, disturbs, evicted_again, lasting_runs, cpu_rank)
}
