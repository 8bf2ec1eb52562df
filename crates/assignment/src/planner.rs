//! The planner: repairs shortages first, then improves the cost.

use crate::{Cost, Machine, Move, Plan, PoolCapacity, Problem, Reason, Shortage};

/// Plans at most [`Problem::max_moves`] moves from the current state.
pub fn plan(problem: &Problem) -> Plan {
    let mut draft = Draft::new(problem);
    draft.repair();
    draft.improve();
    // Members released by some pools may resolve shortages of others.
    draft.repair();
    draft.finish()
}

/// A plan under construction.
pub(crate) struct Draft<'a> {
    pub(crate) problem: &'a Problem,
    pub(crate) machines: Vec<Machine>,
    pub(crate) capacities: Vec<PoolCapacity>,
    /// Movable machines in spare pools, by rack.
    pub(crate) spare_machines: Vec<Vec<usize>>,
    /// Number of moves of each machine in this plan: at most one, or two if the first one went to
    /// the spare pool.
    pub(crate) move_counts: Vec<u8>,
    pub(crate) moves: Vec<(usize, usize, usize, Reason)>,
    /// The spare pool that receives surplus members.
    pub(crate) spare: Option<usize>,
}

impl<'a> Draft<'a> {
    pub(crate) fn new(problem: &'a Problem) -> Self {
        let mut spare_machines = vec![Vec::new(); problem.racks];
        for (n, machine) in problem.machines.iter().enumerate() {
            if problem.specs[machine.pool].spare && machine.is_movable() {
                spare_machines[machine.rack].push(n);
            }
        }
        Self {
            problem,
            machines: problem.machines.clone(),
            capacities: problem.capacities(),
            spare_machines,
            move_counts: vec![0; problem.machines.len()],
            moves: Vec::new(),
            spare: problem.specs.iter().position(|n| n.spare),
        }
    }

    /// Whether the plan has not reached its limit of moves.
    pub(crate) fn can_add_move(&self) -> bool {
        self.moves.len() < self.problem.max_moves
    }

    pub(crate) fn usable_slots(&self, n: usize, pool: usize) -> u64 {
        self.problem.specs[pool].usable_slots(&self.machines[n])
    }

    /// Whether a machine is movable, has not moved in this plan yet, and can leave its pool
    /// without violating a hard constraint.
    pub(crate) fn can_leave(&mut self, n: usize) -> bool {
        let machine = &self.machines[n];
        if !machine.is_movable() || self.move_counts[n] > 0 {
            return false;
        }
        let spec = &self.problem.specs[machine.pool];
        self.capacities[machine.pool].can_remove(machine, spec)
    }

    /// Whether the previous moves of a machine in this plan allow it to join a pool.
    ///
    /// A machine that was released to the spare pool in this plan may move on to a pool other
    /// than its original one.
    pub(crate) fn may_join(&self, n: usize, pool: usize) -> bool {
        match self.move_counts[n] {
            0 => true,
            1 => Some(self.machines[n].pool) == self.spare && self.problem.machines[n].pool != pool,
            _ => false,
        }
    }

    /// Appends a move. The caller must have checked that it keeps the hard constraints.
    pub(crate) fn push(&mut self, n: usize, to: usize, reason: Reason) {
        let from = self.machines[n].pool;
        self.reassign(n, to);
        self.move_counts[n] += 1;
        self.moves.push((n, from, to, reason));
    }

    /// Undoes the newest moves until `len` moves remain.
    pub(crate) fn undo_to(&mut self, len: usize) {
        while self.moves.len() > len {
            if let Some((n, from, ..)) = self.moves.pop() {
                self.reassign(n, from);
                self.move_counts[n] -= 1;
            }
        }
    }

    fn reassign(&mut self, n: usize, to: usize) {
        let from = self.machines[n].pool;
        let (left, joined) = (self.usable_slots(n, from), self.usable_slots(n, to));
        let rack = self.machines[n].rack;
        self.capacities[from].remove(&self.machines[n], left);
        self.capacities[to].add(&self.machines[n], joined);
        if self.problem.specs[from].spare {
            self.spare_machines[rack].retain(|m| *m != n);
        }
        if self.problem.specs[to].spare {
            self.spare_machines[rack].push(n);
        }
        self.machines[n].pool = to;
    }

    /// The sum of the cost terms, multiplied by their weights.
    pub(crate) fn weighted_cost(&self) -> f64 {
        let weights = &self.problem.weights;
        let cost = self.cost();
        weights.moves * (cost.moves as f64 + cost.wait)
            + weights.buffer * cost.buffer as f64
            + weights.rollout * cost.rollout as f64
            + weights.spread * cost.crowding as f64
    }

    pub(crate) fn cost(&self) -> Cost {
        let mut cost = Cost::default();
        let mut wait = 0;
        // A machine that moves on from the spare pool counts as one direct move.
        for (n, from, ..) in &self.moves {
            if self.problem.machines[*n].pool == *from {
                cost.moves += 1;
                wait += self.machines[*n].drain_secs;
            }
        }
        cost.wait = wait as f64 / 3_600.0;
        for (capacity, spec) in self.capacities.iter().zip(&self.problem.specs) {
            if spec.demand == 0 {
                continue;
            }
            cost.buffer += capacity.total.saturating_sub(spec.demand);
            let steps = capacity.members.div_ceil(spec.max_down.unwrap_or(1).max(1));
            cost.rollout = cost.rollout.max(steps);
            cost.crowding += capacity.crowding();
        }
        cost
    }

    fn finish(self) -> Plan {
        let cost = self.cost();
        let name = |pool: usize| self.problem.specs[pool].id.clone();
        // Two moves of a machine are merged into one, from its original pool to its last one, at
        // the position of the second move. Until then, the original pool has one machine more
        // than planned, which violates no constraint.
        let last = self.moves.iter().filter(|m| self.machines[m.0].pool == m.2);
        let moves = last.filter_map(|(n, _, to, reason)| {
            Some(Move {
                instance: self.machines[*n].id.clone(),
                from: name(self.problem.machines[*n].pool)?,
                to: name(*to)?,
                reason: *reason,
            })
        });
        let pools = self.capacities.iter().zip(&self.problem.specs);
        let missing = pools.filter_map(|(capacity, spec)| {
            let missing = capacity.deficit(spec);
            (missing > 0).then_some(Shortage {
                pool: spec.id.clone()?,
                demand: spec.demand,
                safe: capacity.surviving(spec),
                missing,
                more: !self.can_add_move(),
            })
        });
        Plan {
            missing: missing.collect(),
            moves: moves.collect(),
            cost,
        }
    }
}
