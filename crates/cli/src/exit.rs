//! Exit statuses.

use std::process::ExitCode;

/// How a command ended, for scripts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// The command line itself cannot be read.
    Usage = 1,
    /// A file or an input cannot be used.
    Input = 2,
    /// The entry refused.
    Refused = 3,
    /// The entry cannot be reached: nothing took effect.
    Unreachable = 4,
    /// No whole answer: the command may have taken effect.
    Unknown = 5,
    /// In force, but not confirmed by every entry in time.
    Partial = 6,
}

impl Exit {
    /// Every status, in order.
    pub const ALL: &[Self] = &[
        Self::Done,
        Self::Usage,
        Self::Input,
        Self::Refused,
        Self::Unreachable,
        Self::Unknown,
        Self::Partial,
    ];

    /// One line for the table of statuses.
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
