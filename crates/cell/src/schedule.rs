//! A scheduling cycle: waiting tasks meet workers with room.

use std::time::Duration;

use cactuswheel_model::{Map, Time};
use cactuswheel_work::{Cap, JobId, Room, ServiceName, Step, StepId, WorkerId};

use crate::advice::Permitted;
use crate::attempt::{Attempt, Phase};
use crate::batch::PlannedStart;
use crate::cell::Cell;
use crate::choices::{Choice, Choices};
use crate::finished::Redone;
use crate::job::Job;
use crate::learned::QueueStats;
use crate::place::{Affinity, Constraints, Placement, pick_worker};
use crate::rank::{Rank, rank};
use crate::run_state::StepRun;
use crate::wait_queue::QueuedJob;
use crate::worker::Held;

/// Tasks without a place after which a round leaves a service: those behind seldom fit either.
const MAX_MISSES: usize = 24;

/// Longest time for which a rank is believed: what is learnt of run times shifts it.
const RANK_TTL: Duration = Duration::from_millis(500);

/// Tasks of a step that wait for a worker.
struct PendingStep {
    id: StepId,
    /// Index of the occurrence among those that were due.
    turn: usize,
    free: Vec<usize>,
}

/// Tasks of one round that found no place.
#[derive(Default)]
struct Misses {
    count: usize,
    /// Room that no worker of the service has.
    too_large: Vec<Room>,
}

impl Misses {
    /// A task found no place; `room` if no worker has that much.
    fn add(&mut self, room: Option<Room>) {
        self.count += 1;
        self.too_large.extend(room);
    }

    /// Whether a task that asks for this much cannot have a place either.
    fn covers(&self, room: Room) -> bool {
        self.too_large.iter().any(|missed| missed.fits(room))
    }
}

impl Cell {
    /// Finds places for waiting tasks, best jobs first.
    pub(crate) fn schedule(&mut self) {
        self.settle();
        for service in self.wait_queue.services() {
            if self.workers.free_index(&service).is_some() {
                self.schedule_service(&service);
            }
        }
    }

    /// Finds places on the workers of one service.
    fn schedule_service(&mut self, service: &ServiceName) {
        let mut misses = Misses::default();
        let mut last = None;
        while let Some(next) = self.wait_queue.next(service, last) {
            last = Some(next);
            self.place_job(next.1, service, &mut misses);
            if misses.count >= MAX_MISSES {
                return;
            }
        }
    }

    /// The rank of a job now, and until when it holds.
    pub(crate) fn rank(&self, job: &Job) -> (Rank, Time) {
        let queue = self.config.queues.get(&job.sub.queue);
        let learned = self.learned.get(&job.sub.queue);
        let factor = learned.map_or(1.0, QueueStats::slowdown);
        let (rank, until) = rank(job, queue, factor, self.now);
        match self.policy.begun {
            true => (rank, until),
            false => (rank.ignoring_started(), until),
        }
    }

    /// A job's place in its queue; `None` if no task of it waits for a worker.
    pub(crate) fn queue_entry(&self, job: &Job) -> Option<QueuedJob> {
        if !job.is_open() || !has_free_task(job) {
            return None;
        }
        let (rank, until) = self.rank(job);
        let (tasks, work) = free_work(job, self.admission.largest_worker);
        Some(QueuedJob {
            service: self.service_of(job),
            rank,
            valid_until: until.min(self.now.after(RANK_TTL)),
            work,
            tasks,
        })
    }

    /// Service whose workers run a job's tasks: as the queue says now, or as it last said.
    pub(crate) fn service_of(&self, job: &Job) -> ServiceName {
        let queue = self.config.queues.get(&job.sub.queue);
        queue.map_or_else(|| job.sub.service.clone(), |q| q.service.clone())
    }

    /// Places what it can of a job.
    fn place_job(&mut self, id: JobId, service: &ServiceName, misses: &mut Misses) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let (sub, turns) = (job.sub.clone(), job.turns.len());
        for turn in 0..turns {
            for (number, step) in sub.steps.iter().enumerate() {
                self.place_step((id, turn, number), step, service, misses);
            }
        }
    }

    fn place_step(
        &mut self,
        (id, turn, number): (JobId, usize, usize),
        step: &Step,
        service: &ServiceName,
        misses: &mut Misses,
    ) {
        let Some(pending) = self.pending_step(id, turn, number, step) else {
            return;
        };
        let allowed = match self.permitted(pending.id, service) {
            Permitted::Any => None,
            Permitted::Only(workers) => Some(workers),
            Permitted::Pending => return,
        };
        let choices = self.pick_workers(&pending, step, service, allowed.as_deref(), misses);
        if step.gang && choices.len() < step.count as usize {
            for choice in &choices {
                self.workers.let_go(&choice.worker, choice.task, choice.run);
            }
            return;
        }
        for choice in choices {
            self.plan(choice, step);
        }
    }

    /// The tasks of a step that wait for a worker; `None` if there are none.
    fn pending_step(
        &self,
        id: JobId,
        turn: usize,
        number: usize,
        step: &Step,
    ) -> Option<PendingStep> {
        let job = self.jobs.get(&id)?;
        let at = &job.turns[turn];
        if !at.is_ready(step) || at.steps[number].is_done() {
            return None;
        }
        let free = free_tasks(&at.steps[number], step);
        let id = StepId {
            job: id,
            turn: at.number,
            step: number as u32,
        };
        (!free.is_empty()).then_some(PendingStep { id, turn, free })
    }

    /// Places for the step's tasks, until one has none.
    fn pick_workers(
        &mut self,
        pending: &PendingStep,
        step: &Step,
        service: &ServiceName,
        allowed: Option<&[WorkerId]>,
        misses: &mut Misses,
    ) -> Vec<Choice> {
        let Some(job) = self.jobs.get(&pending.id.job) else {
            return Vec::new();
        };
        let run = &job.turns[pending.turn].steps[pending.id.step as usize];
        let mut chosen = self.new_choices(job, run, step);
        // What no worker has room for, none has for the rest either.
        let unconstrained = allowed.is_none() && step.label.is_none() && step.spread == 0;
        for &index in &pending.free {
            if !chosen.cap.admits(chosen.used, step.room) {
                // The team's limit says nothing about room: another team's tasks may fit.
                break;
            }
            // A gang starts at once on several workers.
            let suspect = run.tasks[index].is_suspect() && !step.gang;
            if !suspect && unconstrained && misses.covers(step.reserved()) {
                misses.add(None);
                break;
            }
            let constraints = Constraints {
                step,
                per_worker: &chosen.per_worker,
                suspect,
                avoid: run.tasks[index].failed_on.as_ref(),
                rack: chosen.rack.as_deref(),
                affinity: chosen.affinity.as_ref().filter(|_| self.policy.home),
                allowed,
                maintenance: &self.due,
                pack: self.policy.pack,
            };
            let worker = match self.place(service, &constraints) {
                Placement::At(worker) => worker,
                // These say nothing of room for other tasks.
                Placement::Wait => continue,
                Placement::Reserve(worker) => {
                    self.workers.reserve(&worker, self.now);
                    continue;
                }
                Placement::NoFit => {
                    misses.add(unconstrained.then(|| step.reserved()));
                    break;
                }
            };
            if suspect {
                self.workers.reserve(&worker, self.now);
            }
            let choice = Choice::new(pending.id, index, &run.tasks[index], worker);
            self.workers
                .hold(&choice.worker, choice.task, held(choice.run, step));
            let place = self.workers.get(&choice.worker);
            chosen.add(choice, step, place.and_then(|w| w.entry.as_ref()));
        }
        chosen.made
    }

    fn new_choices(&self, job: &Job, run: &StepRun, step: &Step) -> Choices {
        let (used, cap) = self.quota(job);
        Choices {
            made: Vec::new(),
            per_worker: match step.spread {
                0 => Map::default(),
                _ => attempts_by_worker(run),
            },
            rack: self.current_rack(run, step),
            affinity: self.affinity(job),
            used,
            cap,
        }
    }

    fn place(&self, service: &ServiceName, constraints: &Constraints<'_>) -> Placement {
        if constraints.suspect {
            return self.place_suspect(service, constraints);
        }
        let worker = pick_worker(&self.workers, service, constraints, self.now);
        worker.map_or(Placement::NoFit, Placement::At)
    }

    /// What a job's team has running, and its limit.
    fn quota(&self, job: &Job) -> (Room, Cap) {
        let team = job.sub.team.as_ref();
        let used = team.map(|t| self.usage.of(t)).unwrap_or_default();
        let cap = team.and_then(|t| self.config.teams.get(t));
        (used, cap.map(|t| t.cap).unwrap_or_default())
    }

    /// Where a job has a run already.
    fn affinity(&self, job: &Job) -> Option<Affinity> {
        let (_, attempt) = job.attempts().next()?;
        let entry = self.workers.get(&attempt.worker)?.entry.as_ref()?;
        Some(Affinity::of(entry))
    }

    /// Rack that a step which should stay on one rack has begun on.
    fn current_rack(&self, run: &StepRun, step: &Step) -> Option<String> {
        if !step.tight {
            return None;
        }
        let attempt = run.tasks.iter().flat_map(|t| &t.attempts).next()?;
        let entry = self.workers.get(&attempt.worker)?.entry.as_ref()?;
        entry.rack().map(str::to_owned)
    }

    /// Plans a run: it is ordered once the journal holds it.
    fn plan(&mut self, choice: Choice, step: &Step) {
        let now = self.now;
        let Choice { task, run, worker } = choice;
        let Some(place) = self.workers.get(&worker) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job()) else {
            return;
        };
        if !std::mem::replace(&mut job.ever_planned, true) {
            let waited = now.since(job.arrived).as_millis() as u64;
            log::info!(
                job:% = task.job(), queue:% = job.sub.queue, waited_ms = waited,
                worker:% = worker, version = self.config.version;
                "job begins"
            );
        }
        let sub = job.sub.clone();
        let Some(state) = job.task_mut(task) else {
            return;
        };
        state.run = run;
        let given_up = std::mem::take(&mut state.given_up);
        let suspect = state.is_suspect() && !step.gang;
        let mut attempt = Attempt::new(worker.clone(), place.born, run, Phase::Planned, now);
        attempt.fence = place.fence;
        state.attempts.push(attempt);
        if given_up {
            job.redone.push(Redone { task, run });
        }
        if suspect {
            self.begin_trial(&worker, task);
        }
        self.usage.add(sub.team.as_ref(), step.room);
        self.dirty.insert(task.job());
        self.planned.push(PlannedStart { task, run, worker });
    }
}

pub(crate) fn held(run: u32, step: &Step) -> Held {
    Held {
        run,
        room: step.reserved(),
        lasting: step.lasting,
        serves: step.serves(),
        filler: step.filler,
    }
}

fn has_free_task(job: &Job) -> bool {
    job.turns.iter().any(|turn| {
        let steps = turn.steps.iter().zip(job.sub.steps.iter());
        let mut open = steps.filter(|(run, step)| !run.is_done() && turn.is_ready(step));
        open.any(|(run, _)| run.tasks.iter().any(|t| t.is_free()))
    })
}

/// Tasks of a job that have no run, and their work in thousandths of a core times milliseconds.
///
/// What no worker can ever hold waits for nothing, and keeps nobody waiting.
fn free_work(job: &Job, largest_worker: Room) -> (u64, u64) {
    let steps = job.turns.iter();
    let steps = steps.flat_map(|turn| turn.steps.iter().zip(job.sub.steps.iter()));
    let steps = steps.filter(|(_, step)| step.reserved().fits(largest_worker));
    steps.fold((0, 0), |(tasks, work), (run, step)| {
        let free = run.tasks.iter().filter(|t| t.is_free()).count() as u64;
        let each = step.room.cpu * step.estimate.get();
        (tasks + free, work + free * each)
    })
}

fn free_tasks(run: &StepRun, step: &Step) -> Vec<usize> {
    let free = run.tasks.iter().enumerate().filter(|(_, t)| t.is_free());
    let free: Vec<usize> = free.map(|(i, _)| i).collect();
    match step.gang && free.len() < run.tasks.len() {
        // A gang starts whole: its last run has to be over first.
        true => Vec::new(),
        false => free,
    }
}

/// Runs of a step on each worker.
pub(crate) fn attempts_by_worker(run: &StepRun) -> Map<WorkerId, u32> {
    let mut found: Map<WorkerId, u32> = Map::default();
    for attempt in run.tasks.iter().flat_map(|t| &t.attempts) {
        *found.entry(attempt.worker.clone()).or_default() += 1;
    }
    found
}
