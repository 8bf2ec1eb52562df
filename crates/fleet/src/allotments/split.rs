//! The split of one team's limit.

use std::collections::BTreeMap;

use cactuswheel_model::{LifeId, Offset, Usage};
use serde::{Deserialize, Serialize};

use super::AllotmentRow;

/// A team's limit and who holds how much of it.
///
/// Invariant: the caps' sum is at most `limit`. The occupied units' sum is too, but for what
/// ran when the limit was lowered; it then only falls.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    limit: u32,
    rows: BTreeMap<LifeId, AllotmentRow>,
}

impl Split {
    /// The team's limit.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// One life's part.
    pub fn row(&self, life: &LifeId) -> Option<&AllotmentRow> {
        self.rows.get(life)
    }

    /// All parts.
    pub fn rows(&self) -> impl Iterator<Item = (&LifeId, &AllotmentRow)> {
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

    pub(crate) fn set_open(&mut self, life: &LifeId, open: bool) {
        self.rows.entry(life.clone()).or_default().open = open;
    }

    pub(crate) fn remove_row(&mut self, life: &LifeId) {
        self.rows.remove(life);
    }

    pub(crate) fn report(&mut self, life: &LifeId, usage: &Usage) -> bool {
        self.rows.get_mut(life).is_some_and(|r| r.report(usage))
    }

    /// Moves units to where they are wanted, as far as that is safe at once.
    pub(crate) fn rebalance(&mut self, at: Offset) {
        let total = self.available();
        let wants = self.wants(total);
        let open: Vec<bool> = self.rows.values().map(|r| r.open).collect();
        let shares = fair_shares(total, &wants, &open);
        let mut next: Vec<u32> = self.rows.values().map(|r| r.cap).collect();
        let closed = open.iter().zip(&mut next).filter(|(open, _)| !**open);
        closed.for_each(|(_, cap)| *cap = 0);
        lower(total, &mut next, &shares, &wants);
        self.raise(total, &mut next, &shares, &wants);
        for (row, cap) in self.rows.values_mut().zip(next) {
            row.set_cap(cap, at);
        }
    }

    /// What the open lives together may have. Units of closed ones come back only in the end;
    /// counted on, they would leave a new entry without any until then.
    fn available(&self) -> u32 {
        let closed = self.rows.values().filter(|r| !r.open);
        let held: u32 = closed.map(|r| r.occupied).sum();
        self.limit.saturating_sub(held)
    }

    /// What each life could use, and never less than half an even part, so that a burst at an
    /// idle entry finds units there before a record has gone round; nothing for closed ones.
    fn wants(&self, total: u32) -> Vec<u32> {
        let open = self.rows.values().filter(|r| r.open).count() as u32;
        let least = total.checked_div(2 * open).unwrap_or(0);
        let want = |r: &AllotmentRow| if r.open { r.want.max(least) } else { 0 };
        self.rows.values().map(want).collect()
    }

    /// Gives out what nobody may be using, first to where it is wanted.
    fn raise(&self, total: u32, next: &mut [u32], shares: &[u32], wants: &[u32]) {
        let mut free = self.limit.saturating_sub(self.occupied());
        let mut room = total.saturating_sub(next.iter().sum());
        let wanted: Vec<u32> = shares.iter().zip(wants).map(|(g, w)| *g.min(w)).collect();
        for targets in [wanted.as_slice(), shares] {
            for (i, row) in self.rows.values().enumerate() {
                // Up to what is occupied there anyway, a raise takes nothing from the others.
                let bound = row.occupied.max(next[i]) + free;
                let goal = targets[i].min(bound).max(next[i]);
                let more = (goal - next[i]).min(room);
                free -= (next[i] + more).saturating_sub(row.occupied.max(next[i]));
                next[i] += more;
                room -= more;
            }
        }
    }
}

/// Takes units from lives above their goal, as many as are wanted elsewhere and no more:
/// each step down costs its life a confirmation in the log.
fn lower(total: u32, next: &mut [u32], shares: &[u32], wants: &[u32]) {
    let sum: u32 = next.iter().sum();
    let short = |((n, g), w): ((&u32, &u32), &u32)| (*g).min(*w).saturating_sub(*n);
    let wanted: u32 = next.iter().zip(shares).zip(wants).map(short).sum();
    let spare = total.saturating_sub(sum);
    let mut need = wanted.saturating_sub(spare) + sum.saturating_sub(total);
    let mut donors: Vec<usize> = (0..next.len()).collect();
    donors.sort_by_key(|&i| std::cmp::Reverse(next[i].saturating_sub(shares[i])));
    for i in donors {
        let reduction = next[i].saturating_sub(shares[i]).min(need);
        next[i] -= reduction;
        need -= reduction;
    }
}

/// Max-min fair parts of `limit` by `wants`; what nobody wants is spread evenly over the open.
fn fair_shares(limit: u32, wants: &[u32], open: &[bool]) -> Vec<u32> {
    let mut shares = vec![0; wants.len()];
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by_key(|&i| wants[i]);
    let mut left = limit;
    for (done, &i) in order.iter().enumerate() {
        shares[i] = wants[i].min(left / (wants.len() - done) as u32);
        left -= shares[i];
    }
    let mut rest = open.iter().filter(|o| **o).count() as u32;
    for i in (0..shares.len()).filter(|&i| open[i]) {
        let more = left.div_ceil(rest);
        shares[i] += more;
        left -= more;
        rest -= 1;
    }
    shares
}
