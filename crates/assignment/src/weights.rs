//! What counts how much.

use serde::Deserialize;

/// Weights of the soft goals; a goal with weight 0 is not pursued.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Weights {
    /// One move, and each hour that a move waits for work to end.
    pub moves: f64,
    /// One slot of capacity above demand.
    pub buffer: f64,
    /// One step of a roll-out: as many reboots in a row.
    pub rollout: f64,
    /// One slot by which a pool's largest rack is above the mean.
    pub spread: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            moves: 2.0,
            buffer: 1.0,
            rollout: 1.0,
            spread: 0.1,
        }
    }
}

impl Weights {
    /// For work with hard deadlines: a fast roll-out counts more than a few moves.
    pub fn deadlines() -> Self {
        Self {
            moves: 1.0,
            rollout: 4.0,
            ..Self::default()
        }
    }

    /// For work that runs for days: every move risks it, and buffer is dear.
    pub fn long_work() -> Self {
        Self {
            moves: 6.0,
            buffer: 2.0,
            rollout: 0.5,
            ..Self::default()
        }
    }
}
