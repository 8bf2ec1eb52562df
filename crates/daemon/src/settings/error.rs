//! Settings that cannot be used.

use std::fmt;
use std::path::{Path, PathBuf};

use cactuswheel_model::Code;

/// Why settings cannot be used; prints as one line.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: {}: {source}", Code::BadSettings, path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What happened.
        source: std::io::Error,
    },
    /// The text is not what settings look like.
    #[error("{}: {}: {field}: {message}", Code::BadSettings, path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// Path of the field, such as `listen.callers`.
        field: String,
        /// What it got and what it takes.
        message: String,
    },
    /// A value does not make sense.
    #[error("{}: {}: {fault}", Code::BadSettings, path.display())]
    Check {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        fault: SettingsFault,
    },
}

/// A well-formed value that does not make sense.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFault {
    /// Path of the field, such as `listen.callers`.
    pub field: String,
    /// What it got.
    pub got: String,
    /// What it takes.
    pub takes: String,
}

impl SettingsError {
    pub(super) fn parse(
        path: &Path,
        error: &serde_path_to_error::Error<serde_json::Error>,
    ) -> Self {
        let field = error.path().to_string();
        Self::Parse {
            path: path.into(),
            field: if field == "." {
                "settings".into()
            } else {
                field
            },
            message: error.inner().to_string(),
        }
    }

    pub(super) fn rest(path: &Path, error: &serde_json::Error) -> Self {
        Self::Parse {
            path: path.into(),
            field: "settings".into(),
            message: error.to_string(),
        }
    }

    pub(super) fn check(path: &Path, fault: SettingsFault) -> Self {
        let path = path.into();
        Self::Check { path, fault }
    }
}

impl SettingsFault {
    /// A fault of the value `got` in `field`.
    pub(super) fn new(
        field: impl Into<String>,
        got: impl fmt::Display,
        takes: impl Into<String>,
    ) -> Self {
        Self {
            field: field.into(),
            got: got.to_string(),
            takes: takes.into(),
        }
    }
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { field, got, takes } = self;
        write!(f, "{field}: got {got}, takes {takes}")
    }
}
