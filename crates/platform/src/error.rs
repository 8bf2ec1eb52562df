//! Errors of the log service.

use cactuswheel_model::Offset;

/// Error of a call to the log.
#[derive(Debug, Clone, thiserror::Error)]
pub enum LogError {
    /// The log is unavailable; the call had no effect.
    #[error("log unavailable: {0}")]
    Unavailable(String),
    /// The outcome is unknown; the call may have taken effect.
    #[error("log gave no answer: {0}")]
    Unknown(String),
    /// The requested offset was trimmed. Holds the oldest offset that is retained.
    #[error("log keeps records from {0} on only")]
    Trimmed(Offset),
}
