//! Views of the cell for capacity planning and for operators.

use cactuswheel_model::Map;
use cactuswheel_work::{JobId, JobState, QueueName, ServiceName, Step, WorkerId};

use crate::cell::Cell;
use crate::finished::FinishedJob;
use crate::job::Job;
use crate::remaining::{Remaining, placeable};
use crate::view::{JobView, Load, RunView, WorkerView};

impl Cell {
    /// Load of each service.
    pub fn loads(&self) -> Map<ServiceName, Load> {
        let mut loads: Map<ServiceName, Load> = Map::default();
        for queue in self.config.queues.values() {
            loads.entry(queue.service.clone()).or_default().queues += 1;
        }
        for (name, learned) in &self.queue_stats {
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
        let mut left = Remaining::default();
        for job in self.open.iter().filter_map(|id| self.jobs.get(id)) {
            let load = loads.entry(self.service_of(job)).or_default();
            self.add_waiting(job, load, &mut left);
        }
        loads
    }

    /// Adds the room that a job's waiting tasks request, as far as the fleet's instances could run
    /// them and the team's quota lets them start.
    fn add_waiting(&self, job: &Job, load: &mut Load, left: &mut Remaining) {
        if !job.sub.lasting() {
            return self.add_forecast(job, load, left);
        }
        for turn in &job.turns {
            for (run, step) in turn.steps.iter().zip(job.sub.steps.iter()) {
                if run.is_done() || !turn.is_ready(step) {
                    continue;
                }
                let count = u64::from(step.count);
                let free = run.tasks.iter().filter(|t| t.is_pending()).count() as u64;
                let running = count - free;
                let places = placeable(self.inventory.as_ref(), step, count);
                let waiting = free.min(places.saturating_sub(running));
                load.unplaceable += step.reserved() * (free - waiting);
                let waiting = self.startable(job, step, waiting, left);
                load.waiting += step.reserved() * waiting;
                load.lasting += step.reserved() * (running + waiting);
                load.spread = load.spread.max(min_workers(step, running + waiting));
            }
        }
    }

    /// Views of the registered workers.
    pub fn workers(&self) -> Map<WorkerId, WorkerView> {
        let listed = self.workers.values();
        let listed = listed.filter_map(|w| Some((w, w.entry.as_ref()?)));
        let views = listed.map(|(w, entry)| {
            let view = WorkerView {
                worker: w.id.clone(),
                service: entry.service.clone(),
                open: w.is_schedulable(self.now) || w.is_full(self.now),
                closing: (w.closed || w.is_spent() || w.evacuated) && w.is_responsive(),
                evacuated: w.evacuated,
                spent: w.is_spent(),
                room: entry.room,
                used: w.used,
                lasting: w.lasting,
                runs: w.allocations.len(),
            };
            (w.id.clone(), view)
        });
        views.collect()
    }

    /// View of a job for operators; `None` if the job is unknown.
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
            percent: attempt.progress.percent,
        });
        let tasks_of_turn: usize = job.sub.steps.iter().map(|s| s.count as usize).sum();
        let ended = job.ended_turns.count() as usize * tasks_of_turn;
        Some(JobView {
            queue: job.sub.queue.clone(),
            state: job.reported_state(),
            age: self.now.since(job.arrived),
            done: ended + tasks.iter().filter(|t| t.done).count(),
            waiting: tasks.iter().filter(|t| t.is_pending()).count(),
            runs: runs.collect(),
        })
    }

    fn finished_view(&self, finished: &FinishedJob) -> JobView {
        JobView {
            queue: finished.job.queue.clone(),
            state: finished.job.state,
            age: self.now.since(finished.ended),
            done: 0,
            waiting: 0,
            runs: Vec::new(),
        }
    }

    /// Number of jobs per queue that are not in a final state, and how many of these have not
    /// started a task.
    pub fn queue_lengths(&self) -> Map<QueueName, (u64, u64)> {
        let mut found: Map<QueueName, (u64, u64)> = Map::default();
        for job in self.open.iter().filter_map(|id| self.jobs.get(id)) {
            let count = found.entry(job.sub.queue.clone()).or_default();
            count.0 += 1;
            count.1 += u64::from(job.reported_state() == JobState::Queued);
        }
        found
    }
}

/// Minimum number of workers over which `tasks` long-running tasks of a step have to be spread.
fn min_workers(step: &Step, tasks: u64) -> usize {
    match step.spread {
        0 => 1,
        most => tasks.div_ceil(u64::from(most)) as usize,
    }
}
