//! Formats tables.

use serde_json::Value;

/// Formats `rows` as a table with a header line; `columns` are the names of the fields to show.
pub fn table(columns: &[&str], rows: &[Value]) -> String {
    let head: Vec<String> = columns.iter().map(|c| c.replace('_', "-")).collect();
    let body = rows
        .iter()
        .map(|row| columns.iter().map(|c| format_cell(&row[*c])).collect());
    let lines: Vec<Vec<String>> = std::iter::once(head).chain(body).collect();
    let width = |i: usize| {
        let cells = lines.iter().map(|l| l[i].chars().count());
        cells.max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    lines.iter().map(|l| format_line(l, &widths)).collect()
}

fn format_line(cells: &[String], widths: &[usize]) -> String {
    let padded = cells.iter().zip(widths).map(|(c, w)| format!("{c:w$}"));
    let text = padded.collect::<Vec<_>>().join("  ");
    format!("{}\n", text.trim_end())
}

/// Formats one value: `-` for null or empty, `yes` and `no` for booleans, lists with commas.
pub(crate) fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::String(text) if text.is_empty() => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "-".to_owned(),
        Value::Array(items) => items.iter().map(format_cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}
