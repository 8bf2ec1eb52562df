//! The operators' command line: a client of the entries' admin API, the callers' job API and the
//! nodes' metrics address.

mod audit;
mod cell;
mod client;
mod date;
mod diff;
mod error;
mod exit;
mod files;
mod jobs;
mod keys;
mod maintenance;
mod options;
mod output;
mod page;
mod plan;
mod run;
mod status;
mod table;
mod ticket;
mod validate;
mod views;
mod wait;

pub use diff::{DiffRow, FieldDiff, diff};
pub use error::CliError;
pub use exit::Exit;
pub use options::{
    Command, JobCommand, JobOptions, KeyCommand, MaintenanceCommand, Options, PlanCommand,
    TicketCommand, WaitOptions, options,
};
pub use output::Output;
pub use page::code_page;
pub use run::run;
pub use table::table;
