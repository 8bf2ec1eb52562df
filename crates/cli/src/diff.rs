//! Compares a ticket with the objects in force.

use cactuswheel_model::{Change, ObjectId, Ticket};
use serde::Serialize;
use serde_json::{Map, Value};

use crate::CliError;
use crate::table::format_cell;

/// The difference between one object in a ticket and the same object in force.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub struct DiffRow {
    /// Kind and name of the object.
    pub object: String,
    /// `add`, `change`, `same`, `remove`, or `missing` for the removal of an object that does not
    /// exist.
    pub action: &'static str,
    /// Fields that differ, for the action `change`.
    pub fields: Vec<FieldDiff>,
}

/// One field that differs.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub struct FieldDiff {
    /// Name of the field.
    pub field: String,
    /// Value in force, null if the field is not set.
    pub before: Value,
    /// Value in the ticket, null if the field is not set.
    pub after: Value,
}

/// Compares a ticket with the objects in force; `config` is the answer of `/v1/config`.
pub fn diff(config: &Value, ticket: &Ticket) -> Result<Vec<DiffRow>, CliError> {
    ticket.changes.iter().map(|c| row(config, c)).collect()
}

/// Formats the rows as text, with one line for each object and one below it for each field.
pub(crate) fn render_diff(rows: &[DiffRow]) -> String {
    let mut text = String::new();
    for row in rows {
        text.push_str(&format!("{:7} {}\n", row.action, row.object));
        for FieldDiff {
            field,
            before,
            after,
        } in &row.fields
        {
            let (before, after) = (format_cell(before), format_cell(after));
            text.push_str(&format!("          {field}: {before} -> {after}\n"));
        }
    }
    text
}

fn row(config: &Value, change: &Change) -> Result<DiffRow, CliError> {
    let object = change.object();
    let before = &config[config_section(&object)][object_name(&object)];
    let object = object.to_string();
    if matches!(change, Change::Remove(_)) {
        let action = if before.is_null() {
            "missing"
        } else {
            "remove"
        };
        let fields = Vec::new();
        return Ok(DiffRow {
            object,
            action,
            fields,
        });
    }
    let after = object_fields(change)?;
    let fields = match before.as_object() {
        Some(before) => changed_fields(before, &after),
        None => Vec::new(),
    };
    let action = match (before.is_null(), fields.is_empty()) {
        (true, _) => "add",
        (false, true) => "same",
        (false, false) => "change",
    };
    Ok(DiffRow {
        object,
        action,
        fields,
    })
}

/// Returns the fields of the object in a change, which is encoded as `{"kind": {...}}`.
fn object_fields(change: &Change) -> Result<Map<String, Value>, CliError> {
    let value = serde_json::to_value(change).map_err(|e| CliError::InvalidAnswer(e.to_string()))?;
    let fields = value
        .as_object()
        .and_then(|o| o.values().next()?.as_object());
    Ok(fields.cloned().unwrap_or_default())
}

pub(crate) fn changed_fields(
    before: &Map<String, Value>,
    after: &Map<String, Value>,
) -> Vec<FieldDiff> {
    let mut names: Vec<_> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    let value = |map: &Map<String, Value>, name: &str| map.get(name).cloned().unwrap_or_default();
    names
        .into_iter()
        .filter(|name| before.get(*name) != after.get(*name))
        .map(|name| FieldDiff {
            field: name.clone(),
            before: value(before, name),
            after: value(after, name),
        })
        .collect()
}

fn config_section(object: &ObjectId) -> &'static str {
    match object {
        ObjectId::Dc(_) => "dcs",
        ObjectId::Pool(_) => "pools",
        ObjectId::Service(_) => "services",
        ObjectId::Team(_) => "teams",
        ObjectId::Key(_) => "keys",
        ObjectId::Instance(_) => "instances",
    }
}

fn object_name(object: &ObjectId) -> String {
    match object {
        ObjectId::Dc(id) => id.to_string(),
        ObjectId::Pool(id) => id.to_string(),
        ObjectId::Service(id) => id.to_string(),
        ObjectId::Team(id) => id.to_string(),
        ObjectId::Key(digest) => digest.to_string(),
        ObjectId::Instance(id) => id.to_string(),
    }
}
