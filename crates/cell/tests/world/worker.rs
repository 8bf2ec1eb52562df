//! A fake worker with leases, fencing tokens, end records, delayed orders and restarts.

use std::net::SocketAddr;
use std::time::Duration;

use cactuswheel_model::{Map, Time};
use cactuswheel_work::{
    End, EndReason, PollError, PollOrder, Presence, Room, Running, StartOrder, StartOutcome,
    StartRefusal, StopOrder, TaskId, WorkerEntry, WorkerId, WorkerStatus,
};

/// Longest lease that a worker grants, in milliseconds on its clock.
const MAX_LEASE_MS: u64 = 10_000;

/// Rate of a worker's clock, relative to true time.
const CLOCK_RATE: f64 = 0.98;

/// What happens to an order that an owner sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// Carried out and answered.
    Answered,
    /// Carried out, but the answer is lost.
    AnswerLost,
    /// Lost on the way; not carried out and not answered.
    Lost,
    /// A start order that is carried out after this delay and not answered; other orders are lost.
    Delayed(Duration),
    /// Not sent, because there is no connection to the worker.
    Unreachable,
    /// Received and refused by another incarnation at the worker's address.
    OtherIncarnation,
}

/// A run on the worker.
#[derive(Debug, Clone)]
struct Run {
    run: u32,
    /// Work done so far, in milliseconds.
    work: u64,
    lasting: bool,
}

/// A fake worker.
#[derive(Debug, Clone)]
pub struct FakeWorker {
    pub id: WorkerId,
    pub addr: SocketAddr,
    /// Start time of the incarnation, in milliseconds.
    pub born: u64,
    /// Powered on.
    pub up: bool,
    /// Connections to the worker can be opened.
    pub connected: bool,
    /// Every order to the worker is lost on the way.
    pub drops_orders: bool,
    /// Number of polls that the worker received and did not refuse.
    pub answered_polls: usize,
    /// Time that a stop takes. Until it is complete the run is listed as running.
    pub stop_time: Duration,
    /// Runs make no progress.
    pub stalled: bool,
    /// Runs produce a checkpoint, with a value of this worker's own, for each 200 ms of work.
    pub checkpoints: bool,
    /// Runs end as failed instead of done.
    pub failing: bool,
    /// Run time of a task that is not long-running, in milliseconds.
    pub work_ms: u64,
    /// Tail latency that the worker reports for its runs.
    pub gauge: u64,
    /// Completed tasks whose end record was acknowledged, with the time at which they ended. A
    /// task is omitted if the worker's lease expired between its end and the acknowledgement,
    /// because the owner then had to abandon its run.
    pub acknowledged: Vec<(TaskId, Time)>,
    /// Every start that was carried out: task, run and time.
    pub started: Vec<(TaskId, u32, Time)>,
    /// Time of each end, by number of the end record.
    end_times: Map<u64, Time>,
    /// End records up to this number were created before a lease expired on running runs.
    lapsed_end: u64,
    start: Time,
    /// The worker's clock, in milliseconds.
    clock: f64,
    last_step: Time,
    /// Highest fencing token received.
    fence: u64,
    /// When the lease expires, on the worker's clock.
    expiry: u64,
    running: Map<TaskId, Run>,
    /// End records that were not acknowledged yet.
    ended: Vec<End>,
    /// Highest run number of each task that ended or was ordered to stop here; a start with this
    /// number or a lower one is refused.
    highest_runs: Map<TaskId, u32>,
    /// Number of the next end record.
    next_end: u64,
    /// Delayed start orders, with the time at which each is carried out.
    delayed_starts: Vec<(Time, StartOrder)>,
    /// Runs that are being stopped, with the time at which they end.
    stops: Vec<(Time, TaskId, u32)>,
    /// Jobs whose tasks are long-running.
    pub lasting_jobs: Vec<u64>,
    /// Tasks that crash the worker once they have run for `crash_delay`.
    pub lethal_tasks: Vec<TaskId>,
    /// Run time after which a lethal task crashes the worker, in milliseconds.
    pub crash_delay: u64,
    /// When the worker crashed; `None` again once the next incarnation has started.
    pub crashed_at: Option<Time>,
    pub room: Room,
    /// Highest number of runs that were on the worker at the same time.
    pub max_runs: usize,
    /// Tasks with a run on the worker when an incarnation of it ended.
    pub lost_tasks: Vec<TaskId>,
    /// Another incarnation has taken the worker's place, with an identifier of its own.
    pub replaced: bool,
    pub zone: &'static str,
    pub service: &'static str,
    pub labels: Vec<String>,
}

impl FakeWorker {
    /// Creates the worker `w{number}`, with a port derived from the number.
    pub fn new(number: usize, now: Time) -> Self {
        Self {
            id: format!("w{number}").into(),
            addr: SocketAddr::from(([127, 0, 0, 1], 2_000 + number as u16)),
            born: now.get(),
            up: true,
            connected: true,
            drops_orders: false,
            answered_polls: 0,
            stop_time: Duration::ZERO,
            stalled: false,
            checkpoints: false,
            failing: false,
            work_ms: 800,
            gauge: 0,
            acknowledged: Vec::new(),
            started: Vec::new(),
            end_times: Map::default(),
            lapsed_end: 0,
            start: now,
            clock: 5_000.0,
            last_step: now,
            fence: 0,
            expiry: 0,
            running: Map::default(),
            ended: Vec::new(),
            highest_runs: Map::default(),
            next_end: 1,
            delayed_starts: Vec::new(),
            stops: Vec::new(),
            lasting_jobs: Vec::new(),
            lethal_tasks: Vec::new(),
            crash_delay: 10,
            crashed_at: None,
            room: Self::full_room(),
            max_runs: 0,
            lost_tasks: Vec::new(),
            replaced: false,
            zone: "dc",
            service: "pool",
            labels: vec!["a".into(), "r1".into()],
        }
    }

    fn full_room() -> Room {
        Room {
            cpu: 32_000,
            memory: 64_000,
            gpu: 0,
        }
    }

    /// The worker's registration.
    pub fn entry(&self) -> WorkerEntry {
        WorkerEntry {
            id: self.id.clone(),
            service: self.service.into(),
            addr: self.addr,
            zone: self.zone.into(),
            presence: Presence::Ready,
            born: self.born,
            room: self.room,
            labels: self.labels.clone(),
        }
    }

    /// Tasks and run numbers of the runs on the worker.
    pub fn runs(&self) -> impl Iterator<Item = (TaskId, u32)> {
        self.running.iter().map(|(t, r)| (*t, r.run))
    }

    /// Number of end records that were not acknowledged yet.
    pub fn unacknowledged(&self) -> usize {
        self.ended.len()
    }

    /// Whether a run is being stopped.
    pub fn has_stops(&self) -> bool {
        !self.stops.is_empty()
    }

    /// Number of runs on the worker.
    pub fn run_count(&self) -> usize {
        self.running.len()
    }

    /// Whether the runs fit into the worker's room. Every task of these tests uses four cores.
    pub fn fits_room(&self) -> bool {
        self.running.len() as u64 * 4_000 <= self.room.cpu
    }

    /// Restarts the worker under the same identifier; the new incarnation has no runs, end records
    /// or fencing token.
    pub fn restart(&mut self, now: Time) {
        let restarted = Self {
            id: self.id.clone(),
            addr: self.addr,
            born: now.get(),
            start: now,
            last_step: now,
            lasting_jobs: self.lasting_jobs.clone(),
            lethal_tasks: self.lethal_tasks.clone(),
            crash_delay: self.crash_delay,
            lost_tasks: self
                .running
                .keys()
                .chain(&self.lost_tasks)
                .copied()
                .collect(),
            acknowledged: self.acknowledged.clone(),
            started: self.started.clone(),
            work_ms: self.work_ms,
            service: self.service,
            labels: self.labels.clone(),
            ..Self::new(0, now)
        };
        *self = restarted;
    }

    /// Adds a run that is unknown to the cell's owners.
    pub fn add_stray(&mut self, task: TaskId) {
        let run = Run {
            run: 1,
            work: 0,
            lasting: true,
        };
        self.running.insert(task, run);
    }

    /// Crashes the worker: its runs are lost without an end record.
    pub fn crash(&mut self, now: Time) {
        self.up = false;
        self.crashed_at = Some(now);
        self.lost_tasks.extend(self.running.drain().map(|(t, _)| t));
        self.delayed_starts.clear();
        self.stops.clear();
    }

    /// The incarnation that follows a crash, with another identifier at the same address.
    pub fn successor(&mut self, now: Time) -> Self {
        let mut next = self.clone();
        self.replaced = true;
        next.restart(now);
        next.id = format!("{}'", self.id).into();
        next.acknowledged.clear();
        next.started.clear();
        next.lost_tasks.clear();
        next
    }

    /// Advances the worker to `now`: delayed orders, lease expiry, crashes and completed runs.
    pub fn step(&mut self, now: Time) {
        let passed = now.since(self.last_step).as_millis() as f64;
        self.last_step = now;
        if !self.up {
            return;
        }
        self.clock += passed * CLOCK_RATE;
        let due: Vec<StartOrder> = {
            let (due_now, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.delayed_starts)
                .into_iter()
                .partition(|(at, _)| *at <= now);
            self.delayed_starts = later;
            due_now.into_iter().map(|(_, o)| o).collect()
        };
        for order in due {
            self.accept_start(&order);
        }
        let due_now: Vec<_> = self.stops.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, task, run) in due_now {
            self.complete_stop(task, run);
        }
        if self.clock as u64 > self.expiry {
            // Without runs the expiry of the lease has no effect.
            if !self.running.is_empty() {
                self.lapsed_end = self.next_end - 1;
            }
            self.end_all(EndReason::Expired);
        }
        let lethal = |task: &TaskId| self.lethal_tasks.contains(task);
        if self
            .running
            .iter()
            .any(|(t, r)| lethal(t) && r.work >= self.crash_delay)
        {
            self.crash(now);
            return;
        }
        let mut completed = Vec::new();
        for (task, run) in &mut self.running {
            if self.stalled {
                continue;
            }
            run.work += passed as u64;
            if !run.lasting && run.work >= self.work_ms {
                completed.push((*task, run.run));
            }
        }
        for (task, run) in completed {
            let how = if self.failing {
                EndReason::Failed
            } else {
                EndReason::Done
            };
            self.end(task, run, how);
        }
    }

    /// Receives a start order.
    pub fn start(&mut self, order: &StartOrder, delivery: Delivery, now: Time) -> StartOutcome {
        match delivery {
            Delivery::Answered | Delivery::AnswerLost => self.accept_start(order),
            Delivery::Delayed(wait) => {
                self.delayed_starts.push((now.after(wait), order.clone()));
                StartOutcome::Unknown
            }
            Delivery::OtherIncarnation => StartOutcome::Refused(StartRefusal::OtherLife),
            Delivery::Lost | Delivery::Unreachable => StartOutcome::Unknown,
        }
    }

    /// Carries out a start order, or refuses it.
    fn accept_start(&mut self, order: &StartOrder) -> StartOutcome {
        let refused = |why| StartOutcome::Refused(why);
        // An order is only sent to the incarnation that it is meant for.
        if order.born != self.born {
            return refused(StartRefusal::OtherLife);
        }
        if order.fence < self.fence {
            return refused(StartRefusal::Fence);
        }
        self.fence = order.fence;
        if order.expiry <= self.clock as u64 {
            return refused(StartRefusal::Late);
        }
        self.renew(order.expiry);
        if self
            .running
            .get(&order.task)
            .is_some_and(|r| r.run == order.run)
        {
            return StartOutcome::Started;
        }
        if self
            .highest_runs
            .get(&order.task)
            .is_some_and(|r| *r >= order.run)
        {
            return refused(StartRefusal::Old);
        }
        let run = Run {
            run: order.run,
            work: 0,
            lasting: self.lasting_jobs.contains(&order.task.job().get()),
        };
        self.running.insert(order.task, run);
        self.max_runs = self.max_runs.max(self.running.len());
        self.started.push((order.task, order.run, self.last_step));
        StartOutcome::Started
    }

    /// Receives a stop order.
    pub fn stop(&mut self, order: &StopOrder, delivery: Delivery, now: Time) {
        if !matches!(delivery, Delivery::Answered | Delivery::AnswerLost)
            || order.fence < self.fence
        {
            return;
        }
        self.fence = order.fence;
        let highest = self.highest_runs.entry(order.task).or_default();
        *highest = (*highest).max(order.run);
        match self.stop_time.is_zero() {
            true => self.complete_stop(order.task, order.run),
            false => self
                .stops
                .push((now.after(self.stop_time), order.task, order.run)),
        }
    }

    /// Whether the order would be carried out and would stop an active long-running run.
    pub fn would_stop_active(&self, order: &StopOrder, delivery: Delivery) -> bool {
        let accepted = matches!(delivery, Delivery::Answered | Delivery::AnswerLost)
            && order.fence >= self.fence;
        let run = self.running.get(&order.task);
        accepted && run.is_some_and(|r| r.run == order.run) && self.is_active(order.task)
    }

    /// Whether a long-running task is active on the worker and is not being stopped.
    pub fn is_active(&self, task: TaskId) -> bool {
        let run = self.running.get(&task);
        let run = run.filter(|r| self.up && r.lasting && r.work >= 300 && !self.stalled);
        run.is_some_and(|r| !self.stops.iter().any(|(_, t, n)| *t == task && *n == r.run))
    }

    fn complete_stop(&mut self, task: TaskId, run: u32) {
        if self.running.get(&task).is_some_and(|r| r.run == run) {
            self.end(task, run, EndReason::Stopped);
        }
    }

    pub fn poll(
        &mut self,
        order: &PollOrder,
        delivery: Delivery,
        _: Time,
    ) -> Result<WorkerStatus, PollError> {
        if !matches!(delivery, Delivery::Answered | Delivery::AnswerLost) {
            return Err(PollError::Unknown("lost".into()));
        }
        if order.fence < self.fence {
            return Err(PollError::Fence);
        }
        self.answered_polls += 1;
        self.fence = order.fence;
        // Another incarnation is sent a plain poll, without a lease and without acknowledgements.
        let intended = order.born == self.born;
        if let Some(expiry) = order.expiry.filter(|_| intended) {
            self.renew(expiry);
        }
        let seen = if intended { order.seen } else { 0 };
        let acknowledged_ends = self.ended.iter().filter(|e| e.number <= seen);
        let acknowledged_ends = acknowledged_ends.filter(|e| e.number > self.lapsed_end);
        let done = acknowledged_ends.filter(|e| e.how == EndReason::Done);
        let done = done.map(|e| (e.task, self.end_times[&e.number]));
        let done: Vec<(TaskId, Time)> = done.collect();
        self.acknowledged.extend(done);
        self.ended.retain(|e| e.number > seen);
        let running = self.running.iter().map(|(task, run)| Running {
            task: *task,
            run: run.run,
            checkpoint: self.checkpoint(run),
            percent: match (run.lasting, self.stalled) {
                (true, stalled) => {
                    if stalled || run.work < 300 {
                        0
                    } else {
                        100
                    }
                }
                (false, _) => (run.work * 100 / self.work_ms.max(1)) as u32,
            },
            gauge: self.gauge,
        });
        Ok(WorkerStatus {
            clock: self.clock as u64,
            born: self.born,
            running: running.collect(),
            ended: self.ended.clone(),
        })
    }

    fn checkpoint(&self, run: &Run) -> String {
        match (self.checkpoints, run.work / 200) {
            (false, _) | (_, 0) => String::new(),
            (true, number) => format!("{}-{number}", self.id),
        }
    }

    fn renew(&mut self, expiry: u64) {
        let max_expiry = self.clock as u64 + MAX_LEASE_MS;
        self.expiry = self.expiry.max(expiry.min(max_expiry));
    }

    fn end_all(&mut self, how: EndReason) {
        let runs: Vec<_> = self.runs().collect();
        for (task, run) in runs {
            self.end(task, run, how);
        }
    }

    fn end(&mut self, task: TaskId, run: u32, how: EndReason) {
        self.running.remove(&task);
        let highest = self.highest_runs.entry(task).or_default();
        *highest = (*highest).max(run);
        let number = self.next_end;
        self.next_end += 1;
        self.end_times.insert(number, self.last_step);
        self.ended.push(End {
            number,
            task,
            run,
            how,
            checkpoint: String::new(),
        });
    }
}
