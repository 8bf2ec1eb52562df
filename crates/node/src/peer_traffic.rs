//! How many bytes calls between nodes take, beside those to the platform and its workers.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use cactuswheel_adapter::{Traffic, traffic};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

static SENT: AtomicU64 = AtomicU64::new(0);
static RECEIVED: AtomicU64 = AtomicU64::new(0);

/// What this process has sent and received, by kind of call; calls between nodes are one kind.
pub(crate) fn link_use() -> impl Iterator<Item = Traffic> {
    let peers = Traffic {
        kind: "peers",
        calls: 0,
        sent: SENT.load(Ordering::Relaxed),
        received: RECEIVED.load(Ordering::Relaxed),
    };
    traffic().chain([peers])
}

/// All that this process has sent and received, in bytes.
pub(crate) fn link_bytes() -> (u64, u64) {
    let add = |(sent, received): (u64, u64), t: Traffic| (sent + t.sent, received + t.received);
    link_use().fold((0, 0), add)
}

/// A connection between nodes, whose bytes are counted.
#[derive(Debug)]
pub(crate) struct CountedStream(TcpStream);

impl CountedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(stream)
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.0).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        RECEIVED.fetch_add(bytes as u64, Ordering::Relaxed);
        read
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.0).poll_write(cx, buf);
        if let Poll::Ready(Ok(bytes)) = &written {
            SENT.fetch_add(*bytes as u64, Ordering::Relaxed);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
