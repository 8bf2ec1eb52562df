//! Response bodies of an upstream, complete or truncated.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// A response body that may end with a connection reset before its declared length.
#[derive(Debug)]
pub(crate) struct Answer {
    /// Bytes still to be sent.
    rest: Bytes,
    /// Declared content length in bytes; `None` for chunked encoding.
    len: Option<u64>,
    /// Whether the connection is reset after `rest`.
    truncated: bool,
    /// Whether the connection had a chance to flush the bytes before the reset.
    flushed: bool,
}

impl Answer {
    /// Creates an answer that sends all of `body`.
    pub(crate) fn whole(body: Bytes) -> Self {
        Self {
            len: Some(body.len() as u64),
            rest: body,
            truncated: false,
            flushed: false,
        }
    }

    /// Creates an answer that sends the first `sent` bytes of `body`, then resets the connection.
    pub(crate) fn truncated(body: Bytes, sent: usize) -> Self {
        Self {
            len: Some(body.len() as u64),
            rest: body.slice(..sent.min(body.len())),
            truncated: true,
            flushed: false,
        }
    }

    /// Uses chunked encoding instead of a declared length.
    pub(crate) fn with_chunks(mut self) -> Self {
        self.len = None;
        self
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if !self.rest.is_empty() {
            let rest = std::mem::take(&mut self.rest);
            return Poll::Ready(Some(Ok(Frame::data(rest))));
        }
        if self.truncated && !self.flushed {
            // Returns pending once, so that the connection flushes the bytes sent so far before
            // the reset.
            self.flushed = true;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        match self.truncated {
            true => Poll::Ready(Some(Err(io::ErrorKind::ConnectionReset.into()))),
            false => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && !self.truncated
    }

    fn size_hint(&self) -> SizeHint {
        self.len.map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}
