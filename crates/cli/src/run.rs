//! Dispatches a parsed command.

use crate::client::Client;
use crate::{CliError, Command, KeyCommand, Options, Output, TicketCommand};
use crate::{audit, cell, jobs, keys, maintenance, plan, status, ticket, validate, views};

/// Runs a command and returns what it prints.
pub async fn run(options: Options) -> Result<Output, CliError> {
    let key = key_or_env(options.key, "CACTUSWHEEL_KEY").ok_or(CliError::NoKey);
    let client = || key.map(|key| Client::new(options.entry, key));
    match options.command {
        Command::Ticket(TicketCommand::Validate { files }) => validate::validate(&files),
        Command::Ticket(command) => ticket::run(&client()?, command).await,
        Command::Key(KeyCommand::Digest) => keys::digest(std::io::stdin()),
        Command::Key(command) => keys::run(&client()?, command).await,
        Command::Job(job) => jobs::run(job).await,
        Command::Cell { job } => cell::show(options.entry, job).await,
        Command::Status { entries } => status::show(&client()?, &entries).await,
        Command::Maintenance(command) => maintenance::run(&client()?, command).await,
        Command::Plan(command) => plan::run(&client()?, command).await,
        Command::Audit { object, max } => audit::show(&client()?, object, max).await,
        Command::Config => views::config(&client()?).await,
        Command::Instances { pool } => views::instances(&client()?, pool).await,
        Command::Pools => views::list(&client()?, &views::POOLS).await,
        Command::Teams => views::list(&client()?, &views::TEAMS).await,
        Command::Allotments => views::allotments(&client()?).await,
        Command::Services => views::list(&client()?, &views::SERVICES).await,
        Command::Budgets => views::list(&client()?, &views::BUDGETS).await,
        Command::Dcs => views::list(&client()?, &views::DCS).await,
    }
}

/// Returns the key from the command line, or else from the environment variable `name`.
///
/// The command-line parser must not read the variable itself: its help text shows the values of
/// environment variables and would print the key.
pub(crate) fn key_or_env(key: Option<String>, name: &str) -> Option<String> {
    key.or_else(|| std::env::var(name).ok())
}
