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
const COUNT_EVERY: Duration = Duration::from_millis(500);

/// Guess of what a start takes of a batch and its orders before one was seen, in bytes.
const START_SIZE: f64 = 400.0;

/// What a new job waits for before it begins.
#[derive(Debug)]
pub(crate) struct Admission {
    /// Mean time for which a batch is under way.
    batch: Duration,
    /// Mean of what a start takes of a batch and its orders, in bytes.
    start: f64,
    /// Processor that workers have, in thousandths of a core.
    cpu: u64,
    /// The same by service.
    pools: Map<ServiceName, u64>,
    /// Most that any worker has of each.
    pub(crate) largest: Room,
    counted: Time,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            batch: Duration::ZERO,
            start: START_SIZE,
            cpu: 0,
            pools: Map::default(),
            largest: Room::default(),
            counted: Time::default(),
        }
    }
}

impl Admission {
    /// A batch was under way for `took`.
    pub(crate) fn appended(&mut self, took: Duration) {
        self.batch = match self.batch.is_zero() {
            true => took,
            false => self.batch.mul_f64(1.0 - NEWEST_WEIGHT) + took.mul_f64(NEWEST_WEIGHT),
        };
    }

    /// A batch with so many starts takes so many bytes, orders included.
    pub(crate) fn wrote(&mut self, starts: usize, bytes: usize) {
        if starts > 0 {
            let start = bytes as f64 / starts as f64;
            self.start = self.start * (1.0 - NEWEST_WEIGHT) + start * NEWEST_WEIGHT;
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
pub struct Waits {
    /// For the journal and the link, as far as work goes that can meet its objective.
    pub link: Duration,
    /// For workers at the least: work that is of use goes first, that of the job's service on the
    /// workers that it has, or all of it on all of them, whichever is less.
    pub room: Duration,
}

impl Waits {
    /// By how much a job with this slack would begin too late; `None` if it begins in time.
    ///
    /// What the link carries is known well, so it decides whether a job can meet its objective.
    /// What workers have room for is a bound only, and decides whether it can be of any use.
    pub fn excess(&self, slack: Slack) -> Option<Duration> {
        let link = self.link.saturating_sub(slack.timely);
        let room = self.room.saturating_sub(slack.useful);
        let late = link.max(room);
        (!late.is_zero()).then_some(late)
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
    pub fn waits(&self, service: &ServiceName) -> Waits {
        let ahead = self.wait_queue.timely_tasks() as usize + self.planned.len();
        let batches = ahead as f64 * self.admission.start / self.bounds.max_batch.max(1) as f64;
        let all = spread(self.wait_queue.useful_work(), self.admission.cpu);
        let pool = self.admission.pools.get(service).copied();
        let own = spread(
            self.wait_queue.useful_work_of(service),
            pool.unwrap_or_default(),
        );
        Waits {
            link: self.admission.batch.mul_f64(batches),
            room: own.unwrap_or(Duration::MAX).min(all.unwrap_or_default()),
        }
    }

    /// Whether a job is refused, since it would begin too late; tells what it would wait for.
    ///
    /// Failure: far more is accepted than can begin, all of it is late, and the last of it stands
    /// still for a minute.
    pub fn refuses(&self, sub: &Submission) -> Option<Waits> {
        if self.jobs.contains(&sub.job) || self.finished.contains_key(&sub.job) {
            return None;
        }
        let slack = Slack::of(sub, self.config.queues.get(&sub.queue))?;
        let waits = self.waits(&sub.service);
        waits.excess(slack).map(|_| waits)
    }

    /// Counts what all workers have, if it is time.
    pub(crate) fn count_room(&mut self) {
        if self.now.since(self.admission.counted) < COUNT_EVERY {
            return;
        }
        self.admission.counted = self.now;
        let admission = &mut self.admission;
        admission.cpu = 0;
        admission.pools.clear();
        admission.largest = Room::default();
        for entry in self.workers.values().filter_map(|w| w.entry.as_ref()) {
            admission.cpu += entry.room.cpu;
            *admission.pools.entry(entry.service.clone()).or_default() += entry.room.cpu;
            admission.largest = admission.largest.max(entry.room);
        }
    }
}

/// Time for so much work, in thousandths of a core times milliseconds, on so many thousandths of a
/// core; `None` if there are none.
fn spread(work: u64, cpu: u64) -> Option<Duration> {
    (cpu > 0).then(|| Duration::from_millis(work / cpu))
}
