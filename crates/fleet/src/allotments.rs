//! Parts of each team's upper limit, held by lives of entries.
//!
//! The fold itself hands units out, from the limits in tickets and from what lives say about
//! themselves. What a life may start binds as soon as the life reads it; what it may still have
//! running stays occupied until its own word, or its data centre's, says otherwise.

mod life;
mod row;
mod split;

use cactuswheel_model::{DcId, Holding, LifeId, Offset, TeamId, Timing, Usage};
use serde::{Deserialize, Serialize};

use crate::Table;

pub use life::Life;
pub use row::AllotmentRow;
pub use split::Split;

/// Who may run how much for which team.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotments {
    /// Lives that may have work running.
    lives: Table<LifeId, Life>,
    /// The split of each team's limit.
    ///
    /// Invariant: rows of lives in `lives` only.
    teams: Table<TeamId, Split>,
}

impl Allotments {
    /// A life that may have work running.
    pub fn life(&self, life: &LifeId) -> Option<&Life> {
        self.lives.get(life).map(AsRef::as_ref)
    }

    /// All lives that may have work running.
    pub fn lives(&self) -> impl Iterator<Item = (&LifeId, &Life)> {
        self.lives.iter().map(|(id, life)| (id, life.as_ref()))
    }

    /// Number of lives that may have work running.
    pub fn size(&self) -> usize {
        self.lives.len()
    }

    /// A team's split.
    pub fn split(&self, team: &TeamId) -> Option<&Split> {
        self.teams.get(team).map(AsRef::as_ref)
    }

    /// All teams' splits.
    pub fn splits(&self) -> impl Iterator<Item = (&TeamId, &Split)> {
        self.teams.iter().map(|(id, split)| (id, split.as_ref()))
    }

    /// What a life may run for a team.
    pub fn row(&self, team: &TeamId, life: &LifeId) -> Option<&AllotmentRow> {
        self.split(team)?.row(life)
    }

    /// Applies an entry's word; whether it changed anything.
    pub(crate) fn apply(&mut self, at: Offset, holding: &Holding) -> bool {
        match holding {
            Holding::Join { life, dc, timing } => self.join(at, life, dc, *timing),
            Holding::Usage { life, rows } => self.usage(at, life, rows),
            Holding::Leave { life } => self.lives.contains(life) && self.release(at, life),
            Holding::Revoke { life, by } => self.same_dc(life, by) && self.revoke(at, life),
            Holding::Witness {
                life,
                by,
                since,
                cut,
            } => self.witness(at, life, by, (*since, *cut)),
        }
    }

    /// Sets what all lives together may run for a team.
    pub(crate) fn set_limit(&mut self, at: Offset, team: &TeamId, limit: u32) {
        if self.split(team).map_or(0, Split::limit) == limit {
            return;
        }
        let mut split = match self.teams.get(team) {
            Some(split) => split.as_ref().clone(),
            None => Split::default(),
        };
        split.set_limit(limit);
        for (id, life) in self.lives.iter() {
            split.set_open(id, life.is_open());
        }
        split.rebalance(at);
        self.store_split(team, split);
    }

    /// Keeps a split; one without limit and without occupied units is dropped.
    ///
    /// A removed team may come back under its name while its work still runs, so its rows have
    /// to outlive it.
    fn store_split(&mut self, team: &TeamId, split: Split) {
        if split.limit() == 0 && split.occupied() == 0 {
            self.teams.remove(team);
            return;
        }
        self.teams.insert(team.clone(), split);
    }

    fn join(&mut self, at: Offset, id: &LifeId, dc: &DcId, timing: Timing) -> bool {
        if self.lives.contains(id) {
            return false;
        }
        let replaced = |other: &LifeId, life: &Life| other.entry == id.entry && life.dc == *dc;
        let earlier: Vec<_> = self
            .lives()
            .filter(|(other, life)| replaced(other, life))
            .map(|(other, _)| other.clone())
            .collect();
        for life in &earlier {
            self.revoke_replaced(at, life);
        }
        let life = Life::new(dc.clone(), timing, at);
        self.lives.insert(id.clone(), life);
        self.update_splits(at, |split| split.set_open(id, true));
        true
    }

    fn usage(&mut self, at: Offset, life: &LifeId, rows: &[Usage]) -> bool {
        if !self.lives.contains(life) {
            return false;
        }
        let mut changed = false;
        for usage in rows {
            let Some(split) = self.teams.get_mut(&usage.team) else {
                continue;
            };
            if split.report(life, usage) {
                split.rebalance(at);
                changed = true;
            }
            if split.limit() == 0 && split.occupied() == 0 {
                self.teams.remove(&usage.team);
            }
        }
        changed
    }

    fn revoke(&mut self, at: Offset, id: &LifeId) -> bool {
        let Some(life) = self.lives.get_mut(id).filter(|l| l.is_open()) else {
            return false;
        };
        life.revoke(at);
        self.update_splits(at, |split| split.set_open(id, false));
        true
    }

    /// Revokes a life whose name another process has taken.
    ///
    /// Its peers reach the new process at its address, so from here on it renews nobody and
    /// nobody renews it: no word of its own is waited for. What it renewed before runs out by
    /// the others' clocks, which start anew. Without this, entries of a data centre that are
    /// all killed at once wait for each other's word until `cut` is over.
    fn revoke_replaced(&mut self, at: Offset, id: &LifeId) {
        self.revoke(at, id);
        if let Some(life) = self.lives.get_mut(id) {
            life.replaced = true;
        }
        let dc = self.life(id).map(|l| l.dc.clone());
        self.restart_waits(at, dc.as_ref());
    }

    /// Makes the witnesses of all revoked lives of a data centre count anew.
    fn restart_waits(&mut self, at: Offset, dc: Option<&DcId>) {
        let revoked = |l: &Life| !l.is_open() && Some(&l.dc) == dc;
        let left: Vec<_> = self.lives().filter(|(_, l)| revoked(l)).collect();
        let left: Vec<_> = left.into_iter().map(|(other, _)| other.clone()).collect();
        for other in &left {
            if let Some(life) = self.lives.get_mut(other) {
                life.restart_wait(at);
            }
        }
    }

    fn witness(&mut self, at: Offset, id: &LifeId, by: &LifeId, word: (Offset, bool)) -> bool {
        let (since, cut) = word;
        if !self.same_dc(id, by) {
            return false;
        }
        let Some(life) = self.lives.get_mut(id) else {
            return false;
        };
        if cut {
            return life.revoked == Some(since) && self.release(at, id);
        }
        if !life.witness(by, since) {
            return false;
        }
        if self.all_witnessed(id) {
            self.release(at, id);
        }
        true
    }

    /// Whether every life that could have renewed a revoked one has said that it did not since.
    ///
    /// Only lives of its data centre that joined before the revocation renew it: a later one
    /// has read the revocation before it answers anyone.
    fn all_witnessed(&self, id: &LifeId) -> bool {
        let Some(life) = self.life(id) else {
            return false;
        };
        let mut peers = self
            .lives()
            .filter(|(other, l)| *other != id && l.dc == life.dc)
            .filter(|(_, l)| l.joined < life.since && !l.replaced);
        life.has_witness() && peers.all(|(other, _)| life.witnessed(other))
    }

    /// Frees all units of a life, which is gone for good.
    ///
    /// Failure: it was waited for as a witness of another revoked life, which it may have
    /// renewed to the last; taking its end for its word frees units that are in use. It renews
    /// no one after its end, so the others' clocks start anew from here.
    fn release(&mut self, at: Offset, id: &LifeId) -> bool {
        // They did already where it was replaced.
        let dc = self.life(id).filter(|l| !l.replaced).map(|l| l.dc.clone());
        self.lives.remove(id);
        if dc.is_some() {
            self.restart_waits(at, dc.as_ref());
        }
        self.update_splits(at, |split| split.remove_row(id));
        true
    }

    fn same_dc(&self, life: &LifeId, by: &LifeId) -> bool {
        let (Some(one), Some(other)) = (self.life(life), self.life(by)) else {
            return false;
        };
        life != by && one.dc == other.dc
    }

    fn update_splits(&mut self, at: Offset, change: impl Fn(&mut Split)) {
        let teams: Vec<_> = self.teams.iter().map(|(team, _)| team.clone()).collect();
        for team in teams {
            let Some(split) = self.teams.get(&team) else {
                continue;
            };
            let mut split = split.as_ref().clone();
            change(&mut split);
            split.rebalance(at);
            self.store_split(&team, split);
        }
    }
}
