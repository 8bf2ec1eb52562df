//! The split of one team's limit.

use std::collections::BTreeMap;

use cactuswheel_model::{LifeId, Offset, Usage};
use serde::{Deserialize, Serialize};

use super::Row;

/// A team's limit and who holds how much of it.
///
/// Invariant: the caps' sum is at most `limit`. The occupied units' sum is too, but for what
/// ran when the limit was lowered; it then only falls.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    limit: u32,
    rows: BTreeMap<LifeId, Row>,
}

impl Split {
    /// The team's limit.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// One life's part.
    pub fn row(&self, life: &LifeId) -> Option<&Row> {
        self.rows.get(life)
    }

    /// All parts.
    pub fn rows(&self) -> impl Iterator<Item = (&LifeId, &Row)> {
        self.rows.iter()
    }

    /// Units that may be in use over the whole fleet.
    pub fn occupied(&self) -> u32 {
        self.rows.values().map(|r| r.occupied).sum()
    }

    /// Units that may be taken over the whole fleet.
    pub fn caps(&self) -> u32 {
        self.rows.values().map(|r| r.cap).sum()
    }

    pub(crate) fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    pub(crate) fn admit(&mut self, life: &LifeId, open: bool) {
        self.rows.entry(life.clone()).or_default().open = open;
    }

    pub(crate) fn release(&mut self, life: &LifeId) {
        self.rows.remove(life);
    }

    pub(crate) fn report(&mut self, life: &LifeId, usage: &Usage) -> bool {
        self.rows.get_mut(life).is_some_and(|r| r.report(usage))
    }

    /// Moves units to where they are wanted, as far as that is safe at once.
    pub(crate) fn settle(&mut self, at: Offset) {
        let wants = self.wants();
        let open: Vec<bool> = self.rows.values().map(|r| r.open).collect();
        let goals = goals(self.limit, &wants, &open);
        let mut next: Vec<u32> = self.rows.values().map(|r| r.cap).collect();
        let closed = open.iter().zip(&mut next).filter(|(open, _)| !**open);
        closed.for_each(|(_, cap)| *cap = 0);
        self.lower(&mut next, &goals, &wants);
        self.raise(&mut next, &goals, &wants);
        for (row, cap) in self.rows.values_mut().zip(next) {
            row.set_cap(cap, at);
        }
    }

    /// What each life could use, and never less than half an even part, so that a burst at an
    /// idle entry finds units there before a record has gone round; nothing for closed ones.
    fn wants(&self) -> Vec<u32> {
        let open = self.rows.values().filter(|r| r.open).count() as u32;
        let least = self.limit.checked_div(2 * open).unwrap_or(0);
        let want = |r: &Row| if r.open { r.want.max(least) } else { 0 };
        self.rows.values().map(want).collect()
    }

    /// Takes units from lives above their goal, as many as are wanted elsewhere and no more:
    /// each step down costs its life a confirmation in the log.
    fn lower(&self, next: &mut [u32], goals: &[u32], wants: &[u32]) {
        let sum: u32 = next.iter().sum();
        let short = |((n, g), w): ((&u32, &u32), &u32)| (*g).min(*w).saturating_sub(*n);
        let wanted: u32 = next.iter().zip(goals).zip(wants).map(short).sum();
        let spare = self.limit.saturating_sub(sum);
        let mut need = wanted.saturating_sub(spare) + sum.saturating_sub(self.limit);
        let mut givers: Vec<usize> = (0..next.len()).collect();
        givers.sort_by_key(|&i| std::cmp::Reverse(next[i].saturating_sub(goals[i])));
        for i in givers {
            let give = next[i].saturating_sub(goals[i]).min(need);
            next[i] -= give;
            need -= give;
        }
    }

    /// Gives out what nobody may be using, first to where it is wanted.
    fn raise(&self, next: &mut [u32], goals: &[u32], wants: &[u32]) {
        let mut free = self.limit.saturating_sub(self.occupied());
        let mut room = self.limit.saturating_sub(next.iter().sum());
        let wanted: Vec<u32> = goals.iter().zip(wants).map(|(g, w)| *g.min(w)).collect();
        for targets in [wanted.as_slice(), goals] {
            for (i, row) in self.rows.values().enumerate() {
                // Up to what is occupied there anyway, a raise takes nothing from the others.
                let most = row.occupied.max(next[i]) + free;
                let goal = targets[i].min(most).max(next[i]);
                let more = (goal - next[i]).min(room);
                free -= (next[i] + more).saturating_sub(row.occupied.max(next[i]));
                next[i] += more;
                room -= more;
            }
        }
    }
}

/// Max-min fair parts of `limit` by `wants`; what nobody wants is spread evenly over the open.
fn goals(limit: u32, wants: &[u32], open: &[bool]) -> Vec<u32> {
    let mut goals = vec![0; wants.len()];
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by_key(|&i| wants[i]);
    let mut left = limit;
    for (done, &i) in order.iter().enumerate() {
        goals[i] = wants[i].min(left / (wants.len() - done) as u32);
        left -= goals[i];
    }
    let mut rest = open.iter().filter(|o| **o).count() as u32;
    for i in (0..goals.len()).filter(|&i| open[i]) {
        let more = left.div_ceil(rest);
        goals[i] += more;
        left -= more;
        rest -= 1;
    }
    goals
}
