//! Why a command failed.

use std::path::{Path, PathBuf};

use cactuswheel_http::CallError;
use cactuswheel_model::{Code, Ran};

use crate::Exit;

/// A failed command; prints as one line that starts with its code.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// A file cannot be read or does not hold what it should.
    #[error("{}: {}: {message}", Code::BadFile, path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What happened, with the place in the file.
        message: String,
    },
    /// Standard input does not hold what it should.
    #[error("{code}: standard input: {0}", code = Code::BadFile)]
    Input(String),
    /// A ticket can be read but no fleet could take it.
    #[error("{code}: {}: {detail}", path.display())]
    Ticket {
        /// The file.
        path: PathBuf,
        /// Why.
        code: Code,
        /// What was wrong.
        detail: String,
    },
    /// No operator key was given.
    #[error("{}: set CACTUSWHEEL_KEY", Code::NotOperator)]
    NoKey,
    /// No team key was given.
    #[error("{}: set CACTUSWHEEL_TEAM_KEY", Code::NoKey)]
    NoTeamKey,
    /// The entry could not be reached.
    #[error("{code}: {0}", code = Code::EntryUnreachable)]
    Unreachable(String),
    /// The entry may have carried the command out.
    #[error("{code}: {0}", code = Code::EntryLost)]
    OutcomeUnknown(String),
    /// The entry refused.
    #[error("{code} {message}{}{detail}", if detail.is_empty() { "" } else { ": " })]
    Refused {
        /// The number of its code.
        code: u16,
        /// The code's text.
        message: String,
        /// What was wrong.
        detail: String,
    },
    /// The entry answered something that cannot be read.
    #[error("{code}: its answer cannot be read: {0}", code = Code::EntryLost)]
    InvalidAnswer(String),
}

impl CliError {
    /// A file that cannot be used.
    pub(crate) fn file(path: &Path, message: impl ToString) -> Self {
        Self::File {
            path: path.into(),
            message: message.to_string(),
        }
    }

    /// Adds what the user has to know to go on.
    pub(crate) fn with_note(self, note: &str) -> Self {
        match self {
            Self::OutcomeUnknown(text) => Self::OutcomeUnknown(format!("{text} ({note})")),
            Self::InvalidAnswer(text) => Self::InvalidAnswer(format!("{text} ({note})")),
            Self::Refused {
                code,
                message,
                detail,
            } => Self::Refused {
                code,
                message,
                detail: format!("{detail} ({note})"),
            },
            other => other,
        }
    }

    /// Whether the entry refused with `code`.
    pub(crate) fn has_code(&self, code: Code) -> bool {
        matches!(self, Self::Refused { code: c, .. } if *c == code.number())
    }

    /// The exit status.
    pub fn exit(&self) -> Exit {
        match self {
            Self::File { .. } | Self::Input(_) | Self::Ticket { .. } => Exit::Input,
            Self::NoKey | Self::NoTeamKey => Exit::Usage,
            Self::Unreachable(_) => Exit::Unreachable,
            Self::OutcomeUnknown(_) | Self::InvalidAnswer(_) => Exit::Unknown,
            Self::Refused { code, .. } => match Code::from_number(*code).map(Code::ran) {
                Some(Ran::Unknown) => Exit::Unknown,
                _ => Exit::Refused,
            },
        }
    }
}

impl From<CallError> for CliError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent(addr, why) => Self::Unreachable(format!("{addr}: {why}")),
            CallError::Unknown(addr, why) => Self::OutcomeUnknown(format!("{addr}: {why}")),
        }
    }
}
