//! An upstream that breaks a connection at a chosen byte of an exchange.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Its whole answer.
pub const ANSWER: &str = "HTTP/1.1 200 OK\r\nx-own: yes\r\ncontent-length: 12\r\n\r\ntwelve bytes";

/// Several listeners with one plan and one record of what ran.
#[derive(Debug, Clone, Default)]
pub struct Cutter {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Bytes of the next exchange after which the connection breaks; none for never.
    cut: Option<usize>,
    /// Whether it breaks with a reset instead of an end.
    reset: bool,
    /// Ids of the requests that came whole.
    ran: Vec<String>,
    /// Bytes of the last request that came whole.
    len: usize,
}

impl Cutter {
    /// Breaks every exchange from now on after `cut` bytes, those of the request first.
    pub fn cut(&self, cut: Option<usize>, reset: bool) {
        let mut inner = self.lock();
        inner.cut = cut;
        inner.reset = reset;
    }

    /// How often the request `id` ran.
    pub fn runs(&self, id: &str) -> usize {
        self.lock().ran.iter().filter(|ran| *ran == id).count()
    }

    /// Bytes of the last request that came whole.
    pub fn size(&self) -> usize {
        self.lock().len
    }

    /// Listens at `at` for as long as the runtime lives.
    pub async fn listen(&self, at: SocketAddr) {
        let listener = TcpListener::bind(at).await.expect("the address is free");
        let cutter = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let cutter = cutter.clone();
                tokio::spawn(async move { cutter.converse(stream).await });
            }
        });
    }

    async fn converse(&self, mut stream: TcpStream) {
        while self.exchange(&mut stream).await {}
        if self.lock().reset {
            // Failing that, the connection ends instead of breaking.
            let _ = stream.set_zero_linger();
        }
    }

    /// One exchange; whether another may follow.
    async fn exchange(&self, stream: &mut TcpStream) -> bool {
        let mut request = Vec::new();
        loop {
            let left = self.left(request.len());
            if left == 0 {
                return false;
            }
            let mut chunk = vec![0; left.min(4096)];
            match stream.read(&mut chunk).await {
                Ok(n) if n > 0 => request.extend_from_slice(&chunk[..n]),
                _ => return false,
            }
            if let Some(id) = whole(&request) {
                let mut inner = self.lock();
                inner.ran.push(id);
                inner.len = request.len();
                break;
            }
        }
        let sent = self.left(request.len()).min(ANSWER.len());
        let done = stream.write_all(&ANSWER.as_bytes()[..sent]).await;
        done.is_ok() && sent == ANSWER.len()
    }

    /// Bytes until the cut.
    fn left(&self, done: usize) -> usize {
        self.lock()
            .cut
            .map_or(usize::MAX, |cut| cut.saturating_sub(done))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The id of a request that has come whole.
fn whole(request: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(request);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let header = |name: &str| {
        head.lines()
            .filter_map(|line| line.split_once(": "))
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.to_owned())
    };
    let len: usize = header("content-length")?.parse().ok()?;
    (body.len() >= len).then(|| header("x-request-id").unwrap_or_default())
}
