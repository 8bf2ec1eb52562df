//! The audit trail.

use cactuswheel_fleet::{AuditRow, Image};
use cactuswheel_http::{Reply, json};
use cactuswheel_model::{Code, ObjectId, Offset, OperatorId, Refusal, TicketNo, WallTime};
use hyper::StatusCode;
use serde::Serialize;

use crate::shared::Shared;

/// Rows in an answer unless it asks for another number.
const MAX: usize = 100;

/// A row as the API shows it.
#[derive(Serialize)]
struct Row<'a> {
    at: Option<WallTime>,
    author: Option<&'a OperatorId>,
    ticket: Option<TicketNo>,
    offset: Offset,
    object: Option<String>,
    before: Option<&'a Image>,
    after: Option<&'a Image>,
    code: Code,
    detail: &'a str,
}

#[derive(Default)]
struct Query {
    object: Option<ObjectId>,
    from: Option<Offset>,
    max: Option<usize>,
}

/// Shows rows, oldest first: the newest ones, or those from an offset on.
pub(super) fn show(shared: &Shared, query: Option<&str>) -> Result<Reply, Refusal> {
    let query = parse(query.unwrap_or_default())?;
    let state = shared.state.load();
    let max = query.max.unwrap_or(MAX);
    let rows = state.audit().query(query.object.as_ref(), query.from, max);
    let rows: Vec<_> = rows.iter().map(|r| row(r)).collect();
    Ok(json(StatusCode::OK, &rows))
}

fn row(row: &AuditRow) -> Row<'_> {
    Row {
        at: row.at,
        author: row.author.as_ref(),
        ticket: row.ticket,
        offset: row.offset,
        object: row.object.as_ref().map(ObjectId::path),
        before: row.before.as_ref(),
        after: row.after.as_ref(),
        code: row.code,
        detail: &row.detail,
    }
}

fn parse(query: &str) -> Result<Query, Refusal> {
    let bad = |e: String| Refusal::new(Code::BadRequest).with_detail(e);
    let mut parsed = Query::default();
    let pairs = query.split('&').filter(|p| !p.is_empty());
    for (name, value) in pairs.map(|p| p.split_once('=').unwrap_or((p, ""))) {
        match name {
            _ if value.is_empty() => {}
            "object" => {
                let object = value.replace("%2F", "/").parse();
                parsed.object = Some(object.map_err(|e| bad(format!("object: {e}")))?);
            }
            "from" => parsed.from = Some(value.parse().map_err(|e| bad(format!("from: {e}")))?),
            "max" => parsed.max = Some(value.parse().map_err(|e| bad(format!("max: {e}")))?),
            _ => return Err(bad(format!("`{name}`: takes object, from, max"))),
        }
    }
    Ok(parsed)
}
