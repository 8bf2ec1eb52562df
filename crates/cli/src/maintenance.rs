//! Maintenance waves.

use serde_json::{Value, json};

use crate::client::Client;
use crate::{CliError, MaintenanceCommand, Output, table};

/// Where an entry takes wishes about waves.
const PATH: &str = "/v1/maintenance";

/// Carries a command out and shows how maintenance stands after it.
pub(crate) async fn run(client: &Client, command: MaintenanceCommand) -> Result<Output, CliError> {
    let wish = match command {
        MaintenanceCommand::Show => return show(&client.get(PATH).await?),
        MaintenanceCommand::Start { force, order } => {
            json!({"start": {"force": force, "order": order}})
        }
        MaintenanceCommand::Pause => json!({"pause": {}}),
        MaintenanceCommand::Resume => json!({"resume": {}}),
        MaintenanceCommand::Reorder { order } => json!({"reorder": {"order": order}}),
    };
    show(&client.post(PATH, &wish).await?)
}

fn show(shown: &Value) -> Result<Output, CliError> {
    let mut text = match &shown["wave"] {
        Value::Null => "no wave has begun\n".to_owned(),
        wave => format!(
            "wave {}: {} of {} done\n",
            wave["number"], shown["done"], shown["total"]
        ),
    };
    let empty = Vec::new();
    for wait in shown["waits"].as_array().unwrap_or(&empty) {
        let wait = wait.as_str().unwrap_or_default();
        text.push_str(&format!("waits: {wait}\n"));
    }
    let outages = shown["outages"].as_array().unwrap_or(&empty);
    text.push_str(&table(
        &["instance", "incarnation", "stage", "fence"],
        outages,
    ));
    Output::new(text, shown)
}
