//! Greedy repair of shortages.

use std::cmp::Reverse;

use crate::Reason;
use crate::planner::Draft;

/// How well a machine suits a pool with a shortage; higher is better.
type Score = (
    u64,
    Reverse<u64>,
    Reverse<u64>,
    Reverse<u64>,
    usize,
    Reverse<usize>,
);

impl Draft<'_> {
    /// Adds machines to the pools whose demand does not fit, in order of decreasing demand.
    ///
    /// The largest pool needs the most racks, and most racks are still free at the beginning.
    pub(crate) fn repair(&mut self) {
        let mut short: Vec<usize> = (0..self.capacities.len())
            .filter(|pool| self.deficit(*pool) > 0)
            .collect();
        short.sort_by_key(|pool| Reverse(self.problem.specs[*pool].demand));
        for pool in short {
            self.fill(pool);
        }
    }

    /// Adds machines to a pool until its demand fits, no machine is left or the plan reaches its
    /// limit of moves.
    ///
    /// A machine in the pool's largest rack does not reduce the shortage on its own. If no more
    /// machines are found, the last moves that did not reduce the shortage are undone.
    fn fill(&mut self, pool: usize) {
        let mut useful = self.moves.len();
        let mut least = self.deficit(pool);
        while self.deficit(pool) > 0 && self.can_add_move() {
            let found = self.best_free(pool).or_else(|| self.best_donor(pool));
            let Some(n) = found else {
                return self.undo_to(useful);
            };
            self.push(n, pool, Reason::Demand);
            if self.deficit(pool) < least {
                least = self.deficit(pool);
                useful = self.moves.len();
            }
        }
    }

    pub(crate) fn deficit(&self, pool: usize) -> u64 {
        self.capacities[pool].deficit(&self.problem.specs[pool])
    }

    /// The machine of a spare pool with the highest score.
    pub(crate) fn best_free(&self, pool: usize) -> Option<usize> {
        let mut best: Option<(Score, usize)> = None;
        for rack in &self.spare_machines {
            for n in rack.iter().copied() {
                let Some(score) = self.score(n, pool, rack.len()) else {
                    continue;
                };
                if best.is_none_or(|(top, _)| score > top) {
                    best = Some((score, n));
                }
            }
        }
        best.map(|(_, n)| n)
    }

    /// The machine with the highest score that another pool can release.
    fn best_donor(&mut self, pool: usize) -> Option<usize> {
        let mut scored: Vec<_> = (0..self.machines.len())
            .filter(|n| self.machines[*n].pool != pool)
            .filter(|n| !self.problem.specs[self.machines[*n].pool].spare)
            .filter_map(|n| self.score(n, pool, 0).map(|score| (score, n)))
            .collect();
        scored.sort_by_key(|(score, _)| Reverse(*score));
        scored
            .into_iter()
            .map(|(_, n)| n)
            .find(|n| self.can_leave(*n))
    }

    /// Scores a machine for a pool, or returns `None` if it cannot be used.
    ///
    /// The criteria are, in order: the most added capacity up to the demand, the fewest wasted
    /// slots, the shortest drain, the least capacity of the pool in the same rack (and data
    /// centre, if its loss must be tolerated), and the most spare machines left in the rack for
    /// other pools. The lowest index breaks ties.
    fn score(&self, n: usize, pool: usize, left: usize) -> Option<Score> {
        let machine = &self.machines[n];
        let spec = &self.problem.specs[pool];
        let capacity = &self.capacities[pool];
        let slots = spec.usable_slots(machine);
        if slots == 0 || !self.may_join(n, pool) {
            return None;
        }
        let before = capacity.surviving(spec).min(spec.demand);
        let after = capacity
            .surviving_with(machine, slots, spec)
            .min(spec.demand);
        let crowd = capacity.rack(machine.rack) + slots;
        let gain = after.saturating_sub(before);
        Some((
            gain,
            Reverse(slots - gain.min(slots)),
            Reverse(machine.drain_secs),
            Reverse(crowd + capacity.dc(machine.dc) * u64::from(spec.any_dc)),
            left,
            Reverse(n),
        ))
    }
}
