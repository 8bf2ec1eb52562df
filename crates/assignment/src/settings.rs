//! Settings of the planner.

use serde::Deserialize;

use crate::Weights;

/// What counts how much, and how much one round may move.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Weights of the soft goals.
    pub weights: Weights,
    /// Most moves in one round.
    pub moves: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            weights: Weights::default(),
            moves: 16,
        }
    }
}
