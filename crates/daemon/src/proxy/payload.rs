//! Bodies of requests on their way to an upstream.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use cactuswheel_model::{Code, Refusal};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::timeout;

/// Largest body that is read before it is sent on, in bytes, so that it can be sent again.
const BUFFERED: u64 = 64 << 10;

/// Time in which a body that is read first has to come.
const READ_LIMIT: Duration = Duration::from_secs(10);

/// A request's body.
#[derive(Debug)]
pub(super) enum Payload {
    /// All of it; empty once it is sent.
    Whole(Bytes),
    /// Passed on as it comes: it can be sent only once.
    Stream {
        /// What comes.
        body: Incoming,
        /// Bytes that may still come.
        left: u64,
    },
}

/// Why a body ends early.
#[derive(Debug, thiserror::Error)]
pub(super) enum PayloadError {
    /// The caller's connection failed.
    #[error("caller broke off: {0}")]
    Cut(#[from] hyper::Error),
    /// There is more of it than is taken.
    #[error("request body too large")]
    TooLarge,
}

impl Payload {
    /// Reads a small body whole, and leaves a larger one, or one of unknown length, to stream,
    /// up to `most` bytes.
    pub(super) async fn read(body: Incoming, most: u64) -> Result<Self, Refusal> {
        let hint = body.size_hint();
        if hint.lower() > most {
            return Err(Refusal::new(Code::BodyTooLarge));
        }
        if hint.exact().is_none_or(|n| n > BUFFERED) {
            return Ok(Self::Stream { body, left: most });
        }
        if body.is_end_stream() {
            return Ok(Self::Whole(Bytes::new()));
        }
        let bad = |detail: String| Refusal::new(Code::BadRequest).with_detail(detail);
        match timeout(READ_LIMIT, body.collect()).await {
            Ok(Ok(whole)) => Ok(Self::Whole(whole.to_bytes())),
            Ok(Err(e)) => Err(bad(e.to_string())),
            Err(_) => Err(bad("body did not come in time".to_owned())),
        }
    }

    /// The same body for another attempt, if it can be had.
    pub(super) fn again(&self) -> Option<Self> {
        match self {
            Self::Whole(bytes) => Some(Self::Whole(bytes.clone())),
            Self::Stream { .. } => None,
        }
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = PayloadError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, PayloadError>>> {
        let (body, left) = match self.get_mut() {
            Self::Whole(bytes) if bytes.is_empty() => return Poll::Ready(None),
            Self::Whole(bytes) => {
                let bytes = std::mem::take(bytes);
                return Poll::Ready(Some(Ok(Frame::data(bytes))));
            }
            Self::Stream { body, left } => (body, left),
        };
        let frame = match ready!(Pin::new(body).poll_frame(cx)) {
            Some(frame) => frame?,
            None => return Poll::Ready(None),
        };
        let len = frame.data_ref().map_or(0, |data| data.len() as u64);
        let Some(rest) = left.checked_sub(len) else {
            return Poll::Ready(Some(Err(PayloadError::TooLarge)));
        };
        *left = rest;
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_empty(),
            Self::Stream { body, .. } => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Stream { body, .. } => body.size_hint(),
        }
    }
}
