//! Settings of an entry instance.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use cactuswheel_model::{DcId, Digest, EntryId, OperatorId};
use log::LevelFilter;
use serde::Deserialize;

/// Settings, as read from a JSON file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This entry's name.
    pub entry: EntryId,
    /// Its data centre.
    pub dc: DcId,
    /// Where it listens.
    pub listen: Listen,
    /// Where the platform's services are.
    pub platform: SocketAddr,
    /// Where other entries listen for this one.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Who may change the fleet.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses that an entry listens on.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators and for metrics.
    pub admin: SocketAddr,
    /// For other entries.
    pub peer: SocketAddr,
}

/// An operator and the digest of the operator's key.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The name for the audit trail.
    pub name: OperatorId,
    /// Digest of the key; the key itself does not belong into a file.
    pub digest: Digest,
}

/// Settings of the log.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: LevelFilter,
}

/// Settings that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("code 501: {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What happened.
        source: std::io::Error,
    },
    /// The text is not what settings look like.
    #[error("code 501: {}: {source}", path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// What happened.
        source: serde_json::Error,
    },
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read(path).map_err(|e| SettingsError::Read {
            path: path.into(),
            source: e,
        })?;
        serde_json::from_slice(&text).map_err(|e| SettingsError::Parse {
            path: path.into(),
            source: e,
        })
    }
}
