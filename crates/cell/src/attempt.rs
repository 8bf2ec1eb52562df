//! A run of a task on one worker.

use cactuswheel_model::Time;
use cactuswheel_work::WorkerId;

use crate::crash::Crash;
use crate::progress::Progress;

/// State of a run, as far as the owner knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Not ordered yet; the journal has to hold the run first.
    Planned,
    /// The start order was sent and has not been answered.
    Ordered,
    /// The start order was not answered, or an earlier owner sent it: the run may start now or
    /// later.
    Unknown,
    /// The run is on the worker.
    Running,
    /// A stop order was sent.
    Stopping,
}

/// A run of a task on one worker.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) worker: WorkerId,
    /// Start time of the worker's incarnation, in milliseconds since 1970.
    pub(crate) born: u64,
    pub(crate) run: u32,
    pub(crate) phase: Phase,
    /// When the run entered its phase.
    pub(crate) phase_since: Time,
    /// Highest fencing token that the start order may carry; 0 if an earlier owner sent the
    /// order.
    pub(crate) fence: u64,
    /// Whether the run certainly started, so that no start order can start it again.
    pub(crate) start_confirmed: bool,
    /// Whether the worker has listed the run in the incarnation `born`. The answer to a start
    /// order does not tell which incarnation carried it out.
    pub(crate) listed: bool,
    /// Set when a new incarnation of the worker was found before the run was listed. The crash
    /// counts if the run turns out not to be in the new incarnation.
    pub(crate) crash: Option<Crash>,
    /// When the run was seen to start; until then, when this owner first knew of it.
    pub(crate) started: Time,
    pub(crate) progress: Progress,
    /// Tail latency of a serving run, or processor usage, at the last poll.
    pub(crate) gauge: u64,
    /// Pace last ordered, in percent; runs start at full pace. `None` if the outcome of the last
    /// order is not known to be success.
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
            progress: Progress::new(now),
            gauge: 0,
            pace: Some(100),
        }
    }

    /// Whether a long-running run is active: it has started up and does its work.
    pub(crate) fn is_active(&self) -> bool {
        self.phase == Phase::Running && self.progress.percent >= 100
    }

    /// Whether this owner planned the run.
    pub(crate) fn is_own(&self) -> bool {
        self.fence != 0
    }

    pub(crate) fn enter(&mut self, phase: Phase, now: Time) {
        self.phase = phase;
        self.phase_since = now;
    }
}
