//! Assignment of instances to pools.

use serde_json::{Value, json};

use crate::client::Client;
use crate::{CliError, Output, PlanCommand, table};

/// Carries a command out and shows the plan and the moves under way.
pub(crate) async fn run(client: &Client, command: PlanCommand) -> Result<Output, CliError> {
    let shown: Value = match command {
        PlanCommand::Show => client.get("/v1/plan").await?,
        PlanCommand::Apply => client.post("/v1/plan/apply", &json!({})).await?,
    };
    let empty = Vec::new();
    let plan = &shown["plan"];
    let rows = |value: &Value| value.as_array().unwrap_or(&empty).clone();
    let mut wanted = rows(&shown["wanted"]);
    for (wish, wait) in wanted.iter_mut().zip(rows(&shown["waits"])) {
        wish["waits"] = wait;
    }
    let moves = table(&["instance", "from", "to", "reason"], &rows(&plan["moves"]));
    let missing = table(
        &["pool", "demand", "safe", "missing"],
        &rows(&plan["missing"]),
    );
    let wanted = table(&["instance", "from", "to", "waits"], &wanted);
    let text = format!("planned:\n{moves}\nmissing:\n{missing}\nunder way:\n{wanted}");
    Output::new(text, &shown)
}
