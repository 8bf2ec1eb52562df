//! Errors of the command line.

use std::path::{Path, PathBuf};

use cactuswheel_http::CallError;
use cactuswheel_model::{Code, Ran};

use crate::Exit;

/// A failed command; displays as one line that starts with the result code's number.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// A file cannot be read or has invalid content.
    #[error("{}: {}: {message}", Code::BadFile, path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The cause, with the position in the file if known.
        message: String,
    },
    /// Standard input, or a request body made from input, is invalid.
    #[error("{code}: standard input: {0}", code = Code::BadFile)]
    Input(String),
    /// A ticket is valid JSON, but no fleet could apply it.
    #[error("{code}: {}: {detail}", path.display())]
    Ticket {
        /// Path of the file.
        path: PathBuf,
        /// The result code of the ticket.
        code: Code,
        /// Details of the refusal.
        detail: String,
    },
    /// No operator key was given.
    #[error("{}: set CACTUSWHEEL_KEY", Code::NotOperator)]
    NoKey,
    /// No team key was given.
    #[error("{}: set CACTUSWHEEL_TEAM_KEY", Code::NoKey)]
    NoTeamKey,
    /// The request was not sent because the entry could not be reached.
    #[error("{code}: {0}", code = Code::EntryUnreachable)]
    Unreachable(String),
    /// No complete answer came; the entry may have run the command.
    #[error("{code}: {0}", code = Code::EntryLost)]
    OutcomeUnknown(String),
    /// The entry refused the command.
    #[error("{code} {message}{}{detail}", if detail.is_empty() { "" } else { ": " })]
    Refused {
        /// Number of the result code.
        code: u16,
        /// Text of the result code.
        message: String,
        /// Details of the refusal.
        detail: String,
    },
    /// The answer could not be parsed, or a result could not be written as JSON.
    #[error("{code}: its answer cannot be read: {0}", code = Code::EntryLost)]
    InvalidAnswer(String),
}

impl CliError {
    /// Returns a [`CliError::File`] for the file at `path`.
    pub(crate) fn file(path: &Path, message: impl ToString) -> Self {
        Self::File {
            path: path.into(),
            message: message.to_string(),
        }
    }

    /// Appends `note` in parentheses to errors after which the command may have taken effect, and
    /// to refusals; returns other errors unchanged.
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

    /// Returns whether the entry refused the command with `code`.
    pub(crate) fn has_code(&self, code: Code) -> bool {
        matches!(self, Self::Refused { code: c, .. } if *c == code.number())
    }

    /// Returns the exit status of the process.
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
