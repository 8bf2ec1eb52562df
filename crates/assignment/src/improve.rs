//! Local search: giving surplus back and spreading what is crowded.

use std::cmp::Reverse;

use crate::Reason;
use crate::planner::Draft;

/// Most exchanges tried for one pool, and most members looked at for one to go.
const MAX_TRIES: usize = 8;

/// Most moves in one exchange.
const MAX_EXCHANGE_MOVES: usize = 16;

impl Draft<'_> {
    /// Improves pools one after the other for as long as the weights say that it pays.
    ///
    /// All give back first, so that exchanges have more racks to choose from.
    pub(crate) fn improve(&mut self) {
        let Some(spare) = self.spare else {
            return;
        };
        let fits: Vec<usize> = (0..self.capacities.len())
            .filter(|pool| !self.problem.specs[*pool].spare && self.deficit(*pool) == 0)
            .collect();
        for pool in &fits {
            self.release(*pool, spare);
        }
        for pool in fits {
            for _ in 0..MAX_TRIES {
                if !self.exchange(pool, spare) {
                    break;
                }
            }
        }
    }

    /// Gives members back that the pool can do without, from its largest racks first.
    fn release(&mut self, pool: usize, spare: usize) {
        while self.can_add_move() {
            let before = self.weighted_cost();
            let len = self.moves.len();
            let Some(n) = self.surplus_member(pool) else {
                return;
            };
            self.push(n, spare, Reason::Surplus);
            if self.weighted_cost() >= before {
                return self.undo_to(len);
            }
        }
    }

    /// Exchanges members of the largest racks for machines in racks that the pool uses less,
    /// until all those racks have shrunk and the pool can do with fewer; whether that paid.
    ///
    /// A machine comes before one goes, so that each prefix keeps demand.
    fn exchange(&mut self, pool: usize, spare: usize) -> bool {
        let before = self.weighted_cost();
        let len = self.moves.len();
        let largest = self.capacities[pool].largest();
        while self.capacities[pool].largest() == largest {
            if self.moves.len() - len >= MAX_EXCHANGE_MOVES || !self.swap(pool, spare, largest) {
                self.undo_to(len);
                return false;
            }
        }
        while self.can_add_move() {
            let Some(n) = self.surplus_member(pool) else {
                break;
            };
            self.push(n, spare, Reason::Surplus);
        }
        if self.weighted_cost() < before {
            return true;
        }
        self.undo_to(len);
        false
    }

    /// One in, one out of the largest rack.
    fn swap(&mut self, pool: usize, spare: usize, largest: u64) -> bool {
        if !self.can_add_move() {
            return false;
        }
        let Some(n) = self.best_free(pool) else {
            return false;
        };
        let rack = self.capacities[pool].rack(self.machines[n].rack);
        if rack + self.usable_slots(n, pool) >= largest {
            return false;
        }
        self.push(n, pool, Reason::Spread);
        let Some(n) = self.surplus_member(pool).filter(|_| self.can_add_move()) else {
            return false;
        };
        self.push(n, spare, Reason::Surplus);
        true
    }

    /// The member that the pool misses least, if it can do without one.
    fn surplus_member(&mut self, pool: usize) -> Option<usize> {
        let mut members: Vec<usize> = (0..self.machines.len())
            .filter(|n| self.machines[*n].pool == pool)
            .filter(|n| self.move_counts[*n] == 0)
            .collect();
        members.sort_by_key(|n| {
            let machine = &self.machines[*n];
            let useless = self.usable_slots(*n, pool) == 0;
            let crowd = self.capacities[pool].rack(machine.rack);
            (
                !useless,
                Reverse(crowd),
                machine.drain_secs,
                Reverse(self.usable_slots(*n, pool)),
                *n,
            )
        });
        // The first few stand for all: the rest lie in racks that are no more crowded.
        let few = members.into_iter().take(MAX_TRIES);
        few.into_iter().find(|n| self.can_leave(*n))
    }
}
