//! The known instances, and which of them are leaving.

use std::net::SocketAddr;

use cactuswheel_model::{Incarnation, InstanceId, Map};

/// One life of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Life {
    /// Identifies this life among those of the instance.
    pub incarnation: Incarnation,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Whether the instance is leaving and gets no new work.
    ///
    /// Invariant: once true, it stays true for this incarnation. The roster lags and may list a
    /// leaving instance as live again; resetting the flag would send it requests that are cut off
    /// when it stops.
    pub leaving: bool,
}

/// The newest life known of every instance.
///
/// An instance that the roster no longer lists is kept unchanged: a truncated or empty roster must
/// not remove upstreams that are serving.
#[derive(Debug, Default)]
pub struct Presences {
    lives: Map<InstanceId, Life>,
}

impl Presences {
    /// Updates an instance from the roster; returns whether anything changed.
    pub fn update(&mut self, id: &InstanceId, listed: Life) -> bool {
        let Some(life) = self.lives.get_mut(id) else {
            self.lives.insert(id.clone(), listed);
            return true;
        };
        let next = merge(*life, listed);
        let changed = *life != next;
        *life = next;
        changed
    }

    /// Records the instance's own announcement that it is leaving; returns whether that was new.
    pub fn mark_leaving(&mut self, id: &InstanceId, incarnation: Incarnation) -> bool {
        match self.lives.get_mut(id) {
            Some(life) if life.incarnation == incarnation => {
                !std::mem::replace(&mut life.leaving, true)
            }
            _ => false,
        }
    }

    /// The newest known life of an instance.
    pub fn get(&self, id: &InstanceId) -> Option<&Life> {
        self.lives.get(id)
    }

    /// All instances that are not leaving.
    pub fn serving(&self) -> impl Iterator<Item = (&InstanceId, &Life)> {
        self.lives.iter().filter(|(_, life)| !life.leaving)
    }
}

fn merge(known: Life, listed: Life) -> Life {
    if listed.incarnation < known.incarnation {
        return known;
    }
    if listed.incarnation > known.incarnation {
        return listed;
    }
    Life {
        leaving: known.leaving || listed.leaving,
        ..listed
    }
}
