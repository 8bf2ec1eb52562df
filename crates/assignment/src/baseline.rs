//! Simple planning algorithms, used as baselines for comparison.

use crate::planner::Draft;
use crate::{Cost, Problem, Reason};

/// Adds spare machines in index order until demand fits after the worst failure.
///
/// Returns the number of moves, the cost, and the slots missing after the worst failure.
pub fn first_fit(problem: &Problem) -> (usize, Cost, u64) {
    fill(problem, |draft, pool| {
        let mut free = draft
            .spare_machines
            .iter()
            .flatten()
            .copied()
            .collect::<Vec<_>>();
        free.sort_unstable();
        free.into_iter().find(|n| draft.usable_slots(*n, pool) > 0)
    })
}

/// Adds spare machines spread over racks until demand fits without any failure.
///
/// Returns the number of moves, the cost, and the slots missing after the worst failure.
pub fn spread_only(problem: &Problem) -> (usize, Cost, u64) {
    fill(problem, |draft, pool| {
        let whole = draft.capacities[pool].total >= problem.specs[pool].demand;
        if whole { None } else { draft.best_free(pool) }
    })
}

/// Adds the machine selected by `pick` to each pool until its demand fits or `pick` returns
/// `None`.
///
/// Returns the number of moves, the cost, and the slots missing after the worst failure.
fn fill(
    problem: &Problem,
    pick: impl Fn(&Draft<'_>, usize) -> Option<usize>,
) -> (usize, Cost, u64) {
    let mut draft = Draft::new(problem);
    for pool in 0..problem.specs.len() {
        while draft.deficit(pool) > 0 {
            let Some(n) = pick(&draft, pool) else {
                break;
            };
            draft.push(n, pool, Reason::Demand);
        }
    }
    let missing = (0..problem.specs.len()).map(|pool| draft.deficit(pool));
    (draft.moves.len(), draft.cost(), missing.sum())
}
