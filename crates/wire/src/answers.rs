//! The server side of the calls between entries.

use std::time::Duration;

use bytes::Bytes;
use cactuswheel_model::Offset;
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::serde_transport::new;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::codec::LengthDelimitedCodec;

use crate::link::MAX_FRAME;
use crate::peer::Peer;
use crate::{Beat, Chunk, Tail, decode, encode};

/// Pause after a failed `accept`. Without it, the loop would keep a core busy while the process is
/// out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers the calls of an entry's peers. The methods must return quickly and must not block.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Processes a peer's heartbeat and returns this entry's heartbeat.
    fn beat(&self, beat: Beat) -> Beat;
    /// Returns up to `max` records from offset `from` on; an empty list if this entry does not hold
    /// them.
    fn records(&self, from: Offset, max: u32) -> Tail;
    /// Returns up to `max` bytes, from byte `start` on, of the snapshot of all records below offset
    /// `head`, or of the newest snapshot if `head` is 0; `None` if this entry has no such snapshot.
    fn snapshot(&self, head: Offset, start: u64, max: u32) -> Option<Chunk>;
}

/// Accepts peers' connections on `listener` and answers their calls until the task is dropped.
pub async fn serve<H: PeerHandler>(listener: TcpListener, handler: H) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve_connection(stream, Server(handler.clone())));
    }
}

async fn serve_connection<H: PeerHandler>(stream: TcpStream, server: Server<H>) {
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_framed(stream);
    let channel = BaseChannel::with_defaults(new(framed, Bincode::default()));
    // Calls of a connection are answered one after another: handlers return quickly, and a peer
    // cannot make this entry hold many large responses in memory at once.
    channel
        .execute(server.serve())
        .for_each(|answer| answer)
        .await;
}

#[derive(Clone)]
struct Server<H>(H);

impl<H: PeerHandler> Peer for Server<H> {
    async fn beat(self, _: Context, beat: Bytes) -> Bytes {
        match decode(&beat) {
            Ok(beat) => encode(&self.0.beat(beat)).unwrap_or_default(),
            // No valid message is empty, so the peer gets a decoding error.
            Err(_) => Bytes::new(),
        }
    }

    async fn records(self, _: Context, from: u64, max: u32) -> Bytes {
        encode(&self.0.records(Offset::new(from), max)).unwrap_or_default()
    }

    async fn snapshot(self, _: Context, head: u64, start: u64, max: u32) -> Bytes {
        match self.0.snapshot(Offset::new(head), start, max) {
            Some(chunk) => encode(&chunk).unwrap_or_default(),
            None => Bytes::new(),
        }
    }
}
