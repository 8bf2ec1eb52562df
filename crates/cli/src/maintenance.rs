//! The `maintenance` commands.

use serde_json::{Value, json};

use crate::client::Client;
use crate::date::format_utc;
use crate::{CliError, MaintenanceCommand, Output, table};

/// Milliseconds in one second.
const MILLIS_PER_SECOND: u64 = 1_000;

const PATH: &str = "/v1/maintenance";

const OUTAGE_COLUMNS: &[&str] = &["instance", "stage", "incarnation", "fence"];

/// Runs a `maintenance` command and shows the state of the newest wave.
pub(crate) async fn run(client: &Client, command: MaintenanceCommand) -> Result<Output, CliError> {
    let request = match command {
        MaintenanceCommand::Show => return render(&client.get(PATH).await?),
        MaintenanceCommand::Start { order, force } => {
            json!({"start": {"order": order, "force": force}})
        }
        MaintenanceCommand::Pause => json!({"pause": {}}),
        MaintenanceCommand::Resume => json!({"resume": {}}),
        MaintenanceCommand::Reorder { order } => json!({"reorder": {"order": order}}),
    };
    render(&client.post(PATH, &request).await?)
}

fn render(answer: &Value) -> Result<Output, CliError> {
    let mut text = headline(answer);
    let outages: Vec<_> = rows(&answer["outages"])
        .iter()
        .map(readable_outage)
        .collect();
    if !outages.is_empty() {
        text.push_str(&format!("\n{}", table(OUTAGE_COLUMNS, &outages)));
    }
    for wait in rows(&answer["waits"]).iter().filter_map(Value::as_str) {
        text.push_str(&format!("waits: {wait}\n"));
    }
    Output::new(text, answer)
}

fn headline(answer: &Value) -> String {
    let wave = &answer["wave"];
    if wave.is_null() {
        return "no wave has begun\n".to_owned();
    }
    let state = match wave["paused"] == true {
        true => "paused",
        false => "running",
    };
    let began = wave["began"].as_u64().unwrap_or_default();
    let began = format_utc(began * MILLIS_PER_SECOND);
    format!(
        "wave {} {state}, begun {began}: {} of {} instances had their turn\n",
        wave["number"], answer["done"], answer["total"]
    )
}

/// Returns an outage row with the name of its stage as text.
///
/// The stage is encoded as `"name"` or, for a stage with data, as `{"name": ...}`.
fn readable_outage(row: &Value) -> Value {
    let mut readable = row.clone();
    if let Some(name) = row["stage"].as_object().and_then(|s| s.keys().next()) {
        readable["stage"] = json!(name);
    }
    readable
}

fn rows(list: &Value) -> &[Value] {
    list.as_array().map_or(&[], Vec::as_slice)
}
