//! Local search: releases surplus members and spreads members over more racks.

use std::cmp::Reverse;

use crate::Reason;
use crate::planner::Draft;

/// Maximum number of exchanges tried for one pool, and of members examined to find one that can
/// leave.
const MAX_TRIES: usize = 8;

/// Maximum number of moves in the first phase of an exchange, which shrinks the largest racks.
const MAX_EXCHANGE_MOVES: usize = 16;

impl Draft<'_> {
    /// Improves each pool whose demand fits, for as long as the weighted cost decreases.
    ///
    /// All pools release their surplus first, so that exchanges have more racks to choose from.
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

    /// Moves surplus members to the spare pool, from the largest racks first, while that lowers the
    /// weighted cost.
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

    /// Exchanges members of the pool's largest racks for spare machines in racks that the pool
    /// uses less, until all of its largest racks have shrunk, and then releases surplus members.
    ///
    /// Returns whether the weighted cost decreased; otherwise, all moves are undone. Each
    /// replacement joins before a member leaves, so that every prefix of the moves fits demand.
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

    /// Adds one spare machine to the pool and releases one surplus member. The machine's rack must
    /// stay smaller than `largest`.
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

    /// The member that is best released, if the pool can release any: useless members first, then
    /// those in the largest rack, with the shortest drain, and with the most usable slots.
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
        // Checking only the first few is enough: the other members are in racks that are no more
        // crowded.
        let few = members.into_iter().take(MAX_TRIES);
        few.into_iter().find(|n| self.can_leave(*n))
    }
}
