//! Making demand fit.

use std::cmp::Reverse;

use crate::Reason;
use crate::planner::Draft;

/// How well a machine mends a pool: higher is better.
type Score = (
    u64,
    Reverse<u64>,
    Reverse<u64>,
    Reverse<u64>,
    usize,
    Reverse<usize>,
);

impl Draft<'_> {
    /// Gives machines to pools whose demand does not fit, the largest demand first.
    ///
    /// A large pool specs the most racks, and racks are free at the beginning.
    pub(crate) fn repair(&mut self) {
        let mut short: Vec<usize> = (0..self.capacities.len())
            .filter(|pool| self.deficit(*pool) > 0)
            .collect();
        short.sort_by_key(|pool| Reverse(self.problem.specs[*pool].demand));
        for pool in short {
            self.fill(pool);
        }
    }

    /// Adds machines to a pool until its demand fits.
    ///
    /// Machines that would lie in its largest rack bring nothing by themselves; those at the
    /// end that brought nothing are left where they were.
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

    /// The best machine of a spare pool.
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

    /// The best machine that another pool can do without.
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

    /// Useful gain first, then least waste, least work to wait for, the emptiest rack and data
    /// centre, and a rack that has many free ones left for other pools.
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
