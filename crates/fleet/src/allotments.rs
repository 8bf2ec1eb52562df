//! How each team's request limit is divided among entries.
//!
//! A unit allows one request to run. A life is one lifetime of an entry's process, from start to
//! exit; units are held by lives. The fold itself assigns the units, from the limits set by
//! tickets and from what lives report. A life obeys a new cap as soon as it has read it. Units
//! that the life may still be using stay occupied until it reports that they are free, or until
//! its peers in the same data centre confirm that it has nothing running.
//!
//! A life that hears neither the log nor a peer of its data centre for its `fence` time starts no
//! more requests. A peer that answers it therefore renews it, and may confirm that it has nothing
//! running only once the last renewal and the requests started under it have run out.

mod life;
mod row;
mod split;

use cactuswheel_model::{DcId, Holding, LifeId, Offset, TeamId, Timing, Usage};
use serde::{Deserialize, Serialize};

use crate::Table;

pub use life::Life;
pub use row::AllotmentRow;
pub use split::Split;

/// Which life may run how many requests of which team.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotments {
    /// Lives that may have requests running.
    lives: Table<LifeId, Life>,
    /// How each team's limit is divided.
    ///
    /// Invariant: has rows only for lives in `lives`.
    teams: Table<TeamId, Split>,
}

impl Allotments {
    /// A life that may have requests running.
    pub fn life(&self, life: &LifeId) -> Option<&Life> {
        self.lives.get(life).map(AsRef::as_ref)
    }

    /// All lives that may have requests running.
    pub fn lives(&self) -> impl Iterator<Item = (&LifeId, &Life)> {
        self.lives.iter().map(|(id, life)| (id, life.as_ref()))
    }

    /// Number of lives that may have requests running.
    pub fn size(&self) -> usize {
        self.lives.len()
    }

    /// How a team's limit is divided.
    pub fn split(&self, team: &TeamId) -> Option<&Split> {
        self.teams.get(team).map(AsRef::as_ref)
    }

    /// How the limits of all teams are divided.
    pub fn splits(&self) -> impl Iterator<Item = (&TeamId, &Split)> {
        self.teams.iter().map(|(id, split)| (id, split.as_ref()))
    }

    /// The part of a team's limit that a life holds.
    pub fn row(&self, team: &TeamId, life: &LifeId) -> Option<&AllotmentRow> {
        self.split(team)?.row(life)
    }

    /// Applies a report of an entry; returns whether it changed anything.
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

    /// Sets how many requests of a team may run in the whole fleet.
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

    /// Stores a split, or drops it if it has neither a limit nor occupied units.
    ///
    /// A removed team may be added again under the same name while its requests still run, so its
    /// rows have to stay until no unit is occupied.
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

    /// Revokes a life after another process has joined under the same entry name.
    ///
    /// Peers now reach the new process at the address, so from here on the old life neither renews
    /// its peers nor is renewed by them, and its own confirmation is not waited for. Renewals that
    /// it gave before run out by its peers' clocks, which therefore restart here. Without this
    /// rule, entries of a data centre that are all killed at once would wait for each other's
    /// confirmation until the `cut` time is over.
    fn revoke_replaced(&mut self, at: Offset, id: &LifeId) {
        self.revoke(at, id);
        if let Some(life) = self.lives.get_mut(id) {
            life.replaced = true;
        }
        let dc = self.life(id).map(|l| l.dc.clone());
        self.restart_waits(at, dc.as_ref());
    }

    /// Restarts the waiting time of all revoked lives of a data centre, and discards their
    /// confirmations.
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

    fn witness(&mut self, at: Offset, id: &LifeId, by: &LifeId, claim: (Offset, bool)) -> bool {
        let (since, cut) = claim;
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

    /// Whether every peer that could have renewed a revoked life has confirmed that it has nothing
    /// running.
    ///
    /// Only lives of the same data centre that joined before the revocation can have renewed it: a
    /// later one has read the revocation before it answers any peer.
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

    /// Removes a life that is gone for good, and frees all its units.
    ///
    /// Other revoked lives may still wait for its confirmation, and it may have renewed them up to
    /// its own end. Treating its end as a confirmation would free units that are in use. It renews
    /// no life after its end, so the waiting times of the other revoked lives restart here.
    fn release(&mut self, at: Offset, id: &LifeId) -> bool {
        // If the life was replaced, the waiting times were restarted at that time.
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
