//! A TCP proxy on loopback that injects network faults.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// How the proxy treats the bytes of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    /// Forwards bytes unchanged.
    Pass,
    /// Forwards bytes after `ADDED_LATENCY`.
    Delay,
    /// Forwards nothing in either direction and keeps connections open, so neither end sees an
    /// error. Bytes already read are forwarded once the mode changes.
    Stall,
    /// Forwards requests, and stalls replies as in `Stall`.
    StallReplies,
    /// Resets or closes all connections, including new ones.
    Reset,
}

/// Delay of each chunk of bytes in [`Mode::Delay`].
const ADDED_LATENCY: Duration = Duration::from_millis(120);

/// Interval at which connections check whether the mode has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A proxy in front of one address. Clones share its state.
#[derive(Debug, Clone)]
pub struct Proxy {
    addr: SocketAddr,
    mode: Arc<AtomicU8>,
    /// Rate limit in bytes per second for each direction, shared by all connections; 0 means no
    /// limit.
    rate: Arc<AtomicU64>,
    /// When all bytes accepted so far will have been sent under the rate limit, by direction:
    /// replies (0) and requests (1).
    busy_until: Arc<[Mutex<Instant>; 2]>,
}

impl Proxy {
    /// Listens on a free port of `host` and forwards connections to `target`.
    pub async fn start(host: IpAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((host, 0)).await?;
        let proxy = Self {
            addr: listener.local_addr()?,
            mode: Arc::new(AtomicU8::new(Mode::Pass as u8)),
            rate: Arc::default(),
            busy_until: Arc::new([(); 2].map(|()| Mutex::new(Instant::now()))),
        };
        let served = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(served.clone().forward(stream, target));
            }
        });
        Ok(proxy)
    }

    /// The address that the proxy listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the mode; this applies to open connections too.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::Relaxed);
    }

    /// Limits the rate, in bytes per second for each direction, over all connections; 0 means no
    /// limit.
    pub fn limit_rate(&self, rate: u64) {
        self.rate.store(rate, Ordering::Relaxed);
    }

    /// Waits as long as `len` bytes take under the rate limit, after the bytes before them.
    async fn throttle(&self, len: usize, to_server: bool) {
        let rate = self.rate.load(Ordering::Relaxed);
        if rate == 0 {
            return;
        }
        let time = Duration::from_secs_f64(len as f64 / rate as f64);
        let until = {
            let busy = self.busy_until[usize::from(to_server)].lock();
            let mut busy = busy.unwrap_or_else(PoisonError::into_inner);
            *busy = (*busy).max(Instant::now()) + time;
            *busy
        };
        sleep(until.saturating_duration_since(Instant::now())).await;
    }

    fn has_mode(&self, mode: Mode) -> bool {
        self.mode.load(Ordering::Relaxed) == mode as u8
    }

    async fn forward(self, caller: TcpStream, target: SocketAddr) {
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let (mut from_caller, mut to_caller) = caller.into_split();
        let (mut from_server, mut to_server) = server.into_split();
        let requests = self.copy(&mut from_caller, &mut to_server, true);
        let replies = self.copy(&mut from_server, &mut to_caller, false);
        // Once either direction has ended, dropping all halves closes or resets both connections.
        tokio::select! {
            () = requests => {}
            () = replies => {}
        }
    }

    async fn copy<R, W>(&self, from: &mut R, to: &mut W, to_server: bool)
    where
        R: AsyncReadExt + Unpin,
        W: AsyncWriteExt + Unpin,
    {
        let mut buffer = vec![0; 16 << 10];
        loop {
            let read = tokio::select! {
                read = from.read(&mut buffer) => read,
                () = self.wait_reset() => return,
            };
            let Ok(len @ 1..) = read else {
                return;
            };
            while self.has_mode(Mode::Stall) || (self.has_mode(Mode::StallReplies) && !to_server) {
                sleep(POLL_INTERVAL).await;
            }
            self.throttle(len, to_server).await;
            if self.has_mode(Mode::Delay) {
                sleep(ADDED_LATENCY).await;
            }
            if to.write_all(&buffer[..len]).await.is_err() {
                return;
            }
        }
    }

    async fn wait_reset(&self) {
        while !self.has_mode(Mode::Reset) {
            sleep(POLL_INTERVAL).await;
        }
    }
}
