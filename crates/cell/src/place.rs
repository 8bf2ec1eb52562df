//! Which worker takes a task.
//!
//! Short work is packed: the fullest worker that has room takes it, so that others stay empty
//! and their instances can leave the pool. The tasks of one job stay in one failure domain. Lasting
//! work goes where lasting work is already, as
//! far as the step's spread allows. What fills is kept away from what serves users.

use cactuswheel_model::Map;
use cactuswheel_work::{Room, Step, WorkerId, ZoneName};

/// A worker that may take work.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    pub(crate) worker: WorkerId,
    pub(crate) free: Room,
    pub(crate) labels: Vec<String>,
    pub(crate) zone: ZoneName,
    /// Runs there.
    pub(crate) runs: usize,
    /// Lasting runs there.
    pub(crate) lasting: usize,
    /// Runs there that serve users.
    pub(crate) serving: usize,
    /// Runs there that fill.
    pub(crate) fillers: usize,
    /// Takes one task at a time.
    pub(crate) trial: bool,
    /// Its instance is to be maintained before long.
    pub(crate) due: bool,
}

/// Where the first task of a job is: its data centre and rack.
///
/// Failure: a data centre with a quarter of the workers is cut off for seconds. A job of eight
/// tasks that were placed wherever there was room has a task there nine times in ten, and waits
/// for it until its lease has run out. With its tasks in one data centre, and in one rack of it
/// as far as there is room, three jobs in four are not touched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Home {
    pub(crate) zone: ZoneName,
    pub(crate) rack: Option<String>,
}

impl Home {
    pub(crate) fn of(c: &Candidate) -> Self {
        Self {
            zone: c.zone.clone(),
            rack: c.labels.get(1).cloned(),
        }
    }

    /// How far a candidate is from it.
    fn distance(&self, c: &Candidate) -> Distance {
        if c.zone != self.zone {
            return Distance::Elsewhere;
        }
        match c.labels.get(1) == self.rack.as_ref() {
            true => Distance::Rack,
            false => Distance::Zone,
        }
    }
}

/// What two places have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    Rack,
    Zone,
    Elsewhere,
}

/// What is asked of a place.
#[derive(Debug)]
pub(crate) struct Wish<'a> {
    pub(crate) step: &'a Step,
    /// Tasks of the step on each worker.
    pub(crate) beside: &'a Map<WorkerId, u32>,
    /// Worker on which the task failed.
    pub(crate) avoid: Option<&'a WorkerId>,
    /// Rack on which the rest of the step runs, where that matters.
    pub(crate) rack: Option<&'a str>,
    /// Where the job's other tasks are, if any runs.
    pub(crate) home: Option<&'a Home>,
    /// Workers that the queue's policy allows; `None` if it has none.
    pub(crate) allowed: Option<&'a [WorkerId]>,
    /// Whether the fullest worker goes first, or the emptiest.
    pub(crate) pack: bool,
}

/// Index of the best candidate, if any can take the task.
pub(crate) fn choose(candidates: &[Candidate], wish: &Wish<'_>) -> Option<usize> {
    let fitting = candidates.iter().enumerate();
    let fitting = fitting.filter(|(_, c)| fits(c, wish));
    fitting.min_by_key(|(_, c)| cost(c, wish)).map(|(i, _)| i)
}

fn fits(c: &Candidate, wish: &Wish<'_>) -> bool {
    let step = wish.step;
    let label = step.label.as_ref();
    let beside = wish.beside.get(&c.worker).copied().unwrap_or_default();
    step.reserved().fits(c.free)
        && (!c.trial || c.runs == 0)
        && label.is_none_or(|l| c.labels.contains(l))
        && (step.spread == 0 || beside < step.spread)
        && wish.allowed.is_none_or(|a| a.contains(&c.worker))
}

/// Lower is better; earlier parts decide.
type Cost = (
    bool,
    bool,
    bool,
    bool,
    std::cmp::Reverse<usize>,
    Distance,
    u64,
);

fn cost(c: &Candidate, wish: &Wish<'_>) -> Cost {
    let step = wish.step;
    let failed = wish.avoid == Some(&c.worker);
    let near = wish.rack.or(step.near.as_deref());
    let far = near.is_some_and(|rack| !c.labels.iter().any(|l| l == rack));
    let disturbs = (step.filler && c.serving > 0) || (step.serves() && c.fillers > 0);
    // Failure: lasting work that leaves for a wave goes to an instance of the same wave, and has
    // to leave again; its budget lets one task move at a time, so the wave is late.
    let moves_again = step.lasting && c.due;
    let company = match step.lasting {
        true => c.lasting,
        false => 0,
    };
    // Lasting work is better apart: its step's budget bears the loss of a few tasks.
    let home = wish.home.filter(|_| !step.lasting);
    let left = match wish.pack {
        true => c.free.cpu,
        false => u64::MAX - c.free.cpu,
    };
    let distance = home.map_or(Distance::Rack, |h| h.distance(c));
    (
        failed,
        far,
        disturbs,
        moves_again,
        std::cmp::Reverse(company),
        distance,
        left,
    )
}
