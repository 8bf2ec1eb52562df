//! A loopback proxy that misbehaves.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// What becomes of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    /// They go through.
    Pass,
    /// They go through later.
    Delay,
    /// None goes through in either direction, and nothing says so.
    Stall,
    /// Requests go through, answers do not.
    StallReplies,
    /// Connections are reset.
    Reset,
}

/// Time by which bytes are held up.
const ADDED_LATENCY: Duration = Duration::from_millis(120);

/// How often a held connection looks whether bytes may pass.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A proxy in front of one address; copies share it.
#[derive(Debug, Clone)]
pub struct Proxy {
    addr: SocketAddr,
    mode: Arc<AtomicU8>,
    /// Bytes a second that go through in each direction, over all connections; 0 for no bound.
    rate: Arc<AtomicU64>,
    /// When the bytes that were let through before are through: there and back.
    busy_until: Arc<[Mutex<Instant>; 2]>,
}

impl Proxy {
    /// Listens on `host` for `target`.
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

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Switches what becomes of bytes, on open connections too.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::Relaxed);
    }

    /// Lets only so many bytes a second through in each direction, over all connections.
    pub fn limit_rate(&self, rate: u64) {
        self.rate.store(rate, Ordering::Relaxed);
    }

    /// Waits until so many bytes are through.
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
        // Either end closes the connection; dropping both halves resets or ends the other.
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
