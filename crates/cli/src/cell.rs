//! The `cell` command, which queries a node of the cell.

use std::net::SocketAddr;
use std::time::Duration;

use cactuswheel_http::{Call, CallError};
use cactuswheel_model::Code;
use serde_json::Value;

use crate::{CliError, Output, table};

/// Timeout of a request to a node.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

const NODE_COLUMNS: &[&str] = &["node", "ready", "config", "config_age_ms", "owner", "epoch"];
const QUEUE_COLUMNS: &[&str] = &["queue", "open", "waiting"];
const POOL_COLUMNS: &[&str] = &["pool", "workers", "runs", "used_cores", "waiting_cores"];
const JOB_COLUMNS: &[&str] = &["job", "queue", "state", "age_ms", "done", "waiting"];
const RUN_COLUMNS: &[&str] = &["task", "run", "worker", "phase", "percent"];

/// Shows the state of the cell, or of one job, as reported by the node at the address `node`.
pub(crate) async fn show(node: SocketAddr, job: Option<String>) -> Result<Output, CliError> {
    let Some(job) = job else {
        let value = fetch(node, "/cell").await?;
        let mut text = table(NODE_COLUMNS, std::slice::from_ref(&value));
        push_section(
            &mut text,
            "Its queues:",
            QUEUE_COLUMNS,
            &value["cell"]["queues"],
        );
        push_section(
            &mut text,
            "Its pools:",
            POOL_COLUMNS,
            &value["cell"]["pools"],
        );
        return Output::new(text, &value);
    };
    let value = fetch(node, &format!("/cell/jobs/{job}")).await?;
    let mut text = table(JOB_COLUMNS, std::slice::from_ref(&value));
    push_section(&mut text, "Its runs:", RUN_COLUMNS, &value["runs"]);
    Output::new(text, &value)
}

fn push_section(text: &mut String, title: &str, columns: &'static [&'static str], rows: &Value) {
    let rows = rows.as_array().map_or(&[][..], Vec::as_slice);
    if !rows.is_empty() {
        text.push_str(&format!("\n{title}\n"));
        text.push_str(&table(columns, rows));
    }
}

async fn fetch(node: SocketAddr, path: &str) -> Result<Value, CliError> {
    let answer = Call::get(node, path)
        .with_timeout(REQUEST_TIMEOUT)
        .send()
        .await?;
    let code = match answer.status.as_u16() {
        200 => Code::Ok,
        400 => Code::BadRequest,
        404 => Code::NotFound,
        _ => Code::NoOwner,
    };
    if code != Code::Ok {
        return Err(CliError::Refused {
            code: code.number(),
            message: code.text().to_owned(),
            detail: String::from_utf8_lossy(&answer.body).into_owned(),
        });
    }
    let value = answer.json();
    value.map_err(|e| CallError::Unknown(node, e.to_string()).into())
}
