//! The operators' command line: it talks to one entry's admin API and to nothing else.

mod error;
mod exit;
mod options;
mod page;
mod run;

pub use error::CliError;
pub use exit::Exit;
pub use options::{Command, Options, TicketCommand, options};
pub use page::code_page;
pub use run::run;
