//! Weights of the soft goals.

use serde::Deserialize;

/// Cost of one unit of each soft goal; a goal with weight 0 is ignored.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Weights {
    /// Cost of a move, and of each hour that a move waits for its instance to drain.
    pub moves: f64,
    /// Cost of a slot of capacity above demand.
    pub buffer: f64,
    /// Cost of one sequential reboot step of a roll-out.
    pub rollout: f64,
    /// Cost of a slot by which a pool's largest rack is above the pool's mean rack.
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
    /// Weights for work with hard deadlines, where a fast roll-out is worth additional moves.
    pub fn deadlines() -> Self {
        Self {
            moves: 1.0,
            rollout: 4.0,
            ..Self::default()
        }
    }

    /// Weights for work that runs for days, where each move puts running work at risk and unused
    /// capacity is expensive.
    pub fn long_work() -> Self {
        Self {
            moves: 6.0,
            buffer: 2.0,
            rollout: 0.5,
            ..Self::default()
        }
    }
}
