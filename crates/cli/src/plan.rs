//! Plans of moves between pools.

use serde_json::{Value, json};

use crate::client::Client;
use crate::{CliError, Output, PlanCommand, table};

const MOVES: &[&str] = &["instance", "from", "to", "reason"];
const WANTED: &[&str] = &["instance", "from", "to", "waits"];
const MISSING: &[&str] = &["pool", "demand", "safe", "missing"];

/// Shows a plan, or has it carried out.
pub(crate) async fn run(client: &Client, command: PlanCommand) -> Result<Output, CliError> {
    let shown: Value = match command {
        PlanCommand::Show => client.get("/v1/plan").await?,
        PlanCommand::Apply => client.post("/v1/plan/apply", &json!({})).await?,
    };
    Output::new(text(&shown), &shown)
}

fn text(shown: &Value) -> String {
    let plan = &shown["plan"];
    let parts = [
        part("planned", MOVES, rows(&plan["moves"])),
        part("under way", WANTED, &wanted(shown)),
        part(
            "room that no move can give",
            MISSING,
            rows(&plan["missing"]),
        ),
    ];
    let text: String = parts.into_iter().flatten().collect::<Vec<_>>().join("\n");
    match text.is_empty() {
        true => "nothing to move".to_owned(),
        false => text,
    }
}

/// A table under its name, unless it is empty.
fn part(name: &str, columns: &[&str], rows: &[Value]) -> Option<String> {
    (!rows.is_empty()).then(|| format!("{name}:\n{}", table(columns, rows)))
}

/// Moves under way, each with why it waits.
fn wanted(shown: &Value) -> Vec<Value> {
    let waits = rows(&shown["waits"]);
    let wanted = rows(&shown["wanted"]).iter().enumerate();
    let with_wait = wanted.map(|(i, wish)| {
        let mut row = wish.clone();
        row["waits"] = waits.get(i).cloned().unwrap_or_default();
        row
    });
    with_wait.collect()
}

fn rows(list: &Value) -> &[Value] {
    list.as_array().map_or(&[], Vec::as_slice)
}
