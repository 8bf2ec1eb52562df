//! Putting tickets into force.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cactuswheel_fleet::Outcome;
use cactuswheel_http::{Reply, json, read_json};
use cactuswheel_model::{
    Code, Digest, ObjectId, Offset, OperatorId, Record, Refusal, Ticket, WallTime,
};
use cactuswheel_platform::{AppendPurpose, LogError};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use tokio::time::{Instant, timeout_at};

use crate::shared::Shared;

/// Time within which a ticket has to be read back from the log.
const LIMIT: Duration = Duration::from_secs(10);

/// Pause before an append that took no effect is repeated.
const PAUSE: Duration = Duration::from_millis(200);

/// Time for a record whose append had no answer to be read back, before it is sent again.
const DOUBT: Duration = Duration::from_secs(1);

/// Largest record, in bytes; the platform takes little more.
const MAX_RECORD: usize = 4 << 20;

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
        at: Some(wall_time()),
        ..ticket
    };
    check_reason(&shared, &ticket)?;
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

/// Refuses a reason that holds a key.
///
/// Failure: an operator pastes a key into the reason, and it stands readable in the log for as
/// long as that keeps it. Every word is compared by its digest with all keys known here and
/// with those that the ticket grants; a key that neither holds opens nothing.
fn check_reason(shared: &Shared, ticket: &Ticket) -> Result<(), Refusal> {
    let state = shared.state.load();
    let granted = |digest: &Digest| {
        let mut changes = ticket.changes.iter();
        changes.any(|c| c.object() == ObjectId::Key(*digest))
    };
    let operator = |digest: &Digest| {
        let mut operators = shared.settings.operators.iter();
        operators.any(|o| o.digest == *digest)
    };
    let plain = |c: char| c.is_whitespace() || "\"'`,;()<>".contains(c);
    let mut words = ticket.reason.split(plain).filter(|w| !w.is_empty());
    let found = words.any(|word| {
        let digest = Digest::of(word.as_bytes());
        state.config().keys.contains(&digest) || granted(&digest) || operator(&digest)
    });
    match found {
        true => Err(Refusal::new(Code::BadTicket).with_detail("the reason holds a key")),
        false => Ok(()),
    }
}

fn wall_time() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    WallTime::new(since.unwrap_or_default().as_millis() as u64)
}

/// Appends until the ticket's number is read back.
///
/// An append whose answer was lost may stand in the log, so the log is read first; sending it
/// again is safe, since the fold gives a repeat the first one's result. Success is said only
/// of what was read back: an answer of the log that says otherwise, or none, is no outcome.
async fn put(shared: &Shared, ticket: Ticket) -> Result<Arc<Outcome>, Refusal> {
    let until = Instant::now() + LIMIT;
    let digest = ticket.digest();
    let number = ticket.ticket;
    let body = serde_json::to_string(&Record::Ticket(ticket))
        .map_err(|e| Refusal::new(Code::BadTicket).with_detail(e.to_string()))?;
    if body.len() > MAX_RECORD {
        let detail = format!("{} bytes, takes {MAX_RECORD}", body.len());
        return Err(Refusal::new(Code::BadTicket).with_detail(detail));
    }
    let find = || shared.state.load().ledger().outcome(number).cloned();
    if let Some(first) = find().filter(|first| first.digest == digest) {
        return Ok(first);
    }
    loop {
        let append = shared.appender.append(AppendPurpose::Ticket, body.clone());
        let error = match timeout_at(until, append).await {
            Ok(Ok(offset)) => {
                read_back(shared, |next| next > offset, until).await;
                return judge(shared, find(), offset, digest);
            }
            Ok(Err(e)) => e,
            Err(_) => LogError::Unknown("no answer in time".into()),
        };
        let pause = match error {
            LogError::Unavailable(_) => PAUSE,
            _ => DOUBT,
        };
        let again = until.min(Instant::now() + pause);
        read_back(shared, |_| find().is_some(), again).await;
        if let Some(first) = find() {
            return settle(first, digest);
        }
        if again == until {
            return Err(Refusal::new(Code::LogUnknown).with_detail(error.to_string()));
        }
    }
}

/// Waits until the state is as wanted, or until `until`.
async fn read_back(shared: &Shared, wanted: impl Fn(Offset) -> bool, until: Instant) {
    let mut reached = shared.reached.subscribe();
    let wait = reached.wait_for(|next| wanted(*next));
    // Whether it came in time shows in the state itself.
    let _ = timeout_at(until, wait).await;
}

fn judge(
    shared: &Shared,
    found: Option<Arc<Outcome>>,
    offset: Offset,
    digest: Digest,
) -> Result<Arc<Outcome>, Refusal> {
    match found {
        Some(first) => settle(first, digest),
        None if shared.state.load().next() > offset => {
            Err(Refusal::new(Code::TicketStale).with_detail("its number is long past"))
        }
        None => Err(Refusal::new(Code::LogUnknown).with_detail("not read back in time")),
    }
}

fn settle(first: Arc<Outcome>, digest: Digest) -> Result<Arc<Outcome>, Refusal> {
    if first.digest == digest {
        return Ok(first);
    }
    let detail = format!("used at offset {}", first.offset);
    Err(Refusal::new(Code::TicketUsed).with_detail(detail))
}
