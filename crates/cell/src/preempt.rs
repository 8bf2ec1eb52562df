//! Preemption: stops runs for waiting work with a better rank, and holds the room for it.
//!
//! The decision is that of `cactuswheel-preemption`. It is taken only for a pool in which a job
//! that is timely and within its team's share found no room, at most once per interval, and looks
//! at a bounded number of jobs and workers. Holds and counts of preemptions are kept in memory: a
//! new owner knows of neither, and treats a run that was being stopped like any other.

use std::time::Duration;

use cactuswheel_model::{Map, Time};
use cactuswheel_preemption::{
    Budget, Candidate, Demand, Preemption, Returns, Snapshot, Victim, VictimClass, preempt,
};
use cactuswheel_work::{JobId, Room, ServiceName, Step, StepId, TaskId, WorkerId};

use crate::attempt::{Attempt, Phase};
use crate::cell::Cell;
use crate::demand::remaining;
use crate::forecast::{Forecast, SLOT_MS, SLOTS, fraction};
use crate::free_index::Scope;
use crate::job::Job;
use crate::learned::QueueStats;
use crate::rank::{Rank, rank_with};
use crate::remaining::Remaining;
use crate::worker::{Allocation, Hold, Worker};

/// Number of waiting jobs that a decision is taken for.
const MAX_JOBS: usize = 32;

/// Number of waiting jobs that are examined for those; bounds the cost of a decision.
const MAX_EXAMINED: usize = 512;

/// Time from the end of a stopped run until another can start in its room, in milliseconds: the
/// answer of a poll, and an append to the journal.
const START_DELAY_MS: u64 = 150;

/// Time for which room is held beyond the longest stop. It covers an answer to a poll that is lost
/// once; a worker that is silent for longer gets no new tasks anyway.
const HOLD_MARGIN: Duration = Duration::from_millis(600);

/// Interval between looks at the holds; an event does not have to look at them.
const HOLD_CHECK: Duration = Duration::from_millis(20);

/// Preemption in each pool.
#[derive(Debug, Default)]
pub(crate) struct Preemptors {
    pools: Map<ServiceName, Preemptor>,
    /// Workers with a hold.
    held: Vec<WorkerId>,
    /// When the holds were last looked at.
    checked: Time,
}

/// Preemption in one pool.
#[derive(Debug, Default)]
struct Preemptor {
    /// Time of the last decision.
    last: Option<Time>,
    budget: Budget,
}

/// The runs of the workers that a decision looks at.
#[derive(Default)]
struct Survey {
    candidates: Vec<Candidate>,
    /// Room of the runs that end by themselves, as long as they run.
    occupied: Forecast,
    /// Room of these runs now.
    used: Room,
    /// Processor capacity of the workers.
    cpu: u64,
    workers: u64,
    /// Why the runs of each job seen give way, if they do.
    classes: Map<JobId, Option<VictimClass>>,
}

impl Cell {
    /// Stops runs in the pool of a service for waiting jobs that are timely and within their team's
    /// share.
    pub(crate) fn preempt(&mut self, service: &ServiceName) {
        let (now, policy) = (self.now, self.policy.preempt.clone());
        let pool = self.preemptors.pools.get(service);
        let last = pool.and_then(|p| p.last);
        if !policy.enabled || last.is_some_and(|at| now.since(at) < policy.interval()) {
            return;
        }
        let pool = self.preemptors.pools.entry(service.clone()).or_default();
        pool.last = Some(now);
        let demands = self.demands(service);
        if demands.is_empty() {
            return;
        }
        let survey = self.survey(service);
        let size = self.workers.free_index(service).map_or(0, |i| i.len());
        let pool = self.preemptors.pools.entry(service.clone()).or_default();
        let cpu = survey.cpu * size as u64 / survey.workers.max(1);
        pool.budget.refill(&policy, cpu, now);
        let snapshot = Snapshot {
            demands,
            returns: survey.returns(size as u64),
            candidates: survey.candidates,
            stop_ms: self.bounds.stop_time.get() + START_DELAY_MS,
        };
        for chosen in preempt(&snapshot, &mut pool.budget) {
            self.carry_out(chosen, &snapshot);
        }
    }

    /// Jobs for which runs were stopped, and for which the room is free now.
    pub(crate) fn ready_holds(&self, service: &ServiceName) -> Vec<JobId> {
        let held = self.preemptors.held.iter();
        let held = held.filter_map(|id| self.workers.get(id));
        let held = held.filter(|w| w.belongs_to(service));
        let holds = held.filter_map(|w| Some((w, w.hold?)));
        let ready = holds.filter(|(w, hold)| hold.room.fits(w.free()));
        let mut jobs: Vec<JobId> = ready.map(|(_, hold)| hold.step.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        jobs
    }

    /// Ends the hold on a worker once a task of the step starts there.
    pub(crate) fn release_hold(&mut self, id: &WorkerId, step: StepId) {
        let held = self.workers.get(id).and_then(|w| w.hold);
        if held.is_some_and(|h| h.step == step)
            && let Some(worker) = self.workers.get_mut(id)
        {
            worker.hold = None;
            self.preemptors.held.retain(|w| w != id);
        }
    }

    /// Ends the holds that are over or whose step has no waiting task; returns whether there were
    /// any.
    pub(crate) fn release_holds(&mut self) -> bool {
        if self.now.since(self.preemptors.checked) < HOLD_CHECK {
            return false;
        }
        self.preemptors.checked = self.now;
        let held = std::mem::take(&mut self.preemptors.held);
        let before = held.len();
        for id in held {
            let hold = self.workers.get(&id).and_then(|w| w.hold);
            match hold.is_some_and(|h| h.until > self.now && self.is_waiting(h.step)) {
                true => self.preemptors.held.push(id),
                false => {
                    if let Some(worker) = self.workers.get_mut(&id) {
                        worker.hold = None;
                    }
                }
            }
        }
        self.preemptors.held.len() < before
    }

    /// Whether a task of the step waits for a worker.
    pub(crate) fn is_waiting(&self, step: StepId) -> bool {
        let job = self.jobs.get(&step.job).filter(|j| j.is_open());
        let run = job.and_then(|j| j.step_run(TaskId { step, index: 0 }));
        run.is_some_and(|r| r.tasks.iter().any(|t| t.is_pending()))
    }

    /// The first waiting steps of a service that are timely and within their team's share.
    fn demands(&self, service: &ServiceName) -> Vec<Demand> {
        let mut found = Vec::new();
        let mut left = Remaining::default();
        let mut last = Some((Rank::LAST_LASTING, JobId::new(u64::MAX)));
        let mut jobs = 0;
        for _ in 0..MAX_EXAMINED {
            let Some((rank, id)) = self.wait_queue.next(service, last) else {
                break;
            };
            last = Some((rank, id));
            let Some(latest) = rank.latest_start() else {
                break;
            };
            let Some(job) = self.jobs.get(&id).filter(|j| j.is_open()) else {
                continue;
            };
            let before = found.len();
            for turn in 0..job.turns.len() {
                for (number, step) in job.sub.steps.iter().enumerate() {
                    let demand = self.demand(job, (turn, number), step, latest, &mut left);
                    found.extend(demand);
                }
            }
            jobs += usize::from(found.len() > before);
            if jobs == MAX_JOBS {
                break;
            }
        }
        found
    }

    /// The demand of a step's waiting tasks. `None` if there are none, if the team's quota does not
    /// let all of them start, or if not every worker may run them.
    fn demand(
        &self,
        job: &Job,
        (turn, number): (usize, usize),
        step: &Step,
        latest: Time,
        left: &mut Remaining,
    ) -> Option<Demand> {
        let pending = self.pending_step(job.sub.job, turn, number, step)?;
        let queue = self.config.queues.get(&job.sub.queue)?;
        let tasks = &job.turns[turn].steps[number].tasks;
        let suspect = pending.free.iter().any(|i| tasks[*i].is_suspect());
        if queue.advice.is_some() || suspect || !is_plain(step) {
            return None;
        }
        let free = pending.free.len() as u64;
        if self.startable(job, step, free, left) < free {
            return None;
        }
        let held = self.preemptors.held.iter();
        let held = held.filter_map(|id| self.workers.get(id)?.hold);
        let held = held.filter(|h| h.step == pending.id).count() as u64;
        Some(Demand {
            step: pending.id,
            room: step.reserved(),
            tasks: free.saturating_sub(held),
            slack_ms: latest.since(self.now).as_millis() as u64,
            run_ms: self.run_time(job, step),
            priority: queue.priority,
        })
    }

    /// Expected run time of a step's tasks, in milliseconds.
    fn run_time(&self, job: &Job, step: &Step) -> u64 {
        let learned = self.queue_stats.get(&job.sub.queue);
        learned.map_or(step.estimate.get(), |l: &QueueStats| {
            l.run_time(step.estimate)
        })
    }

    /// Collects the runs of the emptiest workers of a service.
    fn survey(&self, service: &ServiceName) -> Survey {
        let mut survey = Survey::default();
        let Some(index) = self.workers.free_index(service) else {
            return survey;
        };
        let most = self.policy.preempt.workers as usize;
        let workers = index.emptiest(Scope::All, 0).take(most);
        for worker in workers.filter_map(|n| self.workers.by_number(n)) {
            self.survey_worker(worker, &mut survey);
        }
        survey
    }

    fn survey_worker(&self, worker: &Worker, survey: &mut Survey) {
        let now = self.now;
        survey.workers += 1;
        survey.cpu += worker.entry.as_ref().map_or(0, |e| e.room.cpu);
        let mut victims = Vec::new();
        for (task, allocation) in worker.allocations.iter().filter(|(_, a)| !a.lasting) {
            let attempt = self.attempt(*task, allocation.run, &worker.id);
            let (Some(job), Some(attempt)) = (self.jobs.get(&task.job()), attempt) else {
                continue;
            };
            let Some(step) = job.step(*task) else {
                continue;
            };
            let left_ms = remaining(attempt, self.run_time(job, step), now.get());
            survey.used += allocation.room;
            survey.occupied.add(allocation.room, 0, left_ms);
            let class = survey.classes.entry(job.sub.job);
            let Some(class) = *class.or_insert_with(|| self.victim_class(job)) else {
                continue;
            };
            victims.extend(self.victim(job, (*task, class), allocation, attempt, left_ms));
        }
        let usable = worker.is_schedulable(now)
            && !worker.is_reserved(now)
            && !worker.health.is_recovering()
            && !worker.is_overcommitted()
            && worker.hold.is_none();
        if usable && !victims.is_empty() {
            survey.candidates.push(Candidate {
                worker: worker.id.clone(),
                free: worker.free(),
                victims,
            });
        }
    }

    /// The run as one that may be stopped; `None` if it may not.
    fn victim(
        &self,
        job: &Job,
        (task, class): (TaskId, VictimClass),
        allocation: &Allocation,
        attempt: &Attempt,
        left_ms: u64,
    ) -> Option<Victim> {
        let policy = &self.policy.preempt;
        let step = job.step(task)?;
        let state = job.task(task)?;
        let stoppable = job.is_open()
            && attempt.phase == Phase::Running
            && !step.gang
            && !step.speculative
            && !step.filler
            && !step.serves()
            && state.preempted < policy.stops_per_task
            && (class != VictimClass::OverShare || policy.over_share);
        // A stop makes the run save its progress, if it can.
        let lost_ms = match step.resumable {
            true => 0,
            false => self.now.since(attempt.started).as_millis() as u64,
        };
        let queue = self.config.queues.get(&job.sub.queue);
        stoppable.then_some(Victim {
            task,
            run: attempt.run,
            room: allocation.room,
            class,
            priority: queue.map_or(u32::MAX, |q| q.priority),
            lost: allocation.room.cpu * lost_ms,
            left_ms,
        })
    }

    /// Why the runs of a job give way, if they do.
    ///
    /// Unlike the rank of waiting work, it goes by the progress of the job's runs: a job whose last
    /// tasks started in time would else count as late while they run.
    fn victim_class(&self, job: &Job) -> Option<VictimClass> {
        let queue = self.config.queues.get(&job.sub.queue);
        let learned = self.queue_stats.get(&job.sub.queue);
        let slowdown = learned.map_or(1.0, QueueStats::slowdown);
        let remaining = self.remaining_time(job, slowdown);
        let (rank, _) = rank_with(job, queue, slowdown, remaining, self.now);
        rank.victim_class()
    }

    /// Expected time until a job is done if its waiting tasks start now, in milliseconds.
    fn remaining_time(&self, job: &Job, slowdown: f64) -> f64 {
        let steps = job.turns.iter().flat_map(|t| t.steps.iter().enumerate());
        let open = steps.filter(|(_, run)| !run.is_done());
        let times = open.map(|(i, run)| {
            let step = &job.sub.steps[i];
            if run.tasks.iter().any(|t| t.is_pending()) {
                return job.tails[i] as f64 * slowdown;
            }
            let run_time = self.run_time(job, step);
            let attempts = run.tasks.iter().flat_map(|t| &t.attempts);
            let left = attempts.map(|a| remaining(a, run_time, self.now.get()));
            let later = job.tails[i].saturating_sub(step.estimate.get());
            left.max().unwrap_or_default() as f64 + later as f64 * slowdown
        });
        times.fold(0.0, f64::max)
    }

    /// Holds the room on a worker, and stops the runs there.
    fn carry_out(&mut self, chosen: Preemption, snapshot: &Snapshot) {
        let now = self.now;
        let demand = snapshot.demands.iter().find(|d| d.step == chosen.step);
        let slack_ms = demand.map_or(0, |d| d.slack_ms);
        let Some(worker) = self.workers.get_mut(&chosen.worker) else {
            return;
        };
        let stop_time = self.bounds.stop_time.duration();
        worker.hold = Some(Hold {
            step: chosen.step,
            room: chosen.room,
            until: now.after(stop_time + HOLD_MARGIN),
        });
        let listed_ms = now.since(worker.last_alive).as_millis() as u64;
        self.preemptors.held.push(chosen.worker.clone());
        for victim in chosen.victims {
            let core_ms = victim.lost / 1_000;
            log::info!(
                job:% = victim.task.job(), task:% = victim.task, run = victim.run,
                worker:% = chosen.worker, class = victim.class.name(), lost_core_ms = core_ms,
                left_ms = victim.left_ms, listed_ms = listed_ms, for_job:% = chosen.step.job,
                slack_ms = slack_ms;
                "run preempted"
            );
            self.tallies.runs_preempted += 1;
            self.tallies.preempted_work += core_ms;
            let job = self.jobs.get_mut_untracked(&victim.task.job());
            if let Some(state) = job.and_then(|j| j.task_mut(victim.task)) {
                state.preempted += 1;
            }
            self.stop(victim.task, victim.run, &chosen.worker);
        }
    }
}

impl Survey {
    /// Room that returns by itself in a pool of `size` workers, going by those in the survey.
    fn returns(&self, size: u64) -> Returns {
        let whole = |room: Room| fraction(room, size, self.workers.max(1));
        let slots = (0..SLOTS).map(|slot| whole(self.used - self.occupied.at(slot)));
        Returns {
            slot_ms: SLOT_MS,
            slots: slots.collect(),
        }
    }
}

/// Whether every worker with enough room may run the step's tasks, each on its own.
fn is_plain(step: &Step) -> bool {
    let bound = step.label.is_some() || step.spread > 0 || step.tight;
    !bound && !step.gang && !step.lasting && !step.filler
}
