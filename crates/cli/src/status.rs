//! The `status` command.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use serde_json::{Value, json};

use crate::client::Client;
use crate::{CliError, Exit, Output, table};

/// Timeout of one status request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

const ENTRY_COLUMNS: &[&str] = &["addr", "entry", "dc", "ready", "next", "upstreams", "error"];
const PEER_COLUMNS: &[&str] = &["entry", "next", "age_ms"];

/// Shows the status of the client's entry and of `others`.
///
/// With `others` given, a row shows an error in place of the status of an entry that could not be
/// queried. Without them, such a failure fails the command.
pub(crate) async fn show(client: &Client, others: &[SocketAddr]) -> Result<Output, CliError> {
    if others.is_empty() {
        let status: Value = client.get("/v1/status").await?;
        return render_entry(client, status);
    }
    let mut addrs = vec![client.entry()];
    addrs.extend(others.iter().filter(|a| **a != client.entry()));
    let rows = join_all(addrs.into_iter().map(|addr| fetch_status(client, addr))).await;
    let exit = match rows.iter().all(|row| row["error"].is_null()) {
        true => Exit::Done,
        false => Exit::Partial,
    };
    let text = table(ENTRY_COLUMNS, &rows);
    Ok(Output::new(text, &json!({ "entries": rows }))?.with_exit(exit))
}

fn render_entry(client: &Client, mut status: Value) -> Result<Output, CliError> {
    status["addr"] = json!(client.entry());
    let mut text = table(ENTRY_COLUMNS, std::slice::from_ref(&status));
    let peers = status["peers"].as_array().map_or(&[][..], Vec::as_slice);
    if !peers.is_empty() {
        text.push_str("\nIts peers, as last heard:\n");
        text.push_str(&table(PEER_COLUMNS, peers));
    }
    Output::new(text, &status)
}

async fn fetch_status(client: &Client, addr: SocketAddr) -> Value {
    let answer = client
        .at(addr)
        .with_timeout(REQUEST_TIMEOUT)
        .get("/v1/status")
        .await;
    let mut row = answer.unwrap_or_else(|e: CliError| json!({ "error": e.to_string() }));
    row["addr"] = json!(addr);
    row
}
