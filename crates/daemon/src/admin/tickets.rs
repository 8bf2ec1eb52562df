//! Putting tickets into force.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_fleet::Outcome;
use cactuswheel_http::{Reply, json, read_json};
use cactuswheel_model::{Code, Offset, OperatorId, Record, Refusal, Ticket};
use cactuswheel_platform::{Log, LogError, Stream};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use tokio::time::{Instant, sleep, timeout_at};

use crate::shared::Shared;

/// Time within which a ticket has to be read back from the log.
const LIMIT: Duration = Duration::from_secs(10);

/// Pause before an append is repeated.
const PAUSE: Duration = Duration::from_millis(200);

/// Appends a ticket and answers with its outcome once this entry has read it back.
pub(super) async fn apply(
    shared: Arc<Shared>,
    operator: OperatorId,
    request: Request<Incoming>,
) -> Result<Reply, Refusal> {
    let ticket: Ticket = read_json(request.into_body())
        .await
        .map_err(|e| Refusal::new(Code::BadTicket).with_detail(e))?;
    let ticket = Ticket {
        author: Some(operator),
        ..ticket
    };
    let outcome = put(&shared, ticket).await?;
    if outcome.code == Code::Ok {
        log::info!(
            "ticket {} in force at offset {}",
            outcome.ticket,
            outcome.offset
        );
        return Ok(json(StatusCode::OK, &*outcome));
    }
    Err(Refusal::new(outcome.code).with_detail(outcome.detail.clone()))
}

async fn put(shared: &Shared, ticket: Ticket) -> Result<Arc<Outcome>, Refusal> {
    let until = Instant::now() + LIMIT;
    let digest = ticket.digest();
    let number = ticket.ticket;
    let body = serde_json::to_string(&Record::Ticket(ticket))
        .map_err(|e| Refusal::new(Code::BadTicket).with_detail(e.to_string()))?;
    let offset = append(shared, body, until).await?;
    let mut reached = shared.reached.subscribe();
    let read_back = reached.wait_for(|next| *next > offset);
    if timeout_at(until, read_back).await.is_err() {
        return Err(Refusal::new(Code::LogUnknown).with_detail("not read back in time"));
    }
    let state = shared.state.load();
    let Some(first) = state.ledger().outcome(number) else {
        return Err(Refusal::new(Code::TicketStale).with_detail("its number is long past"));
    };
    if first.digest == digest {
        return Ok(first.clone());
    }
    let detail = format!("used at offset {}", first.offset);
    Err(Refusal::new(Code::TicketUsed).with_detail(detail))
}

/// Appends until an answer comes.
///
/// An append whose answer was lost may stand in the log. Sending it again is safe: the fold
/// gives a repeat the first one's result.
async fn append(shared: &Shared, body: String, until: Instant) -> Result<Offset, Refusal> {
    loop {
        let error = match shared
            .platform
            .append(Stream::Fleet, vec![body.clone()])
            .await
        {
            Ok(done) => return Ok(done.offset),
            Err(LogError::Trimmed(_)) => "trimmed".to_owned(),
            Err(e) => e.to_string(),
        };
        if Instant::now() + PAUSE >= until {
            return Err(Refusal::new(Code::LogUnknown).with_detail(error));
        }
        sleep(PAUSE).await;
    }
}
