//! Waiting until a change is in force at every entry.

use std::time::Duration;

use cactuswheel_fleet::Outcome;
use cactuswheel_model::{Code, Offset};
use futures::future::join_all;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout_at};

use crate::client::Client;
use crate::{CliError, Exit, Output, WaitOptions, table};

/// Pause between two questions.
const PAUSE: Duration = Duration::from_millis(200);

/// Time for an entry to say where it stands.
const LIMIT: Duration = Duration::from_secs(3);

/// A peer that was not heard for so long counts as not answering, in milliseconds.
const SILENT_MS: u64 = 5_000;

const COLUMNS: &[&str] = &["entry", "in_force", "next", "error"];

/// Waits, if that is asked for, and ends the command.
pub(crate) async fn finish(
    client: &Client,
    wait: &WaitOptions,
    outcome: &Outcome,
    text: String,
) -> Result<Output, CliError> {
    finish_with(client, wait, outcome, text, outcome).await
}

/// Like [`finish`], with another value for `--json`.
pub(crate) async fn finish_with(
    client: &Client,
    wait: &WaitOptions,
    outcome: &Outcome,
    text: String,
    value: &impl Serialize,
) -> Result<Output, CliError> {
    if !wait.wait {
        return Output::new(text, value);
    }
    let until = Instant::now() + Duration::from_secs(wait.within);
    let rows = match wait.entries.is_empty() {
        true => ask_peers(client, outcome.offset, until).await,
        false => ask_all(client, wait, outcome.offset, until).await,
    };
    let mut value = serde_json::to_value(value).map_err(|e| CliError::Answer(e.to_string()))?;
    value["entries"] = json!(rows);
    let done = is_everywhere(&rows);
    let mut text = format!("{text}{}", table(COLUMNS, &rows));
    if !done {
        text.push_str(&Code::NotEverywhere.to_string());
    }
    let exit = if done { Exit::Done } else { Exit::Partial };
    Ok(Output::new(text, &value)?.with_exit(exit))
}

fn is_everywhere(rows: &[Value]) -> bool {
    rows.iter().all(|row| row["in_force"] == true)
}

/// Asks each entry itself until it has gone past `offset`.
async fn ask_all(
    client: &Client,
    wait: &WaitOptions,
    offset: Offset,
    until: Instant,
) -> Vec<Value> {
    let asked = wait.entries.iter().map(|addr| async move {
        let client = client.at(*addr).with_limit(LIMIT);
        ask(&client, offset, until).await
    });
    join_all(asked).await
}

async fn ask(client: &Client, offset: Offset, until: Instant) -> Value {
    let addr = client.entry();
    let mut row = json!({"entry": addr, "in_force": false, "error": "no answer in time"});
    loop {
        let asked = timeout_at(until, client.get::<Value>("/v1/status")).await;
        row = match asked {
            Ok(Ok(status)) => entry_row(&status, offset),
            Ok(Err(e)) => json!({"entry": addr, "in_force": false, "error": e.to_string()}),
            Err(_) => return row,
        };
        if row["in_force"] == true || Instant::now() + PAUSE >= until {
            return row;
        }
        sleep(PAUSE).await;
    }
}

/// Asks one entry where it and its peers stand, until all have gone past `offset`.
async fn ask_peers(client: &Client, offset: Offset, until: Instant) -> Vec<Value> {
    let client = client.clone().with_limit(LIMIT);
    loop {
        let rows = match client.get::<Value>("/v1/status").await {
            Ok(status) => all_rows(&status, offset),
            Err(e) => {
                let error = e.to_string();
                vec![json!({"entry": client.entry(), "in_force": false, "error": error})]
            }
        };
        if is_everywhere(&rows) || Instant::now() + PAUSE >= until {
            return rows;
        }
        sleep(PAUSE).await;
    }
}

fn all_rows(status: &Value, offset: Offset) -> Vec<Value> {
    let peers = status["peers"].as_array().map_or(&[][..], Vec::as_slice);
    let mut rows = vec![entry_row(status, offset)];
    rows.extend(peers.iter().map(|peer| peer_row(peer, offset)));
    let unheard = status["unheard"].as_u64().unwrap_or(0);
    if unheard > 0 {
        let error = format!("{unheard} of the entry's peers never answered it");
        rows.push(json!({"entry": "-", "in_force": false, "error": error}));
    }
    rows
}

fn entry_row(status: &Value, offset: Offset) -> Value {
    let next = &status["next"];
    json!({"entry": status["entry"], "in_force": is_past(next, offset), "next": next})
}

fn peer_row(peer: &Value, offset: Offset) -> Value {
    let mut row = entry_row(peer, offset);
    let age = peer["age_ms"].as_u64().unwrap_or(u64::MAX);
    // What it confirmed before it fell silent stays true: an entry never goes back.
    if row["in_force"] == false && age > SILENT_MS {
        row["error"] = json!(format!("not heard for {} s", age / 1000));
    }
    row
}

fn is_past(next: &Value, offset: Offset) -> bool {
    next.as_u64().is_some_and(|next| next > offset.get())
}
