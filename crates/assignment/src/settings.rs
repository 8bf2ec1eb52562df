//! Settings of the planner.

use serde::Deserialize;

use crate::Weights;

/// Weights of the soft goals, and the limit of moves per planning round.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Weights of the soft goals.
    pub weights: Weights,
    /// Maximum number of moves in one planning round.
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
