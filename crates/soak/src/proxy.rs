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
    Silent,
    /// Requests go through, answers do not.
    OneWay,
    /// Connections are reset.
    Reset,
}

/// Time by which bytes are held up.
const DELAY: Duration = Duration::from_millis(120);

/// How often a held connection looks whether bytes may pass.
const PAUSE: Duration = Duration::from_millis(20);

/// A proxy in front of one address; copies share it.
#[derive(Debug, Clone)]
pub struct Proxy {
    addr: SocketAddr,
    mode: Arc<AtomicU8>,
    /// Bytes a second that go through in each direction, over all connections; 0 for no bound.
    rate: Arc<AtomicU64>,
    /// When the bytes that were let through before are through: there and back.
    free: Arc<[Mutex<Instant>; 2]>,
}

impl Proxy {
    /// Listens on `host` for `target`.
    pub async fn start(host: IpAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((host, 0)).await?;
        let proxy = Self {
            addr: listener.local_addr()?,
            mode: Arc::new(AtomicU8::new(Mode::Pass as u8)),
            rate: Arc::default(),
            free: Arc::new([(); 2].map(|()| Mutex::new(Instant::now()))),
        };
        let served = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(served.clone().carry(stream, target));
            }
        });
        Ok(proxy)
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Switches what becomes of bytes, on open connections too.
    pub fn set(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::Relaxed);
    }

    /// Lets only so many bytes a second through in each direction, over all connections.
    pub fn narrow(&self, rate: u64) {
        self.rate.store(rate, Ordering::Relaxed);
    }

    /// Waits until so many bytes are through.
    async fn pass(&self, len: usize, there: bool) {
        let rate = self.rate.load(Ordering::Relaxed);
        if rate == 0 {
            return;
        }
        let time = Duration::from_secs_f64(len as f64 / rate as f64);
        let until = {
            let free = self.free[usize::from(there)].lock();
            let mut free = free.unwrap_or_else(PoisonError::into_inner);
            *free = (*free).max(Instant::now()) + time;
            *free
        };
        sleep(until.saturating_duration_since(Instant::now())).await;
    }

    fn is(&self, mode: Mode) -> bool {
        self.mode.load(Ordering::Relaxed) == mode as u8
    }

    async fn carry(self, caller: TcpStream, target: SocketAddr) {
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let (mut from_caller, mut to_caller) = caller.into_split();
        let (mut from_server, mut to_server) = server.into_split();
        let there = self.copy(&mut from_caller, &mut to_server, true);
        let back = self.copy(&mut from_server, &mut to_caller, false);
        // Either end closes the connection; dropping both halves resets or ends the other.
        tokio::select! {
            () = there => {}
            () = back => {}
        }
    }

    async fn copy<R, W>(&self, from: &mut R, to: &mut W, there: bool)
    where
        R: AsyncReadExt + Unpin,
        W: AsyncWriteExt + Unpin,
    {
        let mut buffer = vec![0; 16 << 10];
        loop {
            let read = tokio::select! {
                read = from.read(&mut buffer) => read,
                () = self.reset() => return,
            };
            let Ok(len @ 1..) = read else {
                return;
            };
            while self.is(Mode::Silent) || (self.is(Mode::OneWay) && !there) {
                sleep(PAUSE).await;
            }
            self.pass(len, there).await;
            if self.is(Mode::Delay) {
                sleep(DELAY).await;
            }
            if to.write_all(&buffer[..len]).await.is_err() {
                return;
            }
        }
    }

    async fn reset(&self) {
        while !self.is(Mode::Reset) {
            sleep(PAUSE).await;
        }
    }
}
