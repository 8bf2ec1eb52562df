//! Exchanges that nobody waits for any more.

use std::pin::Pin;

use cactuswheel_routing::Event;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use tokio::runtime::Handle;
use tokio::time::{Instant, timeout_at};

use super::headers::{NOT_RUN, is_set};
use super::live::Live;
use super::payload::Payload;

/// What sending a request comes to.
pub(super) type Sent = Result<Response<Incoming>, TrySendError<hyper::Request<Payload>>>;

/// Waits for the head of an answer; when dropped before, a task of its own waits on.
///
/// The upstream does not stop when a caller goes, so the team's unit and the slot stay taken
/// until the answer is over.
pub(super) struct Waiting<F>
where
    F: Future<Output = Sent> + Send + 'static,
{
    parts: Option<(Pin<Box<F>>, Live)>,
}

impl<F> Waiting<F>
where
    F: Future<Output = Sent> + Send + 'static,
{
    /// Waits for `sent`.
    pub(super) fn new(sent: F, live: Live) -> Self {
        let parts = Some((Box::pin(sent), live));
        Self { parts }
    }

    /// What came by `until`, if anything.
    pub(super) async fn head(mut self, until: Instant) -> Option<(Sent, Live)> {
        let (sent, _) = self.parts.as_mut()?;
        let sent = timeout_at(until, sent).await.ok()?;
        let (_, live) = self.parts.take()?;
        Some((sent, live))
    }
}

impl<F> Drop for Waiting<F>
where
    F: Future<Output = Sent> + Send + 'static,
{
    fn drop(&mut self) {
        let Some((sent, live)) = self.parts.take() else {
            return;
        };
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(wait(sent, live));
        }
    }
}

/// Lets the rest of an answer run out.
pub(super) fn drain(body: Incoming, live: Live) {
    if let Ok(runtime) = Handle::try_current() {
        runtime.spawn(read(body, live));
    }
}

async fn wait<F: Future<Output = Sent>>(sent: Pin<Box<F>>, mut live: Live) {
    let sent = timeout_at(live.last(), sent).await;
    if let Ok(Ok(answer)) = &sent {
        live.hear(answer.headers());
    }
    match sent {
        Ok(Ok(answer)) if is_set(answer.headers(), NOT_RUN) => live.step(Event::Declined),
        Ok(Ok(answer)) => {
            live.step(Event::ResponseHead);
            read(answer.into_body(), live).await;
        }
        Ok(Err(mut e)) => {
            let unsent = e.take_message().is_some();
            live.step(if unsent {
                Event::ReturnedUnsent
            } else {
                Event::Interrupted
            });
        }
        Err(_) => live.step(Event::Interrupted),
    }
}

/// The connection is closed afterwards in any case: only whole exchanges leave theirs.
async fn read(mut body: Incoming, mut live: Live) {
    let all = async {
        while let Some(frame) = body.frame().await {
            frame?;
        }
        Ok::<_, hyper::Error>(())
    };
    match timeout_at(live.last(), all).await {
        Ok(Ok(())) => live.step(Event::ResponseEnd),
        Ok(Err(_)) | Err(_) => live.step(Event::Interrupted),
    }
}
