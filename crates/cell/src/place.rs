//! Which worker takes a task.
//!
//! Short work is packed: the fullest worker that has room takes it, so that others stay empty
//! and their instances can leave the pool. Lasting work goes where lasting work is already, as
//! far as the step's spread allows. What fills is kept away from what serves users.

use cactuswheel_model::Map;
use cactuswheel_work::{Room, Step, WorkerId};

/// A worker that may take work.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    pub(crate) worker: WorkerId,
    pub(crate) free: Room,
    pub(crate) labels: Vec<String>,
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
    /// Workers that the queue's policy allows; `None` if it has none.
    pub(crate) allowed: Option<&'a [WorkerId]>,
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
type Cost = (bool, bool, bool, std::cmp::Reverse<usize>, u64);

fn cost(c: &Candidate, wish: &Wish<'_>) -> Cost {
    let step = wish.step;
    let failed = wish.avoid == Some(&c.worker);
    let near = wish.rack.or(step.near.as_deref());
    let far = near.is_some_and(|rack| !c.labels.iter().any(|l| l == rack));
    let disturbs = (step.filler && c.serving > 0) || (step.serves() && c.fillers > 0);
    let company = match step.lasting {
        true => c.lasting,
        false => 0,
    };
    (
        failed,
        far,
        disturbs,
        std::cmp::Reverse(company),
        c.free.cpu,
    )
}
