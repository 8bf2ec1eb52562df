//! One round of scheduling: waiting tasks meet workers with room.

use cactuswheel_model::Map;
use cactuswheel_work::{JobId, ServiceName, Step, StepId, TaskId, WorkerId};

use crate::advice::Permitted;
use crate::batch::PlannedStart;
use crate::cell::Cell;
use crate::copy::{Copy, Phase};
use crate::job::Job;
use crate::learned::Learned;
use crate::place::{Candidate, Home, Wish, choose};
use crate::rank::{Rank, rank};
use crate::run_state::StepRun;
use crate::worker::Held;

/// Tasks without a place after which a round leaves a service: those behind seldom fit either.
const MISSES: usize = 24;

/// Tasks of a step that wait for a worker.
struct OpenStep {
    id: StepId,
    /// Index of the occurrence among those that were due.
    turn: usize,
    free: Vec<usize>,
}

/// A task and the worker that takes it.
struct Choice {
    task: TaskId,
    candidate: usize,
}

impl Cell {
    /// Finds places for waiting tasks, best jobs first.
    pub(crate) fn schedule(&mut self) {
        let waiting = self.waiting();
        for (service, mut jobs) in waiting {
            let mut candidates = self.candidates(&service);
            if candidates.is_empty() {
                continue;
            }
            jobs.sort_by_cached_key(|id| self.rank_of(*id));
            let mut misses = 0;
            for job in jobs {
                misses += self.place_job(job, &mut candidates);
                if misses >= MISSES {
                    break;
                }
            }
        }
    }

    fn rank_of(&self, id: JobId) -> Option<Rank> {
        self.jobs.get(&id).map(|job| self.rank(job))
    }

    /// The rank of a job now.
    pub(crate) fn rank(&self, job: &Job) -> Rank {
        let queue = self.config.queues.get(&job.sub.queue);
        let learned = self.learned.get(&job.sub.queue);
        let longer = learned.map_or(1.0, Learned::stretch);
        let rank = rank(job, queue, longer, self.now);
        match self.policy.begun {
            true => rank,
            false => rank.without_begun(),
        }
    }

    /// Jobs with a task that should run and has no run, by service.
    fn waiting(&self) -> Map<ServiceName, Vec<JobId>> {
        let mut found: Map<ServiceName, Vec<JobId>> = Map::default();
        for id in &self.open {
            let job = self.jobs.get(id).filter(|j| has_free_task(j));
            if let Some(job) = job {
                found.entry(self.service_of(job)).or_default().push(*id);
            }
        }
        found
    }

    /// Service whose workers run a job's tasks: as the queue says now, or as it last said.
    pub(crate) fn service_of(&self, job: &Job) -> ServiceName {
        let queue = self.config.queues.get(&job.sub.queue);
        queue.map_or_else(|| job.sub.service.clone(), |q| q.service.clone())
    }

    fn candidates(&self, service: &ServiceName) -> Vec<Candidate> {
        let open = self.workers.values().filter(|w| w.is_open(self.now));
        let here = open.filter_map(|w| Some((w, w.entry.as_ref()?)));
        let here = here.filter(|(_, e)| e.service == *service);
        here.map(|(w, entry)| Candidate {
            worker: w.id.clone(),
            free: w.free(),
            labels: entry.labels.clone(),
            zone: entry.zone.clone(),
            runs: w.held.len(),
            lasting: w.held.values().filter(|h| h.lasting).count(),
            serving: w.held.values().filter(|h| h.serves).count(),
            fillers: w.held.values().filter(|h| h.filler).count(),
            trial: w.health.is_on_trial(),
            due: w.due,
        })
        .collect()
    }

    /// Places what it can of a job; gives the number of tasks without a place.
    fn place_job(&mut self, id: JobId, candidates: &mut [Candidate]) -> usize {
        let Some(job) = self.jobs.get(&id) else {
            return 0;
        };
        let steps = job.sub.clone();
        let mut misses = 0;
        for turn in 0..job.turns.len() {
            for (number, step) in steps.steps.iter().enumerate() {
                misses += self.place_step(id, turn, number, step, candidates);
            }
        }
        misses
    }

    fn place_step(
        &mut self,
        id: JobId,
        turn: usize,
        number: usize,
        step: &Step,
        candidates: &mut [Candidate],
    ) -> usize {
        let Some(at) = self.open_step(id, turn, number, step) else {
            return 0;
        };
        let allowed = match self.permitted(at.id, candidates) {
            Permitted::Any => None,
            Permitted::Only(workers) => Some(workers),
            Permitted::Asked => return 0,
        };
        let (choices, misses) = self.choose_all(&at, step, allowed.as_deref(), candidates);
        if step.gang && choices.len() < step.count as usize {
            for choice in &choices {
                unreserve(&mut candidates[choice.candidate], step);
            }
            return misses.max(1);
        }
        for choice in choices {
            let worker = candidates[choice.candidate].worker.clone();
            self.plan(choice.task, step, worker);
        }
        misses
    }

    /// The tasks of a step that wait for a worker; `None` if there are none.
    fn open_step(&self, id: JobId, turn: usize, number: usize, step: &Step) -> Option<OpenStep> {
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
        (!free.is_empty()).then_some(OpenStep { id, turn, free })
    }

    /// Places for the step's tasks, and the number of tasks without one.
    fn choose_all(
        &self,
        at: &OpenStep,
        step: &Step,
        allowed: Option<&[WorkerId]>,
        candidates: &mut [Candidate],
    ) -> (Vec<Choice>, usize) {
        let mut choices = Vec::new();
        let Some(job) = self.jobs.get(&at.id.job) else {
            return (choices, 0);
        };
        let run = &job.turns[at.turn].steps[at.id.step as usize];
        let mut beside = beside(run);
        let mut rack = self.begun_rack(run, step);
        let mut home = self.home(job);
        let team = job.sub.team.as_ref();
        let mut used = team.map(|t| self.usage.of(t)).unwrap_or_default();
        let cap = team.and_then(|t| self.config.teams.get(t));
        let cap = cap.map(|t| t.cap).unwrap_or_default();
        for &index in &at.free {
            if !cap.admits(used, step.room) {
                // The team's limit says nothing about room: another team's tasks may fit.
                return (choices, 0);
            }
            let wish = Wish {
                step,
                beside: &beside,
                avoid: run.tasks[index].failed_on.as_ref(),
                rack: rack.as_deref(),
                home: home.as_ref().filter(|_| self.policy.home),
                allowed,
                pack: self.policy.pack,
            };
            let Some(candidate) = choose(candidates, &wish) else {
                return (choices, 1);
            };
            let taken = &mut candidates[candidate];
            reserve(taken, step);
            home.get_or_insert_with(|| Home::of(taken));
            used += step.room;
            *beside.entry(taken.worker.clone()).or_default() += 1;
            if step.tight && rack.is_none() {
                rack = taken.labels.get(1).cloned();
            }
            let task = TaskId {
                step: at.id,
                index: index as u32,
            };
            choices.push(Choice { task, candidate });
        }
        (choices, 0)
    }

    /// Where a job has a run already.
    fn home(&self, job: &Job) -> Option<Home> {
        let (_, copy) = job.copies().next()?;
        let entry = self.workers.get(&copy.worker)?.entry.as_ref()?;
        Some(Home {
            zone: entry.zone.clone(),
            rack: entry.rack().map(str::to_owned),
        })
    }

    /// Rack that a step which should stay on one rack has begun on.
    fn begun_rack(&self, run: &StepRun, step: &Step) -> Option<String> {
        if !step.tight {
            return None;
        }
        let copy = run.tasks.iter().flat_map(|t| &t.copies).next()?;
        let entry = self.workers.get(&copy.worker)?.entry.as_ref()?;
        entry.rack().map(str::to_owned)
    }

    /// Plans a run: it is ordered once the journal holds it.
    fn plan(&mut self, id: TaskId, step: &Step, worker: WorkerId) {
        let now = self.now;
        let Some(place) = self.workers.get_mut(&worker) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id.job()) else {
            return;
        };
        if !std::mem::replace(&mut job.begun, true) {
            let waited = now.since(job.arrived).as_millis() as u64;
            log::info!(
                job:% = id.job(), queue:% = job.sub.queue, waited_ms = waited,
                worker:% = worker, version = self.config.version;
                "job begins"
            );
        }
        let team = job.sub.team.clone();
        let Some(task) = job.task_mut(id) else {
            return;
        };
        task.run += 1;
        let run = task.run;
        let mut copy = Copy::new(worker.clone(), place.born, run, Phase::Planned, now);
        copy.fence = place.fence;
        task.copies.push(copy);
        place.hold(id, held(run, step));
        self.usage.add(team.as_ref(), step.room);
        self.dirty.insert(id.job());
        self.planned.push(PlannedStart {
            task: id,
            run,
            worker,
        });
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
pub(crate) fn beside(run: &StepRun) -> Map<WorkerId, u32> {
    let mut found: Map<WorkerId, u32> = Map::default();
    for copy in run.tasks.iter().flat_map(|t| &t.copies) {
        *found.entry(copy.worker.clone()).or_default() += 1;
    }
    found
}

fn reserve(c: &mut Candidate, step: &Step) {
    c.free -= step.reserved();
    c.runs += 1;
    c.lasting += usize::from(step.lasting);
    c.serving += usize::from(step.serves());
    c.fillers += usize::from(step.filler);
}

fn unreserve(c: &mut Candidate, step: &Step) {
    c.free += step.reserved();
    c.runs -= 1;
    c.lasting -= usize::from(step.lasting);
    c.serving -= usize::from(step.serves());
    c.fillers -= usize::from(step.filler);
}
