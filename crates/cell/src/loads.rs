//! What the cell tells those who decide about instances.

use cactuswheel_model::Map;
use cactuswheel_work::{JobId, JobState, QueueName, Room, ServiceName, Step, TeamName, WorkerId};

use crate::cell::Cell;
use crate::finished::FinishedJob;
use crate::job::Job;
use crate::view::{JobView, Load, RunView, WorkerView};

impl Cell {
    /// What each service has to do.
    pub fn loads(&self) -> Map<ServiceName, Load> {
        let mut loads: Map<ServiceName, Load> = Map::default();
        for queue in self.config.queues.values() {
            loads.entry(queue.service.clone()).or_default().queues += 1;
        }
        for (name, learned) in &self.learned {
            let Some(queue) = self.config.queues.get(name) else {
                continue;
            };
            let load = loads.entry(queue.service.clone()).or_default();
            load.arrivals.insert(name.clone(), learned.arrivals.clone());
        }
        for worker in self.workers.values() {
            if let Some(entry) = &worker.entry {
                loads.entry(entry.service.clone()).or_default().used += worker.used;
            }
        }
        let mut left = Map::default();
        for job in self.open.iter().filter_map(|id| self.jobs.get(id)) {
            let load = loads.entry(self.service_of(job)).or_default();
            self.add_waiting(job, load, &mut left);
        }
        loads
    }

    /// Adds what a job's tasks ask for, as far as its team's limit lets them start.
    fn add_waiting(&self, job: &Job, load: &mut Load, left: &mut Map<TeamName, Room>) {
        if !job.sub.lasting() {
            return self.add_forecast(job, load, left);
        }
        for turn in &job.turns {
            for (run, step) in turn.steps.iter().zip(job.sub.steps.iter()) {
                if run.is_done() || !turn.is_ready(step) {
                    continue;
                }
                load.lasting += step.reserved() * u64::from(step.count);
                load.spread = load.spread.max(spread(step));
                let free = run.tasks.iter().filter(|t| t.is_free()).count() as u64;
                let free = self.startable(job, step, free, left);
                load.waiting += step.reserved() * free;
            }
        }
    }

    /// How many of a step's `free` tasks the team's limit lets start.
    pub(crate) fn startable(
        &self,
        job: &Job,
        step: &Step,
        free: u64,
        left: &mut Map<TeamName, Room>,
    ) -> u64 {
        let Some(team) = &job.sub.team else {
            return free;
        };
        let Some(cap) = self.config.teams.get(team).map(|t| t.cap.0) else {
            return free;
        };
        if cap.cpu == 0 {
            return free;
        }
        let used = self.usage.of(team);
        let left = left.entry(team.clone()).or_insert(cap - used);
        let tasks = left.cpu / step.room.cpu.max(1);
        let tasks = tasks.min(free);
        *left -= step.room * tasks;
        tasks
    }

    /// The workers that are known.
    pub fn workers(&self) -> Map<WorkerId, WorkerView> {
        let listed = self.workers.values();
        let listed = listed.filter_map(|w| Some((w, w.entry.as_ref()?)));
        let views = listed.map(|(w, entry)| {
            let view = WorkerView {
                worker: w.id.clone(),
                service: entry.service.clone(),
                open: w.is_open(self.now) || w.is_full(self.now),
                closing: (w.closing || w.is_spent() || w.evacuated) && w.answers(),
                evacuated: w.evacuated,
                spent: w.is_spent(),
                room: entry.room,
                used: w.used,
                lasting: w.lasting,
                runs: w.held.len(),
            };
            (w.id.clone(), view)
        });
        views.collect()
    }

    /// A job, for operators; `None` if there is no such job.
    pub fn job(&self, id: JobId) -> Option<JobView> {
        if let Some(kept) = self.finished.get(&id) {
            return Some(self.finished_view(kept));
        }
        let job = self.jobs.get(&id)?;
        let steps = job.turns.iter().flat_map(|t| &t.steps);
        let tasks: Vec<_> = steps.flat_map(|s| &s.tasks).collect();
        let runs = job.attempts().map(|(task, attempt)| RunView {
            task,
            worker: attempt.worker.clone(),
            run: attempt.run,
            phase: format!("{:?}", attempt.phase).to_lowercase(),
            percent: attempt.percent,
        });
        Some(JobView {
            queue: job.sub.queue.clone(),
            state: job.reported_state(),
            age: self.now.since(job.arrived),
            done: tasks.iter().filter(|t| t.done).count(),
            waiting: tasks.iter().filter(|t| t.is_free()).count(),
            runs: runs.collect(),
        })
    }

    fn finished_view(&self, kept: &FinishedJob) -> JobView {
        JobView {
            queue: kept.job.queue.clone(),
            state: kept.job.state,
            age: self.now.since(kept.ended),
            done: 0,
            waiting: 0,
            runs: Vec::new(),
        }
    }

    /// Jobs that are in no final state, by queue: all of them, and those of which no task has
    /// started.
    pub fn queues(&self) -> Map<QueueName, (u64, u64)> {
        let mut found: Map<QueueName, (u64, u64)> = Map::default();
        for job in self.open.iter().filter_map(|id| self.jobs.get(id)) {
            let count = found.entry(job.sub.queue.clone()).or_default();
            count.0 += 1;
            count.1 += u64::from(job.reported_state() == JobState::Queued);
        }
        found
    }
}

/// Workers that a lasting step has to be spread over.
fn spread(step: &Step) -> usize {
    match step.spread {
        0 => 1,
        most => step.count.div_ceil(most) as usize,
    }
}
