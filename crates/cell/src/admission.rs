//! Which jobs a cell takes: those that can begin while they are of use.

use std::time::Duration;

use cactuswheel_model::{Map, Time};
use cactuswheel_work::{Queue, Room, ServiceName, Submission};
use serde::{Deserialize, Serialize};

use crate::cell::Cell;
use crate::rank::LATE_FACTOR;

/// Weight of the newest batch in the mean time of one.
const NEWEST_WEIGHT: f64 = 0.2;

/// Time between two counts of what all workers have.
const COUNT_INTERVAL: Duration = Duration::from_millis(500);

/// Guess of what a start takes of a batch and its orders before one was seen, in bytes.
const INITIAL_START_BYTES: f64 = 400.0;

/// What a new job waits for before it begins.
#[derive(Debug)]
pub(crate) struct Admission {
    /// Mean time for which a batch is under way.
    batch_time: Duration,
    /// Mean of what a start takes of a batch and its orders, in bytes.
    start_bytes: f64,
    /// Processor that workers have, in thousandths of a core.
    total_cpu: u64,
    /// The same by service.
    pool_cpu: Map<ServiceName, u64>,
    /// Most that any worker has of each.
    pub(crate) largest_worker: Room,
    counted_at: Time,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            batch_time: Duration::ZERO,
            start_bytes: INITIAL_START_BYTES,
            total_cpu: 0,
            pool_cpu: Map::default(),
            largest_worker: Room::default(),
            counted_at: Time::default(),
        }
    }
}

impl Admission {
    /// A batch was under way for `took`.
    pub(crate) fn record_append(&mut self, took: Duration) {
        self.batch_time = match self.batch_time.is_zero() {
            true => took,
            false => self.batch_time.mul_f64(1.0 - NEWEST_WEIGHT) + took.mul_f64(NEWEST_WEIGHT),
        };
    }

    /// A batch with so many starts takes so many bytes, orders included.
    pub(crate) fn record_write(&mut self, starts: usize, bytes: usize) {
        if starts > 0 {
            let start = bytes as f64 / starts as f64;
            self.start_bytes = self.start_bytes * (1.0 - NEWEST_WEIGHT) + start * NEWEST_WEIGHT;
        }
    }
}

/// Times from a job's acceptance until it has to begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slack {
    /// To be done within its objective.
    pub timely: Duration,
    /// To be of any use.
    pub useful: Duration,
}

impl Slack {
    /// Of a job that is accepted; `None` for work that lasts or that has a time of its own.
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

/// How long a job that comes now waits before it begins.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartDelay {
    /// For the journal and the link, as far as work goes that can meet its objective.
    pub link: Duration,
    /// For workers at the least: work that is of use goes first, that of the job's service on the
    /// workers that it has, or all of it on all of them, whichever is less.
    pub room: Duration,
}

impl StartDelay {
    /// By how much a job with this slack would begin too late; `None` if it begins in time.
    ///
    /// What the link carries is known well, so it decides whether a job can meet its objective.
    /// What workers have room for is a bound only, and decides whether it can be of any use.
    pub fn excess(&self, slack: Slack) -> Option<Duration> {
        let link = self.link.saturating_sub(slack.timely);
        let room = self.room.saturating_sub(slack.useful);
        let delay = link.max(room);
        (!delay.is_zero()).then_some(delay)
    }

    /// The same after a while, if nothing more has come.
    pub fn after(&self, time: Duration) -> Self {
        Self {
            link: self.link.saturating_sub(time),
            room: self.room.saturating_sub(time),
        }
    }
}

impl Cell {
    /// How long a job of a service that comes now waits before it begins.
    pub fn start_delay(&self, service: &ServiceName) -> StartDelay {
        let ahead = self.wait_queue.timely_tasks() as usize + self.planned.len();
        let batches = ahead as f64 * self.admission.start_bytes / self.bounds.batch.max(1) as f64;
        let all_pools = drain_time(self.wait_queue.useful_work(), self.admission.total_cpu);
        let pool_total = self.admission.pool_cpu.get(service).copied();
        let own_pool = drain_time(
            self.wait_queue.useful_work_of(service),
            pool_total.unwrap_or_default(),
        );
        StartDelay {
            link: self.admission.batch_time.mul_f64(batches),
            room: own_pool
                .unwrap_or(Duration::MAX)
                .min(all_pools.unwrap_or_default()),
        }
    }

    /// Whether a job is refused, since it would begin too late; tells what it would wait for.
    ///
    /// Failure: far more is accepted than can begin, all of it is late, and the last of it stands
    /// still for a minute.
    pub fn overload_delay(&self, sub: &Submission) -> Option<StartDelay> {
        if self.jobs.contains(&sub.job) || self.finished.contains_key(&sub.job) {
            return None;
        }
        let slack = Slack::of(sub, self.config.queues.get(&sub.queue))?;
        let delay = self.start_delay(&sub.service);
        delay.excess(slack).map(|_| delay)
    }

    /// Counts what all workers have, if it is time.
    pub(crate) fn count_room(&mut self) {
        if self.now.since(self.admission.counted_at) < COUNT_INTERVAL {
            return;
        }
        self.admission.counted_at = self.now;
        let admission = &mut self.admission;
        admission.total_cpu = 0;
        admission.pool_cpu.clear();
        admission.largest_worker = Room::default();
        for entry in self.workers.values().filter_map(|w| w.entry.as_ref()) {
            admission.total_cpu += entry.room.cpu;
            *admission.pool_cpu.entry(entry.service.clone()).or_default() += entry.room.cpu;
            admission.largest_worker = admission.largest_worker.max(entry.room);
        }
    }
}

/// Time for so much work, in thousandths of a core times milliseconds, on so many thousandths of a
/// core; `None` if there are none.
fn drain_time(work: u64, cpu: u64) -> Option<Duration> {
    (cpu > 0).then(|| Duration::from_millis(work / cpu))
}
