//! Waits until a change is in force at every entry.

use std::time::Duration;

use cactuswheel_fleet::Outcome;
use cactuswheel_model::{Code, Offset};
use futures::future::join_all;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout_at};

use crate::client::Client;
use crate::{CliError, Exit, Output, WaitOptions, table};

/// Pause between two status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of one status request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Age of a peer's last message after which it is reported as not answering, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 5_000;

const ENTRY_COLUMNS: &[&str] = &["entry", "in_force", "next", "error"];

/// Returns the command's output, after waiting for the other entries if `--wait` is given.
pub(crate) async fn finish(
    client: &Client,
    wait: &WaitOptions,
    outcome: &Outcome,
    text: String,
) -> Result<Output, CliError> {
    finish_with(client, wait, outcome, text, outcome).await
}

/// Like [`finish`], with `value` instead of the outcome for `--json`.
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
    let deadline = Instant::now() + Duration::from_secs(wait.within);
    let rows = match wait.entries.is_empty() {
        true => poll_peers(client, outcome.offset, deadline).await,
        false => poll_entries(client, wait, outcome.offset, deadline).await,
    };
    let mut value =
        serde_json::to_value(value).map_err(|e| CliError::InvalidAnswer(e.to_string()))?;
    value["entries"] = json!(rows);
    let done = is_everywhere(&rows);
    let mut text = format!("{text}{}", table(ENTRY_COLUMNS, &rows));
    if !done {
        text.push_str(&Code::NotEverywhere.to_string());
    }
    let exit = if done { Exit::Done } else { Exit::Partial };
    Ok(Output::new(text, &value)?.with_exit(exit))
}

fn is_everywhere(rows: &[Value]) -> bool {
    rows.iter().all(|row| row["in_force"] == true)
}

/// Polls each address in `wait.entries` until it has applied the record at `offset`.
async fn poll_entries(
    client: &Client,
    wait: &WaitOptions,
    offset: Offset,
    deadline: Instant,
) -> Vec<Value> {
    let polls = wait.entries.iter().map(|addr| async move {
        let client = client.at(*addr).with_timeout(REQUEST_TIMEOUT);
        poll_entry(&client, offset, deadline).await
    });
    join_all(polls).await
}

async fn poll_entry(client: &Client, offset: Offset, deadline: Instant) -> Value {
    let addr = client.entry();
    let mut row = json!({"entry": addr, "in_force": false, "error": "no answer in time"});
    loop {
        let response = timeout_at(deadline, client.get::<Value>("/v1/status")).await;
        row = match response {
            Ok(Ok(status)) => entry_row(&status, offset),
            Ok(Err(e)) => json!({"entry": addr, "in_force": false, "error": e.to_string()}),
            Err(_) => return row,
        };
        if row["in_force"] == true || Instant::now() + POLL_INTERVAL >= deadline {
            return row;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Polls one entry for its own position and its peers' until all have applied the record at
/// `offset`.
async fn poll_peers(client: &Client, offset: Offset, deadline: Instant) -> Vec<Value> {
    let client = client.clone().with_timeout(REQUEST_TIMEOUT);
    loop {
        let rows = match client.get::<Value>("/v1/status").await {
            Ok(status) => status_rows(&status, offset),
            Err(e) => {
                let error = e.to_string();
                vec![json!({"entry": client.entry(), "in_force": false, "error": error})]
            }
        };
        if is_everywhere(&rows) || Instant::now() + POLL_INTERVAL >= deadline {
            return rows;
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn status_rows(status: &Value, offset: Offset) -> Vec<Value> {
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
    json!({"entry": status["entry"], "in_force": has_applied(next, offset), "next": next})
}

fn peer_row(peer: &Value, offset: Offset) -> Value {
    let mut row = entry_row(peer, offset);
    let age = peer["age_ms"].as_u64().unwrap_or(u64::MAX);
    // A change that a peer confirmed before it stopped answering stays in force there, because
    // the position of an entry in the log never decreases.
    if row["in_force"] == false && age > PEER_TIMEOUT_MS {
        row["error"] = json!(format!("not heard for {} s", age / 1000));
    }
    row
}

fn has_applied(next: &Value, offset: Offset) -> bool {
    next.as_u64().is_some_and(|next| next > offset.get())
}
