//! Trying a ticket without putting it in.

use cactuswheel_fleet::{Applied, State};
use cactuswheel_http::{Reply, json, read_json};
use cactuswheel_model::{Code, Record, Refusal, Ticket};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};

/// Applies a ticket to a copy of the state and answers with the outcome; nothing is appended.
pub(super) async fn check(state: &State, request: Request<Incoming>) -> Result<Reply, Refusal> {
    let bad = |e: String| Refusal::new(Code::BadTicket).with_detail(e);
    let ticket: Ticket = read_json(request.into_body()).await.map_err(bad)?;
    let body = serde_json::to_string(&Record::Ticket(ticket)).map_err(|e| bad(e.to_string()))?;
    let mut copy = state.clone();
    match copy.apply(state.next(), &body) {
        Applied::Ticket(outcome) if outcome.code == Code::Ok => Ok(json(StatusCode::OK, &*outcome)),
        Applied::Ticket(outcome) => {
            Err(Refusal::new(outcome.code).with_detail(outcome.detail.clone()))
        }
        other => Err(bad(format!("{other:?}"))),
    }
}
