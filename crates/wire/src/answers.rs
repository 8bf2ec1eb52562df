//! What an entry answers to its peers.

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

/// Pause after a failed `accept`, so that running out of descriptors does not spin a core.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers of an entry; each is quick and waits for nothing.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Takes a peer's beat and gives this entry's.
    fn beat(&self, beat: Beat) -> Beat;
    /// Up to `max` records from `from` on; none if they are not held.
    fn records(&self, from: Offset, max: u32) -> Tail;
    /// Up to `max` bytes of the snapshot as of `head`, from `start` on; of the newest one if
    /// `head` is 0. None if there is no such snapshot.
    fn snapshot(&self, head: Offset, start: u64, max: u32) -> Option<Chunk>;
}

/// Answers peers on `listener` until the task is dropped.
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
    // One call after the other: an answer takes no time, and a peer cannot make this entry
    // hold many large answers at once.
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
            // No message is empty, so the peer sees an error.
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
