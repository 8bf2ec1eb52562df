//! Why a command failed.

use std::path::PathBuf;
use std::process::ExitCode;

use cactuswheel_http::CallError;

/// A failed command; prints as one line.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What happened.
        source: std::io::Error,
    },
    /// A file does not hold what it should.
    #[error("{}: {source}", path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// What happened.
        source: serde_json::Error,
    },
    /// The entry gave no answer.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The entry refused.
    #[error("refused: {0}")]
    Refused(String),
    /// The entry answered something else than JSON.
    #[error("entry's answer cannot be read: {0}")]
    Answer(#[from] serde_json::Error),
}

impl CliError {
    /// The exit status.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Read { .. } | Self::Parse { .. } => 2,
            Self::Refused(_) => 3,
            Self::Call(CallError::NotSent(..)) => 4,
            Self::Call(CallError::Unknown(..)) | Self::Answer(_) => 5,
        })
    }
}
