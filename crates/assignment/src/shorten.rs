//! Local search: giving surplus back and spreading what is crowded.

use std::cmp::Reverse;

use crate::Reason;
use crate::planner::Draft;

/// Most exchanges tried for one pool, and most members looked at for one to go.
const TRIES: usize = 8;

/// Most moves in one exchange.
const EXCHANGED: usize = 16;

impl Draft<'_> {
    /// Improves pools one after the other for as long as the weights say that it pays.
    ///
    /// All give back first, so that exchanges have more racks to choose from.
    pub(crate) fn shorten(&mut self) {
        let Some(spare) = self.spare else {
            return;
        };
        let fits: Vec<usize> = (0..self.loads.len())
            .filter(|pool| !self.problem.needs[*pool].spare && self.deficit(*pool) == 0)
            .collect();
        for pool in &fits {
            self.release(*pool, spare);
        }
        for pool in fits {
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

    /// Exchanges members of the largest racks for machines in racks that the pool uses less,
    /// until all those racks have shrunk and the pool can do with fewer; whether that paid.
    ///
    /// A machine comes before one goes, so that each prefix keeps demand.
    fn exchange(&mut self, pool: usize, spare: usize) -> bool {
        let before = self.weigh();
        let len = self.moves.len();
        let largest = self.loads[pool].largest();
        while self.loads[pool].largest() == largest {
            if self.moves.len() - len >= EXCHANGED || !self.swap(pool, spare, largest) {
                self.rewind(len);
                return false;
            }
        }
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

    /// One in, one out of the largest rack.
    fn swap(&mut self, pool: usize, spare: usize, largest: u64) -> bool {
        if !self.has_room() {
            return false;
        }
        let Some(n) = self.best_free(pool) else {
            return false;
        };
        let rack = self.loads[pool].rack(self.machines[n].rack);
        if rack + self.worth(n, pool) >= largest {
            return false;
        }
        self.push(n, pool, Reason::Spread);
        let Some(n) = self.surplus(pool).filter(|_| self.has_room()) else {
            return false;
        };
        self.push(n, spare, Reason::Surplus);
        true
    }

    /// The member that the pool misses least, if it can do without one.
    fn surplus(&mut self, pool: usize) -> Option<usize> {
        let mut members: Vec<usize> = (0..self.machines.len())
            .filter(|n| self.machines[*n].pool == pool)
            .filter(|n| self.moved[*n] == 0)
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
