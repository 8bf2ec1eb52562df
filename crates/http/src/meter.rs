//! Counts the bytes that calls send and receive.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Counts the bytes of HTTP heads and bodies that calls send and receive, without the overhead of
/// TCP.
#[derive(Debug, Default)]
pub struct Meter {
    sent: AtomicU64,
    received: AtomicU64,
}

/// A stream that counts the bytes read and written.
#[derive(Debug)]
pub struct MeteredStream<S> {
    stream: S,
    meter: Option<Arc<Meter>>,
}

impl Meter {
    /// Bytes sent so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Bytes received so far.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

impl<S> MeteredStream<S> {
    /// Wraps `stream`; counts nothing if `meter` is `None`.
    pub fn new(stream: S, meter: Option<Arc<Meter>>) -> Self {
        Self { stream, meter }
    }

    fn count_sent(&self, bytes: usize) -> usize {
        if let Some(meter) = &self.meter {
            meter.sent.fetch_add(bytes as u64, Ordering::Relaxed);
        }
        bytes
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        if let Some(meter) = &self.meter {
            meter.received.fetch_add(bytes as u64, Ordering::Relaxed);
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let bytes = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        Poll::Ready(Ok(self.count_sent(bytes)))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let bytes = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        Poll::Ready(Ok(self.count_sent(bytes)))
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
