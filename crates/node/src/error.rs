//! Errors at the startup of a node.

use crate::SettingsError;

/// An error at the startup of a node.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The settings file cannot be loaded.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Binding an address or installing a signal handler failed.
    #[error("cannot start: {0}")]
    Io(#[from] std::io::Error),
    /// A logger was already installed.
    #[error("cannot start the log: {0}")]
    Log(#[from] log::SetLoggerError),
    /// The metrics exporter cannot be set up.
    #[error("cannot start the metrics: {0}")]
    Metrics(#[from] opentelemetry_sdk::error::OTelSdkError),
}
