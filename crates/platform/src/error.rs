//! Failures of the log.

use cactuswheel_model::Offset;

/// Why a call to the log has no result.
#[derive(Debug, Clone, thiserror::Error)]
pub enum LogError {
    /// The call did not take effect.
    #[error("log unavailable: {0}")]
    Unavailable(String),
    /// The call may have taken effect.
    #[error("log gave no answer: {0}")]
    Unknown(String),
    /// The position asked for is no longer kept.
    #[error("log keeps records from {0} on only")]
    Trimmed(Offset),
}
