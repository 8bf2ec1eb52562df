//! The `plan` commands.

use serde_json::{Value, json};

use crate::client::Client;
use crate::{CliError, Output, PlanCommand, table};

const MOVE_COLUMNS: &[&str] = &["instance", "from", "to", "reason"];
const PENDING_COLUMNS: &[&str] = &["instance", "from", "to", "waits"];
const SHORTAGE_COLUMNS: &[&str] = &["pool", "demand", "safe", "missing"];

/// Shows the current plan, or applies it.
pub(crate) async fn run(client: &Client, command: PlanCommand) -> Result<Output, CliError> {
    let answer: Value = match command {
        PlanCommand::Show => client.get("/v1/plan").await?,
        PlanCommand::Apply => client.post("/v1/plan/apply", &json!({})).await?,
    };
    Output::new(render(&answer), &answer)
}

fn render(answer: &Value) -> String {
    let plan = &answer["plan"];
    let sections = [
        section("planned", MOVE_COLUMNS, rows(&plan["moves"])),
        section("under way", PENDING_COLUMNS, &pending_moves(answer)),
        section(
            "room that no move can give",
            SHORTAGE_COLUMNS,
            rows(&plan["missing"]),
        ),
    ];
    let text: String = sections
        .into_iter()
        .flatten()
        .collect::<Vec<_>>()
        .join("\n");
    match text.is_empty() {
        true => "nothing to move".to_owned(),
        false => text,
    }
}

/// Formats a table under its title; `None` if it has no rows.
fn section(name: &str, columns: &[&str], rows: &[Value]) -> Option<String> {
    (!rows.is_empty()).then(|| format!("{name}:\n{}", table(columns, rows)))
}

/// Returns the moves in progress, each with the reason why it waits.
fn pending_moves(answer: &Value) -> Vec<Value> {
    let waits = rows(&answer["waits"]);
    let pending = rows(&answer["wanted"]).iter().enumerate();
    let with_wait = pending.map(|(i, request)| {
        let mut row = request.clone();
        row["waits"] = waits.get(i).cloned().unwrap_or_default();
        row
    });
    with_wait.collect()
}

fn rows(list: &Value) -> &[Value] {
    list.as_array().map_or(&[], Vec::as_slice)
}
