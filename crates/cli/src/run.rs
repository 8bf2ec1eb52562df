//! Carrying a command out.

use std::path::Path;
use std::time::Duration;

use cactuswheel_http::{Answer, Call};
use cactuswheel_model::Ticket;
use serde_json::Value;

use crate::{CliError, Command, Options, TicketCommand};

/// Longer than an entry takes to give a ticket up.
const LIMIT: Duration = Duration::from_secs(15);

/// Carries a command out; the text is for standard output.
pub async fn run(options: Options) -> Result<String, CliError> {
    let Options {
        entry,
        key,
        command,
    } = options;
    let call = match command {
        Command::Ticket(TicketCommand::Apply { file }) => {
            Call::post(entry, "/v1/tickets").with_json(&read_ticket(&file)?)?
        }
        Command::Status => Call::get(entry, "/v1/status"),
        Command::Config => Call::get(entry, "/v1/config"),
    };
    let answer = call.with_key(key).with_limit(LIMIT).send().await?;
    show(&answer)
}

fn read_ticket(file: &Path) -> Result<Ticket, CliError> {
    let text = std::fs::read(file).map_err(|e| CliError::Read {
        path: file.into(),
        source: e,
    })?;
    serde_json::from_slice(&text).map_err(|e| CliError::Parse {
        path: file.into(),
        source: e,
    })
}

fn show(answer: &Answer) -> Result<String, CliError> {
    let value: Value = answer.json()?;
    if answer.status.is_success() {
        return Ok(serde_json::to_string_pretty(&value)?);
    }
    let text = |name: &str| value[name].as_str().unwrap_or_default().to_owned();
    let line = format!("{} {} {}", value["code"], text("message"), text("detail"));
    Err(CliError::Refused(line.trim_end().to_owned()))
}
