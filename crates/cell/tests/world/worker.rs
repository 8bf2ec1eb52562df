//! A fake worker: leases, fences, ends, orders that are carried out late, rebirth.

use std::net::SocketAddr;
use std::time::Duration;

use cactuswheel_model::{Map, Time};
use cactuswheel_work::{
    End, EndReason, PollError, PollOrder, Presence, Room, Running, StartOrder, StartOutcome,
    StartRefusal, StopOrder, TaskId, WorkerEntry, WorkerId, WorkerStatus,
};

/// Longest lease that a worker grants, on its clock.
const LONGEST: u64 = 10_000;

/// How slow a worker's clock goes.
const RATE: f64 = 0.98;

/// What becomes of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// Carried out and answered.
    Answered,
    /// Carried out; the answer is lost.
    Done,
    /// Never carried out, no answer.
    Lost,
    /// Carried out after this time, no answer.
    Late(Duration),
    /// Never sent.
    Unreachable,
    /// Another worker has its address, and refuses.
    OtherLife,
}

#[derive(Debug, Clone)]
struct Run {
    run: u32,
    /// Work done, in milliseconds.
    work: u64,
    lasting: bool,
}

/// A fake worker.
#[derive(Debug, Clone)]
pub struct FakeWorker {
    pub id: WorkerId,
    pub addr: SocketAddr,
    pub born: u64,
    /// Powered on.
    pub up: bool,
    /// Orders reach it.
    pub linked: bool,
    /// Orders get lost on the way.
    pub mute: bool,
    /// Looks that it has answered.
    pub looks: usize,
    /// Time that a stop takes; until then the run is listed as before.
    pub stopping: Duration,
    /// Its work makes no progress.
    pub still: bool,
    /// Everything that runs here fails.
    pub failing: bool,
    /// Work that a short task takes, in milliseconds.
    pub work: u64,
    /// Tail latency that its lasting tasks show.
    pub gauge: u64,
    /// Tasks whose end as done was acknowledged, and when they ended. Those whose worker's lease
    /// ran out in between are left out: their owner had to give them up.
    pub acknowledged: Vec<(TaskId, Time)>,
    /// Every start that was carried out.
    pub begun: Vec<(TaskId, u32, Time)>,
    /// When each end happened, by its number.
    ends: Map<u64, Time>,
    /// Ends up to this number came before a lease ran out.
    lapsed: u64,
    start: Time,
    clock: f64,
    stepped: Time,
    fence: u64,
    expiry: u64,
    running: Map<TaskId, Run>,
    ended: Vec<End>,
    /// Highest run of each task that ended or was stopped here.
    barred: Map<TaskId, u32>,
    next: u64,
    late: Vec<(Time, StartOrder)>,
    /// Runs that are being stopped, and when they end.
    stops: Vec<(Time, TaskId, u32)>,
    /// Jobs whose tasks last.
    pub lasting: Vec<u64>,
    /// Tasks that take the worker down, a moment after they have begun.
    pub lethal: Vec<TaskId>,
    /// Time from their start to that, in milliseconds.
    pub fuse: u64,
    /// When it went down, until another life follows.
    pub crashed: Option<Time>,
    pub room: Room,
    /// Most runs that were here at once.
    pub peak: usize,
    /// Tasks that ran here when a life ended.
    pub lost: Vec<TaskId>,
    /// Another life has followed.
    pub succeeded: bool,
    pub zone: &'static str,
}

impl FakeWorker {
    pub fn new(number: usize, now: Time) -> Self {
        Self {
            id: format!("w{number}").into(),
            addr: SocketAddr::from(([127, 0, 0, 1], 2_000 + number as u16)),
            born: now.get(),
            up: true,
            linked: true,
            mute: false,
            looks: 0,
            stopping: Duration::ZERO,
            still: false,
            failing: false,
            work: 800,
            gauge: 0,
            acknowledged: Vec::new(),
            begun: Vec::new(),
            ends: Map::default(),
            lapsed: 0,
            start: now,
            clock: 5_000.0,
            stepped: now,
            fence: 0,
            expiry: 0,
            running: Map::default(),
            ended: Vec::new(),
            barred: Map::default(),
            next: 1,
            late: Vec::new(),
            stops: Vec::new(),
            lasting: Vec::new(),
            lethal: Vec::new(),
            fuse: 10,
            crashed: None,
            room: Self::full_room(),
            peak: 0,
            lost: Vec::new(),
            succeeded: false,
            zone: "dc",
        }
    }

    fn full_room() -> Room {
        Room {
            cpu: 32_000,
            memory: 64_000,
            gpu: 0,
        }
    }

    pub fn entry(&self) -> WorkerEntry {
        WorkerEntry {
            id: self.id.clone(),
            service: "pool".into(),
            addr: self.addr,
            zone: self.zone.into(),
            presence: Presence::Ready,
            born: self.born,
            room: self.room,
            labels: vec!["a".into(), "r1".into()],
        }
    }

    pub fn runs(&self) -> impl Iterator<Item = (TaskId, u32)> {
        self.running.iter().map(|(t, r)| (*t, r.run))
    }

    /// Ends that were not acknowledged yet.
    pub fn listed(&self) -> usize {
        self.ended.len()
    }

    pub fn count(&self) -> usize {
        self.running.len()
    }

    /// Whether what runs fits; every task of these tests takes four cores.
    pub fn is_within(&self) -> bool {
        self.running.len() as u64 * 4_000 <= self.room.cpu
    }

    /// It crashes, and starts again under its name, knowing nothing.
    pub fn reborn(&mut self, now: Time) {
        let fresh = Self {
            id: self.id.clone(),
            addr: self.addr,
            born: now.get(),
            start: now,
            stepped: now,
            lasting: self.lasting.clone(),
            lethal: self.lethal.clone(),
            fuse: self.fuse,
            lost: self.running.keys().chain(&self.lost).copied().collect(),
            acknowledged: self.acknowledged.clone(),
            begun: self.begun.clone(),
            work: self.work,
            ..Self::new(0, now)
        };
        *self = fresh;
    }

    /// A run that no owner of the cell knows.
    pub fn add_stray(&mut self, task: TaskId) {
        let run = Run {
            run: 1,
            work: 0,
            lasting: true,
        };
        self.running.insert(task, run);
    }

    /// It goes down with all that runs there, without a word.
    pub fn crash(&mut self, now: Time) {
        self.up = false;
        self.crashed = Some(now);
        self.lost.extend(self.running.drain().map(|(t, _)| t));
        self.late.clear();
        self.stops.clear();
    }

    /// The life that follows a crash: another name at the same address.
    pub fn successor(&mut self, now: Time) -> Self {
        let mut next = self.clone();
        self.succeeded = true;
        next.reborn(now);
        next.id = format!("{}'", self.id).into();
        next.acknowledged.clear();
        next.begun.clear();
        next.lost.clear();
        next
    }

    pub fn step(&mut self, now: Time) {
        let passed = now.since(self.stepped).as_millis() as f64;
        self.stepped = now;
        if !self.up {
            return;
        }
        self.clock += passed * RATE;
        let due: Vec<StartOrder> = {
            let (ripe, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.late)
                .into_iter()
                .partition(|(at, _)| *at <= now);
            self.late = later;
            ripe.into_iter().map(|(_, o)| o).collect()
        };
        for order in due {
            self.begin(&order);
        }
        let ripe: Vec<_> = self.stops.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, task, run) in ripe {
            self.end_stopped(task, run);
        }
        if self.clock as u64 > self.expiry {
            // With nothing running there is no lease that could run out.
            if !self.running.is_empty() {
                self.lapsed = self.next - 1;
            }
            self.end_all(EndReason::Expired);
        }
        let lethal = |task: &TaskId| self.lethal.contains(task);
        if self
            .running
            .iter()
            .any(|(t, r)| lethal(t) && r.work >= self.fuse)
        {
            self.crash(now);
            return;
        }
        let mut over = Vec::new();
        for (task, run) in &mut self.running {
            if self.still {
                continue;
            }
            run.work += passed as u64;
            if !run.lasting && run.work >= self.work {
                over.push((*task, run.run));
            }
        }
        for (task, run) in over {
            let how = if self.failing {
                EndReason::Failed
            } else {
                EndReason::Done
            };
            self.end(task, run, how);
        }
    }

    pub fn start(&mut self, order: &StartOrder, fate: Fate, now: Time) -> StartOutcome {
        match fate {
            Fate::Answered | Fate::Done => self.begin(order),
            Fate::Late(wait) => {
                self.late.push((now.after(wait), order.clone()));
                StartOutcome::Unknown
            }
            Fate::OtherLife => StartOutcome::Refused(StartRefusal::OtherLife),
            Fate::Lost | Fate::Unreachable => StartOutcome::Unknown,
        }
    }

    fn begin(&mut self, order: &StartOrder) -> StartOutcome {
        let refused = |why| StartOutcome::Refused(why);
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
            .barred
            .get(&order.task)
            .is_some_and(|r| *r >= order.run)
        {
            return refused(StartRefusal::Old);
        }
        let run = Run {
            run: order.run,
            work: 0,
            lasting: self.lasting.contains(&order.task.job().get()),
        };
        self.running.insert(order.task, run);
        self.peak = self.peak.max(self.running.len());
        self.begun.push((order.task, order.run, self.stepped));
        StartOutcome::Started
    }

    pub fn stop(&mut self, order: &StopOrder, fate: Fate, now: Time) {
        if !matches!(fate, Fate::Answered | Fate::Done) || order.fence < self.fence {
            return;
        }
        self.fence = order.fence;
        let barred = self.barred.entry(order.task).or_default();
        *barred = (*barred).max(order.run);
        match self.stopping.is_zero() {
            true => self.end_stopped(order.task, order.run),
            false => self
                .stops
                .push((now.after(self.stopping), order.task, order.run)),
        }
    }

    /// Whether an order ends a lasting run that is at work.
    pub fn would_end(&self, order: &StopOrder, fate: Fate) -> bool {
        let obeyed = matches!(fate, Fate::Answered | Fate::Done) && order.fence >= self.fence;
        let run = self.running.get(&order.task);
        obeyed && run.is_some_and(|r| r.run == order.run) && self.is_at_work(order.task)
    }

    /// Whether a lasting task is at work here, and was not told to stop.
    pub fn is_at_work(&self, task: TaskId) -> bool {
        let run = self.running.get(&task);
        let run = run.filter(|r| self.up && r.lasting && r.work >= 300 && !self.still);
        run.is_some_and(|r| !self.stops.iter().any(|(_, t, n)| *t == task && *n == r.run))
    }

    fn end_stopped(&mut self, task: TaskId, run: u32) {
        if self.running.get(&task).is_some_and(|r| r.run == run) {
            self.end(task, run, EndReason::Stopped);
        }
    }

    pub fn hold(
        &mut self,
        order: &PollOrder,
        fate: Fate,
        _: Time,
    ) -> Result<WorkerStatus, PollError> {
        if !matches!(fate, Fate::Answered | Fate::Done) {
            return Err(PollError::Unknown("lost".into()));
        }
        if order.fence < self.fence {
            return Err(PollError::Fence);
        }
        self.looks += 1;
        self.fence = order.fence;
        if let Some(expiry) = order.expiry {
            self.renew(expiry);
        }
        // A connection that the order's life has answered cannot reach another one.
        let seen = if order.born == self.born {
            order.seen
        } else {
            0
        };
        let noted = self.ended.iter().filter(|e| e.number <= seen);
        let noted = noted.filter(|e| e.number > self.lapsed);
        let done = noted.filter(|e| e.how == EndReason::Done);
        let done = done.map(|e| (e.task, self.ends[&e.number]));
        let done: Vec<(TaskId, Time)> = done.collect();
        self.acknowledged.extend(done);
        self.ended.retain(|e| e.number > seen);
        let running = self.running.iter().map(|(task, run)| Running {
            task: *task,
            run: run.run,
            checkpoint: String::new(),
            percent: match (run.lasting, self.still) {
                (true, still) => {
                    if still || run.work < 300 {
                        0
                    } else {
                        100
                    }
                }
                (false, _) => (run.work * 100 / self.work.max(1)) as u32,
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

    fn renew(&mut self, expiry: u64) {
        let most = self.clock as u64 + LONGEST;
        self.expiry = self.expiry.max(expiry.min(most));
    }

    fn end_all(&mut self, how: EndReason) {
        let runs: Vec<_> = self.runs().collect();
        for (task, run) in runs {
            self.end(task, run, how);
        }
    }

    fn end(&mut self, task: TaskId, run: u32, how: EndReason) {
        self.running.remove(&task);
        let barred = self.barred.entry(task).or_default();
        *barred = (*barred).max(run);
        let number = self.next;
        self.next += 1;
        self.ends.insert(number, self.stepped);
        self.ended.push(End {
            number,
            task,
            run,
            how,
            checkpoint: String::new(),
        });
    }
}
