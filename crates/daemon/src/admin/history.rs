//! Tickets that were seen.

use cactuswheel_fleet::State;
use cactuswheel_http::{Reply, json};
use cactuswheel_model::{Code, Refusal, TicketNo};
use hyper::StatusCode;
use serde::Serialize;

use super::list::list;

/// Outcomes shown unless the query says otherwise.
const MAX: usize = 100;

#[derive(Serialize)]
struct Next {
    ticket: TicketNo,
}

/// Shows the newest outcomes, highest number first.
pub(super) fn newest(state: &State, query: Option<&str>) -> Result<Reply, Refusal> {
    let max = max_of(query)?;
    Ok(list(state, state.ledger().outcomes().rev().take(max)))
}

/// Shows one ticket's outcome, or the next free number.
pub(super) fn show(state: &State, name: &str) -> Result<Reply, Refusal> {
    if name == "next" {
        return Ok(json(StatusCode::OK, &next(state)));
    }
    let number = name.parse().map_err(|_| {
        Refusal::new(Code::NotFound).with_detail(format!("`{name}` is no ticket number"))
    })?;
    match state.ledger().outcome(number) {
        Some(outcome) => Ok(json(StatusCode::OK, &**outcome)),
        None => Err(Refusal::new(Code::NotFound).with_detail(format!("ticket {number}"))),
    }
}

fn next(state: &State) -> Next {
    let last = state.ledger().outcomes().next_back();
    let ticket = last.map_or(0, |o| o.ticket.get()) + 1;
    Next {
        ticket: TicketNo::new(ticket),
    }
}

fn max_of(query: Option<&str>) -> Result<usize, Refusal> {
    let pairs = query.unwrap_or_default().split('&');
    let Some(max) = pairs.filter_map(|p| p.strip_prefix("max=")).next_back() else {
        return Ok(MAX);
    };
    max.parse().map_err(|_| {
        Refusal::new(Code::BadRequest).with_detail(format!("max: got `{max}`, takes a number"))
    })
}
