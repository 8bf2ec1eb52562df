//! Local search: giving surplus back and spreading what is crowded.

use std::cmp::Reverse;

use crate::Reason;
use crate::planner::Draft;

/// Most exchanges tried for one pool.
const TRIES: usize = 8;

impl Draft<'_> {
    /// Improves pools one after the other for as long as the weights say that it pays.
    pub(crate) fn shorten(&mut self) {
        let Some(spare) = self.spare else {
            return;
        };
        for pool in 0..self.loads.len() {
            if self.problem.needs[pool].spare || self.deficit(pool) > 0 {
                continue;
            }
            self.release(pool, spare);
            for _ in 0..TRIES {
                if !self.exchange(pool, spare) {
                    break;
                }
            }
        }
    }

    /// Gives members back that the pool can do without, from its largest racks first.
    fn release(&mut self, pool: usize, spare: usize) {
        while self.has_room() {
            let before = self.weigh();
            let len = self.moves.len();
            let Some(n) = self.surplus(pool) else {
                return;
            };
            self.push(n, spare, Reason::Surplus);
            if self.weigh() >= before {
                return self.rewind(len);
            }
        }
    }

    /// Takes one machine in a rack that the pool does not use, so that several in crowded
    /// racks can go; whether that paid.
    fn exchange(&mut self, pool: usize, spare: usize) -> bool {
        let load = &self.loads[pool];
        let crowded = load.largest() > load.total.div_ceil(load.members.max(1) as u64);
        if !crowded || !self.has_room() {
            return false;
        }
        let before = self.weigh();
        let len = self.moves.len();
        let Some(n) = self.best_free(pool) else {
            return false;
        };
        self.push(n, pool, Reason::Spread);
        while self.has_room() {
            let Some(n) = self.surplus(pool) else {
                break;
            };
            self.push(n, spare, Reason::Surplus);
        }
        if self.weigh() < before {
            return true;
        }
        self.rewind(len);
        false
    }

    /// The member that the pool misses least, if it can do without one.
    fn surplus(&mut self, pool: usize) -> Option<usize> {
        let mut members: Vec<usize> = (0..self.machines.len())
            .filter(|n| self.machines[*n].pool == pool)
            .filter(|n| !self.machines[*n].held && !self.moved[*n])
            .collect();
        members.sort_by_key(|n| {
            let machine = &self.machines[*n];
            let useless = self.worth(*n, pool) == 0;
            let crowd = self.loads[pool].rack(machine.rack);
            (
                !useless,
                Reverse(crowd),
                machine.drain,
                Reverse(self.worth(*n, pool)),
                *n,
            )
        });
        // The first few stand for all: the rest lie in racks that are no more crowded.
        let few = members.into_iter().take(TRIES);
        few.into_iter().find(|n| self.can_leave(*n))
    }
}
