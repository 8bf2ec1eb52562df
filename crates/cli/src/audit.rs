//! The `audit` command.

use cactuswheel_model::ObjectId;
use serde_json::{Value, json};

use crate::client::Client;
use crate::date::format_utc;
use crate::diff::changed_fields;
use crate::table::format_cell;
use crate::{CliError, Output, table};

const COLUMNS: &[&str] = &[
    "at", "author", "ticket", "offset", "object", "code", "change", "detail",
];

/// Shows the newest `max` rows of the audit trail, oldest first; only those of `object` if given.
pub(crate) async fn show(
    client: &Client,
    object: Option<ObjectId>,
    max: usize,
) -> Result<Output, CliError> {
    let object = object.map(|o| format!("&object={}", o.path()));
    let path = format!("/v1/audit?max={max}{}", object.unwrap_or_default());
    let rows: Vec<Value> = client.get(&path).await?;
    let shown: Vec<_> = rows.iter().map(readable_row).collect();
    Output::new(table(COLUMNS, &shown), &rows)
}

/// Makes a row readable: formats its time, and adds a summary of the changed fields as `change`.
fn readable_row(row: &Value) -> Value {
    let mut readable = row.clone();
    readable["at"] = json!(row["at"].as_u64().map(format_utc));
    readable["change"] = json!(describe_change(&row["before"], &row["after"]));
    readable
}

fn describe_change(before: &Value, after: &Value) -> String {
    match (fields(before), fields(after)) {
        (None, None) => String::new(),
        (None, Some(_)) => "added".to_owned(),
        (Some(_), None) => "removed".to_owned(),
        (Some(before), Some(after)) => {
            let rows = changed_fields(before, after);
            let text = rows.iter().map(|d| {
                format!(
                    "{}: {} -> {}",
                    d.field,
                    format_cell(&d.before),
                    format_cell(&d.after)
                )
            });
            text.collect::<Vec<_>>().join(", ")
        }
    }
}

/// Returns the fields of an object before or after a change, which is encoded as
/// `{"kind": {...}}`.
fn fields(image: &Value) -> Option<&serde_json::Map<String, Value>> {
    image.as_object()?.values().next()?.as_object()
}
