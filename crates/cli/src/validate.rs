//! Validates tickets without contacting an entry.

use std::path::{Path, PathBuf};

use cactuswheel_fleet::{Applied, State};
use cactuswheel_model::{Code, Record, Ticket};
use serde::Serialize;

use crate::files::read_ticket;
use crate::{CliError, Output};

/// Result for one valid file.
#[derive(Serialize)]
struct Validated {
    file: PathBuf,
    ticket: u64,
    changes: usize,
    /// A reference to an object that no earlier file adds; only an entry knows whether the object
    /// exists.
    needs: Option<String>,
}

/// Reads tickets and applies them in order to the state of an empty fleet.
pub(crate) fn validate(files: &[PathBuf]) -> Result<Output, CliError> {
    let mut state = State::default();
    let rows = files
        .iter()
        .map(|file| validate_file(&mut state, file))
        .collect::<Result<Vec<_>, _>>()?;
    let lines: Vec<_> = rows.iter().map(describe).collect();
    Output::new(lines.join("\n"), &rows)
}

fn validate_file(state: &mut State, file: &Path) -> Result<Validated, CliError> {
    let ticket = read_ticket(file)?;
    let (number, changes) = (ticket.ticket.get(), ticket.changes.len());
    let needs = apply_ticket(state, ticket, file)?;
    Ok(Validated {
        file: file.into(),
        ticket: number,
        changes,
        needs,
    })
}

fn apply_ticket(
    state: &mut State,
    ticket: Ticket,
    file: &Path,
) -> Result<Option<String>, CliError> {
    let body = serde_json::to_string(&Record::Ticket(ticket));
    let body = body.map_err(|e| CliError::file(file, e))?;
    let outcome = match state.apply(state.next(), &body) {
        Applied::Ticket(outcome) => outcome,
        other => return Err(CliError::file(file, format!("{other:?}"))),
    };
    match outcome.code {
        Code::Ok => Ok(None),
        Code::MissingReference => Ok(Some(outcome.detail.clone())),
        code => Err(CliError::Ticket {
            path: file.into(),
            code,
            detail: outcome.detail.clone(),
        }),
    }
}

fn describe(row: &Validated) -> String {
    let (file, number, changes) = (row.file.display(), row.ticket, row.changes);
    match &row.needs {
        None => format!("{file}: ticket {number}, {changes} changes, usable"),
        Some(needs) => format!(
            "{file}: ticket {number}, {changes} changes, well formed; only an entry can tell \
             the rest, as it refers to {needs}"
        ),
    }
}
