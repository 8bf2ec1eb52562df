//! An upstream's answer on its way to the caller.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use cactuswheel_routing::Event;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::abandoned::drain;
use super::live::Live;

/// A body passed on as it comes, with what its attempt holds.
///
/// A body that ends short is an error here too: hyper then breaks the caller's connection off
/// instead of ending the answer as if it were whole.
#[derive(Debug)]
pub(super) struct Relay {
    /// Some until drop.
    body: Option<Incoming>,
    /// Some until the exchange is over.
    live: Option<Live>,
}

impl Relay {
    /// Passes `body` on.
    pub(super) fn new(body: Incoming, live: Live) -> Self {
        let mut relay = Self {
            body: Some(body),
            live: Some(live),
        };
        relay.end_if_whole();
        relay
    }

    /// What the attempt holds is given back with the last byte, not when the caller has read it.
    fn end_if_whole(&mut self) {
        if !self.is_end_stream() {
            return;
        }
        if let Some(live) = self.live.take() {
            live.end();
        }
    }

    fn fail(&mut self) {
        if let Some(mut live) = self.live.take() {
            live.step(Event::Interrupted);
        }
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let relay = self.get_mut();
        let Some(body) = relay.body.as_mut() else {
            return Poll::Ready(None);
        };
        let frame = ready!(Pin::new(body).poll_frame(cx));
        match &frame {
            Some(Ok(_)) => relay.end_if_whole(),
            Some(Err(_)) => relay.fail(),
            None => {
                if let Some(live) = relay.live.take() {
                    live.end();
                }
            }
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let none = SizeHint::with_exact(0);
        self.body.as_ref().map_or(none, Body::size_hint)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let (Some(body), Some(live)) = (self.body.take(), self.live.take()) {
            drain(body, live);
        }
    }
}
