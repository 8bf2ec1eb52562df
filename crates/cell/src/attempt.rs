//! One run of a task on one worker.

use cactuswheel_model::Time;
use cactuswheel_work::WorkerId;

use crate::crash::Crash;

/// How far a run is, as far as its owner knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The journal has to hold it before it is ordered.
    Planned,
    /// Its order is on the way.
    Ordered,
    /// Its order has no answer, or was given by an earlier owner: it may start, now or later.
    Unknown,
    /// It is there.
    Running,
    /// It was told to stop.
    Stopping,
}

/// One run of a task on one worker.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) worker: WorkerId,
    /// The worker's life, as its start in milliseconds since 1970.
    pub(crate) born: u64,
    pub(crate) run: u32,
    pub(crate) phase: Phase,
    /// Since when it is in this phase.
    pub(crate) phase_since: Time,
    /// Highest fencing token that its order may carry; 0 if an earlier owner gave it.
    pub(crate) fence: u64,
    /// Whether it surely started: if so, no order can start it again.
    pub(crate) start_confirmed: bool,
    /// Whether the worker has listed it, in the life that is noted here. An answer to its order
    /// does not tell which life gave it.
    pub(crate) listed: bool,
    /// Another life of the worker was met before it was listed. Counts if the run is not in that one.
    pub(crate) crash: Option<Crash>,
    /// When the run was seen to start; before that, since when it is known.
    pub(crate) started: Time,
    /// Share of its work that was done at the last look.
    pub(crate) percent: u32,
    /// When that share last rose.
    pub(crate) last_progress: Time,
    /// Tail latency, or processor in use, at the last look.
    pub(crate) gauge: u64,
    /// Share at which it was last told to work; runs start at full pace.
    pub(crate) pace: Option<u32>,
}

impl Attempt {
    pub(crate) fn new(worker: WorkerId, born: u64, run: u32, phase: Phase, now: Time) -> Self {
        Self {
            worker,
            born,
            run,
            phase,
            phase_since: now,
            fence: 0,
            start_confirmed: false,
            listed: false,
            crash: None,
            started: now,
            percent: 0,
            last_progress: now,
            gauge: 0,
            pace: Some(100),
        }
    }

    /// Whether a lasting run does its work.
    pub(crate) fn is_active(&self) -> bool {
        self.phase == Phase::Running && self.percent >= 100
    }

    /// Whether this owner planned it.
    pub(crate) fn is_own(&self) -> bool {
        self.fence != 0
    }

    pub(crate) fn enter(&mut self, phase: Phase, now: Time) {
        self.phase = phase;
        self.phase_since = now;
    }
}
