//! Commands that list objects.

use cactuswheel_model::PoolId;
use serde_json::{Value, json};

use crate::client::{Client, items};
use crate::{CliError, Output, table};

/// Path of a list in the admin API and the columns to print.
pub(crate) struct View {
    path: &'static str,
    columns: &'static [&'static str],
}

/// The list of pools.
pub(crate) const POOLS: View = View {
    path: "/v1/pools",
    columns: &[
        "id",
        "spare",
        "instances",
        "live",
        "slots",
        "demand",
        "services",
    ],
};

/// The list of teams.
pub(crate) const TEAMS: View = View {
    path: "/v1/teams",
    columns: &["id", "share", "limit"],
};

/// The list of services.
pub(crate) const SERVICES: View = View {
    path: "/v1/services",
    columns: &["id", "pool", "demand", "max_down"],
};

/// The list of availability budgets.
pub(crate) const BUDGETS: View = View {
    path: "/v1/budgets",
    columns: &[
        "service",
        "pool",
        "instances",
        "down",
        "absent",
        "max_down",
        "room",
    ],
};

/// The list of data centres.
pub(crate) const DCS: View = View {
    path: "/v1/dcs",
    columns: &["id", "region"],
};

/// The list of team keys.
pub(crate) const KEYS: View = View {
    path: "/v1/keys",
    columns: &["digest", "team", "withdrawn"],
};

const INSTANCES: View = View {
    path: "/v1/instances",
    columns: &[
        "id", "pool", "dc", "rack", "cores", "memory", "slots", "presence", "outage", "addr",
    ],
};

const ALLOTMENT_COLUMNS: &[&str] = &["team", "limit", "life", "cap", "occupied", "want", "open"];

/// Fetches a list and prints it as a table.
pub(crate) async fn list(client: &Client, view: &View) -> Result<Output, CliError> {
    let list: Value = client.get(view.path).await?;
    Output::new(table(view.columns, items(&list)), &list)
}

/// Lists instances; only those of `pool` if it is given.
pub(crate) async fn instances(client: &Client, pool: Option<PoolId>) -> Result<Output, CliError> {
    let mut list: Value = client.get(INSTANCES.path).await?;
    if let (Some(pool), Some(rows)) = (pool, list["items"].as_array_mut()) {
        rows.retain(|row| row["pool"] == pool.as_str());
    }
    Output::new(table(INSTANCES.columns, items(&list)), &list)
}

/// Shows how each team's limit is divided, with one row for each team and entry.
pub(crate) async fn allotments(client: &Client) -> Result<Output, CliError> {
    let list: Value = client.get("/v1/allotments").await?;
    let rows: Vec<_> = items(&list).iter().flat_map(entry_rows).collect();
    Output::new(table(ALLOTMENT_COLUMNS, &rows), &list)
}

/// Returns one row for each entry of a team, with the team's name and limit added.
fn entry_rows(team: &Value) -> Vec<Value> {
    let entries = team["entries"].as_array().map_or(&[][..], Vec::as_slice);
    let rows = entries.iter().map(|entry| {
        let mut row = entry.clone();
        row["team"] = team["team"].clone();
        row["limit"] = team["limit"].clone();
        row
    });
    rows.collect()
}

/// Prints all objects in force as JSON.
pub(crate) async fn config(client: &Client) -> Result<Output, CliError> {
    let config: Value = client.get("/v1/config").await?;
    Output::new(format!("{config:#}"), &json!(config))
}
