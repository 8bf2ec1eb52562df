//! Connections to one life of one upstream.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout, timeout_at};

use super::payload::Payload;

/// Time for which a connection is kept without a request.
///
/// Shorter than the shortest keep-alive timeout that HTTP servers commonly have, 5 s: a request
/// sent while the upstream closes has an unknown outcome.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// Time in which a connection is usable again after a whole answer.
const SETTLE_LIMIT: Duration = Duration::from_millis(50);

/// Connections to one life of one upstream: those that wait for a request, and a count of all.
#[derive(Debug, Default)]
pub(crate) struct Conns {
    idle: Mutex<Vec<Idle>>,
    /// Open ones, idle or not, until their socket is closed.
    open: Arc<AtomicU32>,
}

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnError {
    /// All of this entry's share are in use, some perhaps by exchanges given up.
    ///
    /// That is no fault of the upstream: counted as one, callers who hang up would get healthy
    /// upstreams ejected.
    #[error("this entry's share of connections is in use")]
    Spent,
    /// It cannot be reached.
    #[error(transparent)]
    Unreachable(#[from] io::Error),
}

#[derive(Debug)]
struct Idle {
    conn: Conn,
    since: Instant,
}

/// A connection with at most one exchange on it; dropping it closes the socket.
///
/// It goes back to [`Conns`] only after a whole exchange. The late answer of an abandoned one
/// thus finds a closed socket and not the next caller.
#[derive(Debug)]
pub(super) struct Conn {
    /// Sends requests.
    pub(super) sender: SendRequest<Payload>,
    driver: AbortHandle,
}

/// One of the connections that count.
#[derive(Debug)]
struct Open(Arc<AtomicU32>);

impl Conns {
    /// A connection to `addr`: an idle one, or by `until` a new one if fewer than `most` are
    /// open.
    ///
    /// Nothing was sent if there is none.
    pub(super) async fn get(
        &self,
        addr: SocketAddr,
        most: u32,
        until: Instant,
    ) -> Result<Conn, ConnError> {
        if let Some(conn) = self.take(|c| c.is_ready()) {
            return Ok(conn);
        }
        if let Some(open) = Open::reserve(&self.open, most) {
            return connect(addr, open, until).await;
        }
        // An exchange that has just ended leaves its connection busy for some microseconds.
        let settling = self.take(|c| !c.is_closed());
        let mut conn = settling.ok_or(ConnError::Spent)?;
        match timeout(SETTLE_LIMIT, conn.sender.ready()).await {
            Ok(Ok(())) => Ok(conn),
            _ => Err(ConnError::Spent),
        }
    }

    /// Takes a connection back after a whole exchange.
    pub(super) fn put(&self, conn: Conn) {
        let since = Instant::now();
        self.lock().push(Idle { conn, since });
    }

    /// Closes what has been idle for long.
    pub(crate) fn sweep(&self) {
        let fresh = |idle: &Idle| idle.since.elapsed() < IDLE_LIMIT;
        self.lock()
            .retain(|i| fresh(i) && !i.conn.sender.is_closed());
    }

    /// The last used connection that is usable, so that surplus ones grow old.
    fn take(&self, usable: impl Fn(&SendRequest<Payload>) -> bool) -> Option<Conn> {
        let mut idle = self.lock();
        let fits = |i: &Idle| i.since.elapsed() < IDLE_LIMIT && usable(&i.conn.sender);
        let at = idle.iter().rposition(fits)?;
        Some(idle.remove(at).conn)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Open {
    fn reserve(open: &Arc<AtomicU32>, most: u32) -> Option<Self> {
        let more = |n: u32| (n < most).then_some(n + 1);
        open.fetch_update(Ordering::AcqRel, Ordering::Relaxed, more)
            .ok()?;
        Some(Self(open.clone()))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

async fn connect(addr: SocketAddr, open: Open, until: Instant) -> Result<Conn, ConnError> {
    let stream = match timeout_at(until, TcpStream::connect(addr)).await {
        Ok(stream) => stream?,
        Err(_) => return Err(io::Error::from(io::ErrorKind::TimedOut).into()),
    };
    // Small requests would otherwise wait for the upstream's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, conn) = handshake.map_err(io::Error::other)?;
    let driver = tokio::spawn(async move {
        let _open = open;
        // Whoever waits for an answer on it hears of the error.
        let _ = conn.await;
    });
    let driver = driver.abort_handle();
    Ok(Conn { sender, driver })
}
