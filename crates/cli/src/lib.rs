//! The operators' command line: it talks to one entry's admin API and to nothing else.

mod error;
mod options;
mod run;

pub use error::CliError;
pub use options::{Command, Options, TicketCommand, options};
pub use run::run;
