//! Which worker takes a task.
//!
//! Short work is packed: the fullest worker that has room takes it, so that others stay empty
//! and their instances can leave the pool. The tasks of one job stay in one failure domain. Lasting
//! work goes where lasting work is already, as
//! far as the step's spread allows. What fills is kept away from what serves users.

use cactuswheel_model::{Map, Set, Time};
use cactuswheel_work::{ServiceName, Step, WorkerEntry, WorkerId, ZoneName};

use crate::free_index::{FreeIndex, Scope};
use crate::worker::Worker;
use crate::workers::Workers;

/// Where the first task of a job is: its data centre and rack.
///
/// Failure: a data centre with a quarter of the workers is cut off for seconds. A job of eight
/// tasks that were placed wherever there was room has a task there nine times in ten, and waits
/// for it until its lease has run out. With its tasks in one data centre, and in one rack of it
/// as far as there is room, three jobs in four are not touched.
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

/// Where a task starts.
pub(crate) enum Placement {
    /// On this worker.
    At(WorkerId),
    /// Nowhere: no worker that may take it has room.
    NoFit,
    /// Nowhere yet, since it may take its worker down. This worker is to be kept free of other
    /// starts until it has outlived those that are there.
    Reserve(WorkerId),
    /// The same, and enough workers are reserved.
    Wait,
}

/// What is asked of a place.
#[derive(Debug)]
pub(crate) struct Constraints<'a> {
    pub(crate) step: &'a Step,
    /// Tasks of the step on each worker.
    pub(crate) per_worker: &'a Map<WorkerId, u32>,
    /// The task may take its worker down.
    pub(crate) suspect: bool,
    /// Worker on which the task failed.
    pub(crate) avoid: Option<&'a WorkerId>,
    /// Rack on which the rest of the step runs, where that matters.
    pub(crate) rack: Option<&'a str>,
    /// Where the job's other tasks are, if any runs.
    pub(crate) affinity: Option<&'a Affinity>,
    /// Workers that the queue's policy allows; `None` if it has none.
    pub(crate) allowed: Option<&'a [WorkerId]>,
    /// Workers on instances that are to be maintained before long.
    pub(crate) maintenance: &'a Set<WorkerId>,
    /// Whether the fullest worker goes first, or the emptiest.
    pub(crate) pack: bool,
}

/// The best worker of a service for a task, if any can take it.
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

/// The fullest worker where the task's data or its rack is, else by the job's other tasks, else
/// anywhere; one on which it failed comes last.
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
        near.map(Scope::Named),
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

fn first_match<'a>(
    workers: &'a Workers,
    free_index: &FreeIndex,
    scope: Scope<'_>,
    constraints: &Constraints<'_>,
    wanted: &impl Fn(&Worker) -> bool,
) -> Option<&'a Worker> {
    let need = constraints.step.reserved().cpu;
    let worker = |number| workers.at(number).filter(|w| wanted(w));
    match constraints.pack {
        true => free_index.fullest(scope, need).find_map(worker),
        false => free_index.emptiest(scope, need).find_map(worker),
    }
}

/// The worker where the least speaks against the task, all of them compared.
fn cheapest<'a>(
    workers: &'a Workers,
    free_index: &FreeIndex,
    constraints: &Constraints<'_>,
    now: Time,
) -> Option<&'a Worker> {
    let roomy = free_index.fullest(Scope::All, constraints.step.reserved().cpu);
    let fitting = roomy.filter_map(|n| workers.at(n));
    let fitting = fitting.filter(|w| fits(w, constraints, now));
    fitting.min_by_key(|w| cost(w, constraints))
}

pub(crate) fn fits(w: &Worker, constraints: &Constraints<'_>, now: Time) -> bool {
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
    step.reserved().fits(w.free())
        && w.is_open(now)
        && (constraints.suspect || !w.is_reserved(now))
        && (!w.health.is_on_trial() || w.held.is_empty())
        && step.label.as_ref().is_none_or(has_label)
        && spread_ok()
        && constraints.allowed.is_none_or(|a| a.contains(&w.id))
}

/// Whether the task's data, or the rack that its step has begun on, is elsewhere.
pub(crate) fn is_far(w: &Worker, constraints: &Constraints<'_>) -> bool {
    let near = constraints.rack.or(constraints.step.near.as_deref());
    let labels = w.entry.as_ref().map(|e| e.labels.as_slice());
    let here = |rack: &str| labels.is_some_and(|l| l.iter().any(|l| l == rack));
    near.is_some_and(|rack| !here(rack))
}

/// Lower is better; earlier parts decide.
type Cost = (bool, bool, bool, bool, std::cmp::Reverse<usize>, u64);

fn cost(w: &Worker, constraints: &Constraints<'_>) -> Cost {
    let step = constraints.step;
    let failed = constraints.avoid == Some(&w.id);
    let far = is_far(w, constraints);
    let disturbs = (step.filler && w.serving > 0) || (step.serves() && w.fillers > 0);
    // Failure: lasting work that leaves for a wave goes to an instance of the same wave, and has
    // to leave again; its budget lets one task move at a time, so the wave is late.
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
