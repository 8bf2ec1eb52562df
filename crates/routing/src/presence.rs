//! Which instances are there, and which of them leave.

use std::net::SocketAddr;

use cactuswheel_model::{Incarnation, InstanceId, Map};

/// One life of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Life {
    /// Which of its lives.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Whether it gets no new work.
    ///
    /// Invariant: once true it stays so for this incarnation. The roster lags and may list a
    /// leaving instance as live again; taking that back would send it work that its end cuts.
    pub leaving: bool,
}

/// The newest life known of every instance.
///
/// An instance that the roster no longer lists is kept as it was: a list cut short, or none at
/// all, must not take upstreams away that serve.
#[derive(Debug, Default)]
pub struct Presences {
    lives: Map<InstanceId, Life>,
}

impl Presences {
    /// Takes what the roster lists; whether anything changed.
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

    /// Takes an instance's own word that it leaves; whether that is news.
    pub fn mark_leaving(&mut self, id: &InstanceId, incarnation: Incarnation) -> bool {
        match self.lives.get_mut(id) {
            Some(life) if life.incarnation == incarnation => {
                !std::mem::replace(&mut life.leaving, true)
            }
            _ => false,
        }
    }

    /// The newest life of an instance.
    pub fn get(&self, id: &InstanceId) -> Option<&Life> {
        self.lives.get(id)
    }

    /// All instances that may get new work.
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
