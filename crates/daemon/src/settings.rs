//! Settings of an entry instance.

mod addr;
mod check;
mod error;
mod limits;
mod listen;
mod log_settings;
mod operator;

use std::net::SocketAddr;
use std::path::Path;

use cactuswheel_model::{DcId, EntryId};
use serde::Deserialize;

pub use error::{SettingsError, SettingsFault};
pub use limits::Limits;
pub use listen::Listen;
pub use log_settings::LogSettings;
pub use operator::Operator;

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
    #[serde(deserialize_with = "addr::one")]
    pub platform: SocketAddr,
    /// Where other entries listen for this one.
    #[serde(default, deserialize_with = "addr::many")]
    pub peers: Vec<SocketAddr>,
    /// Who may change the fleet.
    ///
    /// Invariant: not empty, names and digests all different.
    pub operators: Vec<Operator>,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// Sizes and times that may need tuning.
    #[serde(default)]
    pub limits: Limits,
    /// Weights and bounds of pool assignment.
    #[serde(default)]
    pub assignment: cactuswheel_assignment::Settings,
    /// Times and bounds of maintenance.
    #[serde(default)]
    pub maintenance: cactuswheel_maintenance::Settings,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read(path).map_err(|e| SettingsError::Read {
            path: path.into(),
            source: e,
        })?;
        let mut json = serde_json::Deserializer::from_slice(&text);
        let parsed: Result<Self, _> = serde_path_to_error::deserialize(&mut json);
        let settings = parsed.map_err(|e| SettingsError::parse(path, &e))?;
        json.end().map_err(|e| SettingsError::rest(path, &e))?;
        settings
            .check()
            .map_err(|e| SettingsError::check(path, e))?;
        Ok(settings)
    }
}
