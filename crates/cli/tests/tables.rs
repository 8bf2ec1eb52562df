//! Tests of table formatting.

use cactuswheel_cli::table;
use serde_json::json;

#[test]
fn aligned_columns() {
    let rows = [
        json!({"id": "a", "max_down": 1}),
        json!({"id": "long", "max_down": null}),
    ];
    let text = table(&["id", "max_down"], &rows);
    assert_eq!(text, "id    max-down\na     1\nlong  -\n");
}

#[test]
fn odd_cells() {
    let rows = [json!({"a": [], "b": ["x", "y"], "c": true, "d": ""})];
    assert_eq!(
        table(&["a", "b", "c", "d"], &rows),
        "a  b    c    d\n-  x,y  yes  -\n"
    );
}
