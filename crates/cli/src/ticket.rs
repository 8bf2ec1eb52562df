//! The `ticket` commands.

use std::path::Path;

use cactuswheel_fleet::Outcome;
use cactuswheel_model::Ticket;
use serde_json::Value;

use crate::client::{Client, items};
use crate::diff::{diff, render_diff};
use crate::files::read_ticket;
use crate::{CliError, Output, TicketCommand, table, validate, wait};

const OUTCOME_COLUMNS: &[&str] = &["ticket", "code", "offset", "detail"];

/// Runs a `ticket` command.
pub(crate) async fn run(client: &Client, command: TicketCommand) -> Result<Output, CliError> {
    match command {
        TicketCommand::Validate { files } => validate::validate(&files),
        TicketCommand::Check { file } => check(client, &file).await,
        TicketCommand::Diff { file } => compare(client, &file).await,
        TicketCommand::Apply { wait, file } => {
            let outcome = submit(client, &read_ticket(&file)?).await?;
            let text = in_force_line(&outcome);
            wait::finish(client, &wait, &outcome, text).await
        }
        TicketCommand::Show { number } => {
            let outcome: Value = client.get(&format!("/v1/tickets/{number}")).await?;
            let text = table(OUTCOME_COLUMNS, std::slice::from_ref(&outcome));
            Output::new(text, &outcome)
        }
        TicketCommand::History { max } => {
            let list: Value = client.get(&format!("/v1/tickets?max={max}")).await?;
            Output::new(table(OUTCOME_COLUMNS, items(&list)), &list)
        }
        TicketCommand::Next => {
            let next = next_number(client).await?;
            Output::new(next.to_string(), &next)
        }
    }
}

/// Submits a ticket; returns its outcome once the entry has read it back from the log.
pub(crate) async fn submit(client: &Client, ticket: &Ticket) -> Result<Outcome, CliError> {
    client.post("/v1/tickets", ticket).await
}

/// Returns the next free ticket number.
pub(crate) async fn next_number(client: &Client) -> Result<u64, CliError> {
    let answer: Value = client.get("/v1/tickets/next").await?;
    let missing = || CliError::InvalidAnswer("it has no ticket number".into());
    answer["ticket"].as_u64().ok_or_else(missing)
}

/// Returns the line that reports an applied ticket.
pub(crate) fn in_force_line(outcome: &Outcome) -> String {
    let Outcome { ticket, offset, .. } = outcome;
    format!("ticket {ticket} in force at offset {offset}\n")
}

async fn check(client: &Client, file: &Path) -> Result<Output, CliError> {
    let ticket = read_ticket(file)?;
    let outcome: Outcome = client.post("/v1/tickets/check", &ticket).await?;
    let text = format!("ticket {} would be in force", outcome.ticket);
    Output::new(text, &outcome)
}

async fn compare(client: &Client, file: &Path) -> Result<Output, CliError> {
    let ticket = read_ticket(file)?;
    let config: Value = client.get("/v1/config").await?;
    let rows = diff(&config, &ticket)?;
    Output::new(render_diff(&rows), &rows)
}
