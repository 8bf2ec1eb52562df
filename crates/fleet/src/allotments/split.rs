//! How the limit of one team is divided among lives.

use std::collections::BTreeMap;

use cactuswheel_model::{LifeId, Offset, Usage};
use serde::{Deserialize, Serialize};

use super::AllotmentRow;

/// A team's request limit and the part of it that each life holds.
///
/// Invariant: the sum of all caps is at most `limit`. So is the sum of occupied units, except for
/// requests that were running when the limit was lowered; the sum then only falls.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    limit: u32,
    rows: BTreeMap<LifeId, AllotmentRow>,
}

impl Split {
    /// The team's request limit.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// The part that a life holds.
    pub fn row(&self, life: &LifeId) -> Option<&AllotmentRow> {
        self.rows.get(life)
    }

    /// The parts of all lives.
    pub fn rows(&self) -> impl Iterator<Item = (&LifeId, &AllotmentRow)> {
        self.rows.iter()
    }

    /// Units that may be in use in the whole fleet.
    pub fn occupied(&self) -> u32 {
        self.rows.values().map(|r| r.occupied).sum()
    }

    /// Sum of the caps of all lives.
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

    /// Moves units to the lives that can use them, as far as this is safe at once.
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

    /// Units that open lives may hold together. Units of closed lives are not available until
    /// those lives are removed; if they were counted, a new entry could get none until then.
    fn available(&self) -> u32 {
        let closed = self.rows.values().filter(|r| !r.open);
        let held: u32 = closed.map(|r| r.occupied).sum();
        self.limit.saturating_sub(held)
    }

    /// Units that each life could use: its reported demand, but at least half an even share, so
    /// that a burst at an idle entry finds units there before a new record has reached the log and
    /// come back. 0 for closed lives.
    fn wants(&self, total: u32) -> Vec<u32> {
        let open = self.rows.values().filter(|r| r.open).count() as u32;
        let least = total.checked_div(2 * open).unwrap_or(0);
        let want = |r: &AllotmentRow| if r.open { r.want.max(least) } else { 0 };
        self.rows.values().map(want).collect()
    }

    /// Assigns units that no life may be using, first to lives that want them.
    fn raise(&self, total: u32, next: &mut [u32], shares: &[u32], wants: &[u32]) {
        let mut free = self.limit.saturating_sub(self.occupied());
        let mut room = total.saturating_sub(next.iter().sum());
        let wanted: Vec<u32> = shares.iter().zip(wants).map(|(s, w)| *s.min(w)).collect();
        for targets in [wanted.as_slice(), shares] {
            for (i, row) in self.rows.values().enumerate() {
                // Up to the number of occupied units a higher cap takes nothing from other lives.
                let bound = row.occupied.max(next[i]) + free;
                let target = targets[i].min(bound).max(next[i]);
                let more = (target - next[i]).min(room);
                free -= (next[i] + more).saturating_sub(row.occupied.max(next[i]));
                next[i] += more;
                room -= more;
            }
        }
    }
}

/// Lowers the caps of lives above their share by as many units as other lives want and no more:
/// each lowered cap needs a report from its life in the log before the units are free.
fn lower(total: u32, next: &mut [u32], shares: &[u32], wants: &[u32]) {
    let sum: u32 = next.iter().sum();
    let short = |((n, s), w): ((&u32, &u32), &u32)| (*s).min(*w).saturating_sub(*n);
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

/// Max-min fair shares of `limit` by `wants`; units that no life wants are spread evenly over the
/// open lives.
fn fair_shares(limit: u32, wants: &[u32], open: &[bool]) -> Vec<u32> {
    let mut shares = vec![0; wants.len()];
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by_key(|&i| wants[i]);
    let mut remaining = limit;
    for (done, &i) in order.iter().enumerate() {
        shares[i] = wants[i].min(remaining / (wants.len() - done) as u32);
        remaining -= shares[i];
    }
    let mut open_count = open.iter().filter(|o| **o).count() as u32;
    for i in (0..shares.len()).filter(|&i| open[i]) {
        let more = remaining.div_ceil(open_count);
        shares[i] += more;
        remaining -= more;
        open_count -= 1;
    }
    shares
}
