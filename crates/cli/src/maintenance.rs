//! Maintenance waves.

use serde_json::{Value, json};

use crate::client::Client;
use crate::date::date;
use crate::{CliError, MaintenanceCommand, Output, table};

/// Milliseconds of a second.
const MILLIS: u64 = 1_000;

const PATH: &str = "/v1/maintenance";

const OUTAGES: &[&str] = &["instance", "stage", "incarnation", "fence"];

/// Carries out what operators do with waves, and shows where they stand.
pub(crate) async fn run(client: &Client, command: MaintenanceCommand) -> Result<Output, CliError> {
    let wish = match command {
        MaintenanceCommand::Show => return view(&client.get(PATH).await?),
        MaintenanceCommand::Start { order, force } => {
            json!({"start": {"order": order, "force": force}})
        }
        MaintenanceCommand::Pause => json!({"pause": {}}),
        MaintenanceCommand::Resume => json!({"resume": {}}),
        MaintenanceCommand::Reorder { order } => json!({"reorder": {"order": order}}),
    };
    view(&client.post(PATH, &wish).await?)
}

fn view(shown: &Value) -> Result<Output, CliError> {
    let mut text = headline(shown);
    let outages: Vec<_> = rows(&shown["outages"]).iter().map(outage).collect();
    if !outages.is_empty() {
        text.push_str(&format!("\n{}", table(OUTAGES, &outages)));
    }
    for wait in rows(&shown["waits"]).iter().filter_map(Value::as_str) {
        text.push_str(&format!("waits: {wait}\n"));
    }
    Output::new(text, shown)
}

fn headline(shown: &Value) -> String {
    let wave = &shown["wave"];
    if wave.is_null() {
        return "no wave has begun\n".to_owned();
    }
    let state = match wave["paused"] == true {
        true => "paused",
        false => "running",
    };
    let began = wave["began"].as_u64().unwrap_or_default();
    let began = date(began * MILLIS);
    format!(
        "wave {} {state}, begun {began}: {} of {} instances had their turn\n",
        wave["number"], shown["done"], shown["total"]
    )
}

/// An outage with the name of its stage, which is text or `{"name": ...}`.
fn outage(row: &Value) -> Value {
    let mut shown = row.clone();
    if let Some(name) = row["stage"].as_object().and_then(|s| s.keys().next()) {
        shown["stage"] = json!(name);
    }
    shown
}

fn rows(list: &Value) -> &[Value] {
    list.as_array().map_or(&[], Vec::as_slice)
}
