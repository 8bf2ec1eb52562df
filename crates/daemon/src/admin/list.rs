//! Lists of objects.

use cactuswheel_fleet::State;
use cactuswheel_http::{Reply, json};
use cactuswheel_model::Offset;
use hyper::StatusCode;
use serde::Serialize;

/// Rows and the state they were read from.
#[derive(Serialize)]
struct List<T> {
    /// Offset of the next record that this entry will apply.
    next: Offset,
    items: Vec<T>,
}

/// Answers with rows read from `state`.
pub(super) fn list<T: Serialize>(state: &State, rows: impl IntoIterator<Item = T>) -> Reply {
    let list = List {
        next: state.next(),
        items: rows.into_iter().collect(),
    };
    json(StatusCode::OK, &list)
}
