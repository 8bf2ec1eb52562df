//! What goes on on a caller's connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::sleep;

/// Quiet times after which part of a request counts as given up.
const ROUNDS: u32 = 5;

/// Time in which what came during a quiet time is read.
///
/// After a time without a processor, the quiet time is over before the runtime looks at the
/// sockets: requests that came meanwhile would be lost.
const SETTLE: Duration = Duration::from_millis(20);

/// Counts of a connection.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    /// Reads that brought bytes.
    reads: AtomicU64,
    /// Requests whose answer is not out.
    busy: AtomicU32,
    /// `reads` when the last answer was out.
    mark: AtomicU64,
}

/// Marks a connection as busy; dropped with its answer's last byte.
#[derive(Debug)]
pub(super) struct Busy(Arc<Traffic>);

/// A stream whose reads are counted.
#[derive(Debug)]
pub(super) struct Counted<S> {
    stream: S,
    traffic: Arc<Traffic>,
}

impl Traffic {
    /// Waits until no request is in progress and nothing has come for `time`.
    ///
    /// Part of a request counts as one in progress for some rounds of `time`; a caller that
    /// sends no more of it by then has given it up.
    pub(super) async fn quiet(&self, time: Duration) {
        let mut rounds = 0;
        while rounds < ROUNDS {
            let before = self.reads.load(Ordering::Acquire);
            sleep(time).await;
            sleep(SETTLE).await;
            let idle = self.busy.load(Ordering::Acquire) == 0;
            let after = self.reads.load(Ordering::Acquire);
            if !idle || after != before {
                rounds = 0;
                continue;
            }
            if after == self.mark.load(Ordering::Acquire) {
                return;
            }
            rounds += 1;
        }
    }
}

impl Busy {
    /// Marks the connection of `traffic`.
    pub(super) fn new(traffic: Arc<Traffic>) -> Self {
        traffic.busy.fetch_add(1, Ordering::AcqRel);
        Self(traffic)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let traffic = &self.0;
        let reads = traffic.reads.load(Ordering::Acquire);
        traffic.mark.store(reads, Ordering::Release);
        traffic.busy.fetch_sub(1, Ordering::AcqRel);
    }
}

impl<S> Counted<S> {
    /// Counts the reads of `stream`.
    pub(super) fn new(stream: S, traffic: Arc<Traffic>) -> Self {
        Self { stream, traffic }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.traffic.reads.fetch_add(1, Ordering::AcqRel);
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
