//! Why a daemon does not start.

use std::io;
use std::net::SocketAddr;

use crate::SettingsError;

/// A failure before the daemon serves.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address cannot be listened on.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The threads cannot be started.
    #[error("cannot start threads: {0}")]
    Runtime(io::Error),
    /// Signals cannot be received.
    #[error("cannot receive signals: {0}")]
    Signal(io::Error),
    /// The log cannot be set up.
    #[error("cannot set up the log: {0}")]
    Log(#[from] log::SetLoggerError),
    /// The metrics cannot be set up.
    #[error("cannot set up the metrics: {0}")]
    Metrics(String),
    /// The small fleet cannot be described.
    #[error("embedded fleet: {0}")]
    Embedded(String),
}
