//! All jobs, and the rules for changes to them.

use std::collections::VecDeque;
use std::sync::Arc;

use cactuswheel_model::{
    Attempt, AttemptEnd, Code, Incarnation, InstanceId, JobEvent, JobId, JobSpec, Offset, Refusal,
    Retry, Room, TeamId,
};
use serde::{Deserialize, Serialize};

use super::{Job, JobPhase, Worker};
use crate::{Config, Disruptions, Table};

/// Maximum number of ended jobs kept, so that a repeated submission still gets the result of the
/// first.
const MAX_ENDED_JOBS: usize = 20_000;

/// Maximum number of waiting jobs per team.
const MAX_WAITING_JOBS: u32 = 5_000;

/// Maximum size of a payload, in bytes.
const MAX_PAYLOAD_BYTES: usize = 4 << 10;

/// Number of different workers on which a job may fail before it counts as failed.
const MAX_FAILED_WORKERS: usize = 3;

/// Number of lost attempts after which a job is not retried.
const MAX_LOST_ATTEMPTS: u32 = 10;

/// Jobs by ID, and workers with the resources that jobs reserve on them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Jobs {
    jobs: Table<JobId, Job>,
    /// Number of queued jobs per team.
    ///
    /// Invariant: the sum over all teams is the number of queued jobs.
    waiting: Table<TeamId, u32>,
    /// Number of placed jobs per team.
    ///
    /// Invariant: at most the team's `jobs` setting at the time of the latest placement.
    placed: Table<TeamId, u32>,
    /// Workers with placed attempts or recorded failures.
    ///
    /// Invariant: `used` is the sum of the resources reserved on the worker and does not exceed
    /// the instance's resources.
    workers: Table<InstanceId, Worker>,
    /// IDs of ended jobs, oldest first.
    ///
    /// Invariant: at most `MAX_ENDED_JOBS`.
    ended: Arc<VecDeque<JobId>>,
    /// Offset of the next record to process in the stream of worker reports.
    #[serde(rename = "reports")]
    next_report: Offset,
}

impl Jobs {
    /// Returns a job by ID.
    pub fn get(&self, job: &JobId) -> Option<&Arc<Job>> {
        self.jobs.get(job)
    }

    /// All jobs, including the ended ones that are kept.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &Arc<Job>)> {
        self.jobs.iter()
    }

    /// The load of a worker; `None` if no attempt is placed there and no failure is recorded.
    pub fn worker(&self, id: &InstanceId) -> Option<&Arc<Worker>> {
        self.workers.get(id)
    }

    /// Number of the team's placed jobs.
    pub fn placed(&self, team: &TeamId) -> u32 {
        self.placed.get(team).map_or(0, |n| **n)
    }

    /// Number of the team's queued jobs.
    pub fn waiting(&self, team: &TeamId) -> u32 {
        self.waiting.get(team).map_or(0, |n| **n)
    }

    /// Offset of the next record to process in the stream of worker reports.
    pub fn next_report(&self) -> Offset {
        self.next_report
    }

    /// Applies an event, or refuses it without a change.
    pub(crate) fn apply(
        &mut self,
        event: &JobEvent,
        config: &Config,
        disruptions: &Disruptions,
    ) -> Result<(), Refusal> {
        match event {
            JobEvent::Submit { job, spec, at } => self.submit(job, spec, *at, config),
            JobEvent::Place { worker, .. } if disruptions.is_drained(worker) => {
                Err(Refusal::new(Code::WorkerFull))
            }
            JobEvent::Place {
                job,
                attempt,
                worker,
                incarnation,
                room,
            } => self.place(job, *attempt, (worker, *incarnation), *room, config),
            JobEvent::Checkpoint { job, attempt, mark } => self.checkpoint(job, *attempt, mark),
            JobEvent::End { job, attempt, end } => self.end(job, *attempt, *end),
            JobEvent::Cancel { job } => self.cancel(job),
            JobEvent::Reports { next } => {
                self.next_report = self.next_report.max(*next);
                Ok(())
            }
        }
    }

    fn submit(
        &mut self,
        id: &JobId,
        spec: &JobSpec,
        at: u64,
        config: &Config,
    ) -> Result<(), Refusal> {
        if let Some(first) = self.jobs.get(id) {
            // A client that got no answer submits again; the first submission stays in force.
            let same = first.spec == *spec;
            return if same {
                Ok(())
            } else {
                Err(Refusal::new(Code::JobUsed))
            };
        }
        check_spec(id, spec, config)?;
        if self.waiting(&id.team) >= MAX_WAITING_JOBS {
            return Err(Refusal::new(Code::JobsFull));
        }
        self.jobs.insert(id.clone(), Job::new(spec.clone(), at));
        adjust_count(&mut self.waiting, &id.team, 1);
        Ok(())
    }

    fn place(
        &mut self,
        id: &JobId,
        attempt: Attempt,
        (worker, incarnation): (&InstanceId, Incarnation),
        room: Room,
        config: &Config,
    ) -> Result<(), Refusal> {
        let job = self
            .jobs
            .get(id)
            .ok_or_else(|| Refusal::new(Code::NotFound))?;
        if job.phase != JobPhase::Queued || attempt != job.attempt.next() {
            return Err(Refusal::new(Code::JobMoved));
        }
        self.check_team(&id.team, config)?;
        let load = self.check_worker(&job.spec, worker, room, config)?;
        let phase = JobPhase::Placed {
            worker: worker.clone(),
            incarnation,
            room,
        };
        let job = Job {
            phase,
            attempt,
            ..Job::clone(job)
        };
        let load = Worker {
            used: load.used + room,
            placed: load.placed + 1,
            ..load
        };
        self.jobs.insert(id.clone(), job);
        self.workers.insert(worker.clone(), load);
        adjust_count(&mut self.waiting, &id.team, -1);
        adjust_count(&mut self.placed, &id.team, 1);
        Ok(())
    }

    fn check_team(&self, team: &TeamId, config: &Config) -> Result<(), Refusal> {
        let max = config
            .teams
            .get(team)
            .map_or(0, |t| t.jobs.get().min(t.limit.get()));
        if self.placed(team) < max {
            return Ok(());
        }
        Err(Refusal::new(Code::TeamLimit))
    }

    fn check_worker(
        &self,
        spec: &JobSpec,
        worker: &InstanceId,
        room: Room,
        config: &Config,
    ) -> Result<Worker, Refusal> {
        let full = || Refusal::new(Code::WorkerFull);
        let instance = config.instances.get(worker).ok_or_else(full)?;
        let load = self
            .workers
            .get(worker)
            .map(|w| Worker::clone(w))
            .unwrap_or_default();
        let fits = (load.used + room).fits(Room::of(instance));
        if instance.pool != spec.pool || !fits || !load.accepts_work() {
            return Err(full());
        }
        Ok(load)
    }

    fn checkpoint(&mut self, id: &JobId, attempt: Attempt, mark: &str) -> Result<(), Refusal> {
        let job = self.placed_job(id, attempt)?;
        let job = Job {
            checkpoint: Some(mark.to_owned()),
            ..Job::clone(job)
        };
        self.jobs.insert(id.clone(), job);
        Ok(())
    }

    fn end(&mut self, id: &JobId, attempt: Attempt, end: AttemptEnd) -> Result<(), Refusal> {
        let mut job = Job::clone(self.placed_job(id, attempt)?);
        let JobPhase::Placed { worker, room, .. } = &job.phase else {
            return Err(Refusal::new(Code::JobMoved));
        };
        let worker = worker.clone();
        self.release(id, &worker, *room, end);
        if end == AttemptEnd::Lost {
            job.lost += 1;
        }
        if end == AttemptEnd::Failed && !job.failed.contains(&worker) {
            job.failed.push(worker);
        }
        job.phase = next_phase(&job, end);
        let queued = job.phase == JobPhase::Queued;
        self.jobs.insert(id.clone(), job);
        adjust_count(&mut self.placed, &id.team, -1);
        if queued {
            adjust_count(&mut self.waiting, &id.team, 1);
        } else {
            self.record_ended(id);
        }
        Ok(())
    }

    fn release(&mut self, id: &JobId, worker: &InstanceId, room: Room, end: AttemptEnd) {
        let Some(load) = self.workers.get(worker) else {
            return;
        };
        let mut load = Worker::clone(load);
        load.used = load.used - room;
        load.placed -= 1;
        match end {
            AttemptEnd::Done => load.streak.clear(),
            AttemptEnd::Failed if !load.streak.contains(id) => load.streak.push(id.clone()),
            _ => {}
        }
        if load.is_unused() {
            self.workers.remove(worker);
        } else {
            self.workers.insert(worker.clone(), load);
        }
    }

    fn cancel(&mut self, id: &JobId) -> Result<(), Refusal> {
        let job = self
            .jobs
            .get(id)
            .ok_or_else(|| Refusal::new(Code::NotFound))?;
        match &job.phase {
            JobPhase::Queued => {
                let job = Job {
                    phase: JobPhase::Cancelled,
                    ..Job::clone(job)
                };
                self.jobs.insert(id.clone(), job);
                adjust_count(&mut self.waiting, &id.team, -1);
                self.record_ended(id);
                Ok(())
            }
            JobPhase::Placed { .. } => {
                let job = Job {
                    cancel: true,
                    ..Job::clone(job)
                };
                self.jobs.insert(id.clone(), job);
                Ok(())
            }
            JobPhase::Cancelled => Ok(()),
            _ => Err(Refusal::new(Code::JobMoved)),
        }
    }

    /// Returns the job if exactly this attempt is placed. Events of earlier attempts that arrive
    /// late are refused.
    fn placed_job(&self, id: &JobId, attempt: Attempt) -> Result<&Arc<Job>, Refusal> {
        let job = self
            .jobs
            .get(id)
            .ok_or_else(|| Refusal::new(Code::NotFound))?;
        if matches!(job.phase, JobPhase::Placed { .. }) && job.attempt == attempt {
            return Ok(job);
        }
        Err(Refusal::new(Code::JobMoved))
    }

    /// Records that a job ended, and drops the oldest ended job beyond `MAX_ENDED_JOBS`.
    fn record_ended(&mut self, id: &JobId) {
        let ended = Arc::make_mut(&mut self.ended);
        ended.push_back(id.clone());
        if ended.len() > MAX_ENDED_JOBS
            && let Some(oldest) = ended.pop_front()
        {
            self.jobs.remove(&oldest);
        }
    }
}

fn check_spec(id: &JobId, spec: &JobSpec, config: &Config) -> Result<(), Refusal> {
    if !config.teams.contains(&id.team) || !config.pools.contains(&spec.pool) {
        let detail = format!("team {} and pool {} have to exist", id.team, spec.pool);
        return Err(Refusal::new(Code::MissingReference).with_detail(detail));
    }
    if spec.payload.len() > MAX_PAYLOAD_BYTES || spec.room.cores.get() == 0 {
        let detail = format!("takes a core or more and a payload up to {MAX_PAYLOAD_BYTES} bytes");
        return Err(Refusal::new(Code::BadJob).with_detail(detail));
    }
    let mut pool = config.instances.values().filter(|i| i.pool == spec.pool);
    if pool.any(|i| spec.room.fits(Room::of(i))) {
        return Ok(());
    }
    Err(Refusal::new(Code::JobTooLarge))
}

/// Returns the phase of a job after its attempt ended.
fn next_phase(job: &Job, end: AttemptEnd) -> JobPhase {
    match end {
        AttemptEnd::Done => JobPhase::Done,
        AttemptEnd::Failed if job.failed.len() >= MAX_FAILED_WORKERS => JobPhase::Failed,
        _ if job.cancel => JobPhase::Cancelled,
        AttemptEnd::Refused => JobPhase::Queued,
        // The attempt may have run in part, and what it did may have had effects, so only an
        // idempotent or resumable job is retried. Without retries, a reported failure is a
        // definite result; after a stop or a loss the result is unknown.
        AttemptEnd::Failed | AttemptEnd::Stopped | AttemptEnd::Lost => match job.spec.retry {
            Retry::Never if end == AttemptEnd::Failed => JobPhase::Failed,
            Retry::Never => JobPhase::Unknown,
            Retry::Restart | Retry::Resume if job.lost >= MAX_LOST_ATTEMPTS => JobPhase::Failed,
            Retry::Restart | Retry::Resume => JobPhase::Queued,
        },
    }
}

fn adjust_count(table: &mut Table<TeamId, u32>, team: &TeamId, change: i32) {
    let n = table
        .get(team)
        .map_or(0, |n| **n)
        .saturating_add_signed(change);
    if n == 0 {
        table.remove(team);
    } else {
        table.insert(team.clone(), n);
    }
}
