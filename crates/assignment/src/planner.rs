//! Planning: repair, then improve.

use crate::{Cost, Machine, Move, Plan, PoolCapacity, Problem, Reason, Shortage};

/// Plans at most [`Problem::max_moves`] moves from the state as it stands.
pub fn plan(problem: &Problem) -> Plan {
    let mut draft = Draft::new(problem);
    draft.repair();
    draft.improve();
    // What pools gave back may be what others lack.
    draft.repair();
    draft.finish()
}

/// A plan in the making.
pub(crate) struct Draft<'a> {
    pub(crate) problem: &'a Problem,
    pub(crate) machines: Vec<Machine>,
    pub(crate) capacities: Vec<PoolCapacity>,
    /// Machines in spare pools that may go elsewhere, by rack.
    pub(crate) spare_machines: Vec<Vec<usize>>,
    /// Moves of each machine so far: one, or a second out of the spare pool.
    pub(crate) move_counts: Vec<u8>,
    pub(crate) moves: Vec<(usize, usize, usize, Reason)>,
    /// The pool that takes what others do not spec.
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

    /// Whether one more move fits into the plan.
    pub(crate) fn can_add_move(&self) -> bool {
        self.moves.len() < self.problem.max_moves
    }

    pub(crate) fn usable_slots(&self, n: usize, pool: usize) -> u64 {
        self.problem.specs[pool].usable_slots(&self.machines[n])
    }

    /// Whether a machine may leave its pool now.
    pub(crate) fn can_leave(&mut self, n: usize) -> bool {
        let machine = &self.machines[n];
        if !machine.is_movable() || self.move_counts[n] > 0 {
            return false;
        }
        let spec = &self.problem.specs[machine.pool];
        self.capacities[machine.pool].can_remove(machine, spec)
    }

    /// Whether a machine may join a pool now, as far as its moves so far go.
    ///
    /// One that a pool gave back in this plan may go on into another.
    pub(crate) fn may_join(&self, n: usize, pool: usize) -> bool {
        match self.move_counts[n] {
            0 => true,
            1 => Some(self.machines[n].pool) == self.spare && self.problem.machines[n].pool != pool,
            _ => false,
        }
    }

    /// Appends a move; the caller has seen that it keeps the hard rules.
    pub(crate) fn push(&mut self, n: usize, to: usize, reason: Reason) {
        let from = self.machines[n].pool;
        self.reassign(n, to);
        self.move_counts[n] += 1;
        self.moves.push((n, from, to, reason));
    }

    /// Takes the newest moves back until `len` are left.
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

    /// The state's cost by the weights, over the pools given.
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
        // A machine that goes on out of the spare pool moves once, directly.
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
        // Of two moves of a machine the second stands, from its first pool. Until then that
        // pool keeps a machine more than was planned, which breaks no rule.
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
