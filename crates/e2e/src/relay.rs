//! A connection that can hang.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Forwards connections until it is told to hang; then they stay open and nothing passes, as
/// when a network drops packets.
#[derive(Debug)]
pub struct Relay {
    hang: watch::Sender<bool>,
    passed: Arc<AtomicU64>,
}

impl Relay {
    /// Forwards from `listen` to `target`, in a task of the test.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(listen).await.expect("a free address");
        let (hang, hangs) = watch::channel(false);
        let passed = Arc::new(AtomicU64::new(0));
        let count = passed.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, target, hangs.clone(), count.clone()));
            }
        });
        Self { hang, passed }
    }

    /// Bytes that passed, both ways together.
    pub fn passed(&self) -> u64 {
        self.passed.load(Ordering::Relaxed)
    }

    /// Lets nothing pass, or all again.
    pub fn hang(&self, hang: bool) {
        self.hang.send_replace(hang);
    }
}

async fn forward(
    near: TcpStream,
    target: SocketAddr,
    hangs: watch::Receiver<bool>,
    count: Arc<AtomicU64>,
) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    tokio::join!(
        copy(near_in, far_out, hangs.clone(), &count),
        copy(far_in, near_out, hangs, &count)
    );
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut hangs: watch::Receiver<bool>,
    passed: &AtomicU64,
) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        if hangs.wait_for(|hang| !hang).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
        passed.fetch_add(count as u64, Ordering::Relaxed);
    }
}
