//! Planning: repair, then improve.

use crate::{Cost, Load, Machine, Move, Plan, Problem, Reason, Shortage};

/// Plans at most [`Problem::max_moves`] moves from the state as it stands.
pub fn plan(problem: &Problem) -> Plan {
    let mut draft = Draft::new(problem);
    draft.repair();
    draft.shorten();
    // What pools gave back may be what others lack.
    draft.repair();
    draft.finish()
}

/// A plan in the making.
pub(crate) struct Draft<'a> {
    pub(crate) problem: &'a Problem,
    pub(crate) machines: Vec<Machine>,
    pub(crate) loads: Vec<Load>,
    /// Machines in spare pools that may go elsewhere, by rack.
    pub(crate) free: Vec<Vec<usize>>,
    /// Moves of each machine so far: one, or a second out of the spare pool.
    pub(crate) moved: Vec<u8>,
    pub(crate) moves: Vec<(usize, usize, usize, Reason)>,
    /// The pool that takes what others do not need.
    pub(crate) spare: Option<usize>,
}

impl<'a> Draft<'a> {
    pub(crate) fn new(problem: &'a Problem) -> Self {
        let mut free = vec![Vec::new(); problem.racks];
        for (n, machine) in problem.machines.iter().enumerate() {
            if problem.needs[machine.pool].spare && machine.is_free() {
                free[machine.rack].push(n);
            }
        }
        Self {
            problem,
            machines: problem.machines.clone(),
            loads: problem.loads(),
            free,
            moved: vec![0; problem.machines.len()],
            moves: Vec::new(),
            spare: problem.needs.iter().position(|n| n.spare),
        }
    }

    /// Whether one more move fits into the plan.
    pub(crate) fn has_room(&self) -> bool {
        self.moves.len() < self.problem.max_moves
    }

    pub(crate) fn worth(&self, n: usize, pool: usize) -> u64 {
        self.problem.needs[pool].worth(&self.machines[n])
    }

    /// Whether a machine may leave its pool now.
    pub(crate) fn can_leave(&mut self, n: usize) -> bool {
        let machine = &self.machines[n];
        if !machine.is_free() || self.moved[n] > 0 {
            return false;
        }
        let need = &self.problem.needs[machine.pool];
        self.loads[machine.pool].can_lose(machine, need)
    }

    /// Whether a machine may join a pool now, as far as its moves so far go.
    ///
    /// One that a pool gave back in this plan may go on into another.
    pub(crate) fn may_join(&self, n: usize, pool: usize) -> bool {
        match self.moved[n] {
            0 => true,
            1 => Some(self.machines[n].pool) == self.spare && self.problem.machines[n].pool != pool,
            _ => false,
        }
    }

    /// Appends a move; the caller has seen that it keeps the hard rules.
    pub(crate) fn push(&mut self, n: usize, to: usize, reason: Reason) {
        let from = self.machines[n].pool;
        self.shift(n, to);
        self.moved[n] += 1;
        self.moves.push((n, from, to, reason));
    }

    /// Takes the newest moves back until `len` are left.
    pub(crate) fn rewind(&mut self, len: usize) {
        while self.moves.len() > len {
            if let Some((n, from, ..)) = self.moves.pop() {
                self.shift(n, from);
                self.moved[n] -= 1;
            }
        }
    }

    fn shift(&mut self, n: usize, to: usize) {
        let from = self.machines[n].pool;
        let (left, joined) = (self.worth(n, from), self.worth(n, to));
        let rack = self.machines[n].rack;
        self.loads[from].remove(&self.machines[n], left);
        self.loads[to].add(&self.machines[n], joined);
        if self.problem.needs[from].spare {
            self.free[rack].retain(|m| *m != n);
        }
        if self.problem.needs[to].spare {
            self.free[rack].push(n);
        }
        self.machines[n].pool = to;
    }

    /// The state's cost by the weights, over the pools given.
    pub(crate) fn weigh(&self) -> f64 {
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
                wait += self.machines[*n].drain;
            }
        }
        cost.wait = wait as f64 / 3_600.0;
        for (load, need) in self.loads.iter().zip(&self.problem.needs) {
            if need.demand == 0 {
                continue;
            }
            cost.buffer += load.total.saturating_sub(need.demand);
            let steps = load.members.div_ceil(need.max_down.unwrap_or(1).max(1));
            cost.rollout = cost.rollout.max(steps);
            cost.crowding += load.crowding();
        }
        cost
    }

    fn finish(self) -> Plan {
        let cost = self.cost();
        let name = |pool: usize| self.problem.needs[pool].id.clone();
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
        let pools = self.loads.iter().zip(&self.problem.needs);
        let missing = pools.filter_map(|(load, need)| {
            let missing = load.deficit(need);
            (missing > 0).then_some(Shortage {
                pool: need.id.clone()?,
                demand: need.demand,
                safe: load.safe(need),
                missing,
                more: !self.has_room(),
            })
        });
        Plan {
            missing: missing.collect(),
            moves: moves.collect(),
            cost,
        }
    }
}
