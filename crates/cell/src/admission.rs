//! Admission control: a cell accepts the jobs that can start while they are still useful.

use std::time::Duration;

use cactuswheel_model::{Map, Time};
use cactuswheel_work::{Queue, ServiceName, Submission, TeamName};
use serde::{Deserialize, Serialize};

use crate::cell::Cell;
use crate::rank::LATE_FACTOR;

/// Weight of the newest batch in the moving averages over batches.
const NEWEST_WEIGHT: f64 = 0.2;

/// Interval between two updates of the workers' total capacity.
const COUNT_INTERVAL: Duration = Duration::from_millis(500);

/// Initial estimate of the bytes that one start takes up in a batch and in its order.
const INITIAL_START_BYTES: f64 = 400.0;

/// Measurements from which the start delay of a new job is estimated.
#[derive(Debug)]
pub(crate) struct Admission {
    /// Moving average of the time that a batch is in flight.
    batch_time: Duration,
    /// Moving average of the bytes that one start takes up in a batch and in its order.
    start_bytes: f64,
    /// Processor capacity of all workers, in thousandths of a core.
    total_cpu: u64,
    /// Processor capacity of the workers of each service, in thousandths of a core.
    pool_cpu: Map<ServiceName, u64>,
    /// When the capacities were last updated.
    counted_at: Time,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            batch_time: Duration::ZERO,
            start_bytes: INITIAL_START_BYTES,
            total_cpu: 0,
            pool_cpu: Map::default(),
            counted_at: Time::default(),
        }
    }
}

impl Admission {
    /// Records that a batch was in flight for `took`.
    pub(crate) fn record_append(&mut self, took: Duration) {
        self.batch_time = match self.batch_time.is_zero() {
            true => took,
            false => self.batch_time.mul_f64(1.0 - NEWEST_WEIGHT) + took.mul_f64(NEWEST_WEIGHT),
        };
    }

    /// Records that a batch with `starts` starts takes `bytes` bytes, orders included.
    pub(crate) fn record_write(&mut self, starts: usize, bytes: usize) {
        if starts > 0 {
            let start = bytes as f64 / starts as f64;
            self.start_bytes = self.start_bytes * (1.0 - NEWEST_WEIGHT) + start * NEWEST_WEIGHT;
        }
    }
}

/// Longest acceptable delays between a job's acceptance and its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slack {
    /// Longest delay after which the job can still complete within its objective.
    pub timely: Duration,
    /// Longest delay after which the job can complete while it is still useful.
    pub useful: Duration,
}

impl Slack {
    /// Slack of a job at its acceptance; `None` for long-running and for scheduled jobs.
    pub fn of(sub: &Submission, queue: Option<&Queue>) -> Option<Self> {
        if sub.lasting() || sub.times > 0 {
            return None;
        }
        let (stretch, allowance) = queue.map_or((1.0, 0), |q| (q.stretch, q.allowance.get()));
        let chain = sub.chain() as f64;
        let objective = chain * stretch + allowance as f64;
        let within = |limit: f64| Duration::from_millis((limit - chain).max(0.0) as u64);
        Some(Self {
            timely: within(objective),
            useful: within(objective * LATE_FACTOR),
        })
    }
}

/// Estimated delay before a job that arrives now starts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartDelay {
    /// Wait for the journal and the owner's network link, behind the tasks of jobs that can meet
    /// their objective.
    pub link: Duration,
    /// Lower bound of the wait for room on workers, behind the work that is still useful and that
    /// its teams' quotas let start: the time for the work of the job's service on that service's
    /// workers, or for all work on all workers, whichever is less, and at least the time that the
    /// work of the job's team takes within its quota.
    pub room: Duration,
}

impl StartDelay {
    /// Time by which a job with this slack would start too late; `None` if it starts in time.
    ///
    /// The throughput of the link is known well, so the wait for the link decides whether a job can
    /// meet its objective. The wait for room is only a lower bound, so it decides whether the job
    /// can be useful at all.
    pub fn excess(&self, slack: Slack) -> Option<Duration> {
        let link = self.link.saturating_sub(slack.timely);
        let room = self.room.saturating_sub(slack.useful);
        let delay = link.max(room);
        (!delay.is_zero()).then_some(delay)
    }
}

impl Cell {
    /// Estimates the delay before a job of a service and a team that arrives now starts.
    pub fn start_delay(&self, service: &ServiceName, team: Option<&TeamName>) -> StartDelay {
        let ahead = self.wait_queue.timely_tasks() as usize + self.planned.len();
        let batches =
            ahead as f64 * self.admission.start_bytes / self.bounds.max_batch.max(1) as f64;
        let cap_of = |team: &TeamName| {
            let cap = self.config.teams.get(team)?.cap.0.cpu;
            (cap > 0).then_some(cap)
        };
        let all_work = self.wait_queue.useful_work();
        let all_pools = all_work.drain_time(self.admission.total_cpu, cap_of);
        let pool_cpu = self.admission.pool_cpu.get(service).copied();
        let own_pool = match self.wait_queue.useful_work_of(service) {
            Some(work) => work.drain_time(pool_cpu.unwrap_or_default(), cap_of),
            None => pool_cpu.map(|_| Duration::ZERO),
        };
        let pool = own_pool
            .unwrap_or(Duration::MAX)
            .min(all_pools.unwrap_or_default());
        let quota = team.and_then(|t| Some(all_work.of(t) / cap_of(t)?));
        StartDelay {
            link: self.admission.batch_time.mul_f64(batches),
            room: pool.max(Duration::from_millis(quota.unwrap_or_default())),
        }
    }

    /// Returns the estimated start delay if the job has to be refused because it would start too
    /// late; `None` if it can be accepted.
    ///
    /// Without this check the cell would accept far more jobs than it can start. All of them would
    /// be late, and the last ones would not start for a minute.
    pub fn overload_delay(&self, sub: &Submission) -> Option<StartDelay> {
        if self.jobs.contains(&sub.job) || self.finished.contains_key(&sub.job) {
            return None;
        }
        let slack = Slack::of(sub, self.config.queues.get(&sub.queue))?;
        let delay = self.start_delay(&sub.service, sub.team.as_ref());
        delay.excess(slack).map(|_| delay)
    }

    /// Updates the workers' total capacity if [`COUNT_INTERVAL`] has passed.
    pub(crate) fn count_room(&mut self) {
        if self.now.since(self.admission.counted_at) < COUNT_INTERVAL {
            return;
        }
        self.admission.counted_at = self.now;
        let admission = &mut self.admission;
        admission.total_cpu = 0;
        admission.pool_cpu.clear();
        for entry in self.workers.values().filter_map(|w| w.entry.as_ref()) {
            admission.total_cpu += entry.room.cpu;
            *admission.pool_cpu.entry(entry.service.clone()).or_default() += entry.room.cpu;
        }
    }
}
