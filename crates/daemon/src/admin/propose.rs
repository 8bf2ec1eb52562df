//! Putting an operator's record into the log.

use std::time::Duration;

use cactuswheel_model::{Code, Offset, Record, Refusal};
use cactuswheel_platform::AppendPurpose;
use tokio::time::timeout;

use crate::shared::Shared;

/// Time within which a record has to be read back from the log.
const LIMIT: Duration = Duration::from_secs(10);

/// Appends a record and waits until this entry has applied it; its offset.
///
/// The record may hold even if this fails, so only ones that may be sent again belong here.
pub(super) async fn propose(shared: &Shared, record: &Record) -> Result<Offset, Refusal> {
    let body = serde_json::to_string(record)
        .map_err(|e| Refusal::new(Code::BadRequest).with_detail(e.to_string()))?;
    let unknown = |e: String| Refusal::new(Code::LogUnknown).with_detail(e);
    let append = shared.appender.append(AppendPurpose::Ticket, body);
    let offset = timeout(LIMIT, append)
        .await
        .map_err(|_| unknown("no answer in time".into()))?
        .map_err(|e| unknown(e.to_string()))?;
    let mut reached = shared.reached.subscribe();
    let read_back = timeout(LIMIT, reached.wait_for(|next| *next > offset)).await;
    if !matches!(read_back, Ok(Ok(_))) {
        return Err(unknown("not read back in time".into()));
    }
    Ok(offset)
}
