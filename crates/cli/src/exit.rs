//! Exit statuses of the process.

use std::process::ExitCode;

/// Exit status of a command, for use in scripts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command line cannot be parsed, or a key is missing.
    Usage = 1,
    /// A file or standard input is invalid.
    Input = 2,
    /// The entry refused the command.
    Refused = 3,
    /// The entry cannot be reached; the command had no effect.
    Unreachable = 4,
    /// No complete answer came; the command may have taken effect.
    Unknown = 5,
    /// Some of the entries did not answer, or did not confirm the change in time.
    Partial = 6,
}

impl Exit {
    /// Every status, in ascending order.
    pub const ALL: &[Self] = &[
        Self::Done,
        Self::Usage,
        Self::Input,
        Self::Refused,
        Self::Unreachable,
        Self::Unknown,
        Self::Partial,
    ];

    /// Returns the one-line description for the table of statuses.
    pub fn description(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Usage => "the command line cannot be read",
            Self::Input => "a file or an input cannot be used (502)",
            Self::Refused => "the entry refused; the line starts with its code",
            Self::Unreachable => "the entry cannot be reached: nothing took effect (503)",
            Self::Unknown => "no whole answer: it may have taken effect (504, and 407 of a ticket)",
            Self::Partial => "in force, but not confirmed by every entry in time (505)",
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
