//! Why a node cannot start.

use crate::SettingsError;

/// Why a node cannot start.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address cannot be listened on, or a signal not waited for.
    #[error("cannot start: {0}")]
    Io(#[from] std::io::Error),
    /// The log was set up before.
    #[error("cannot start the log: {0}")]
    Log(#[from] log::SetLoggerError),
    /// The metrics cannot be set up.
    #[error("cannot start the metrics: {0}")]
    Metrics(#[from] opentelemetry_sdk::error::OTelSdkError),
}
