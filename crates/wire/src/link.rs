//! The client side of the calls between entries.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactuswheel_model::Offset;
use tarpc::client::Config;
use tarpc::context::{self, Context};
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Bincode;
use tokio::time::timeout;

use crate::peer::PeerClient;
use crate::{Beat, Chunk, Tail, WireError, decode, encode};

/// Largest frame, in bytes; a larger one closes the connection.
pub(crate) const MAX_FRAME: usize = 1 << 20;

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection to one peer. Clones share it.
#[derive(Debug, Clone)]
pub struct Link {
    client: PeerClient,
}

impl Link {
    /// Connects to the peer at an address.
    pub async fn connect(peer: SocketAddr) -> Result<Self, WireError> {
        let mut connect = tcp::connect(peer, Bincode::default);
        connect.config_mut().max_frame_length(MAX_FRAME);
        let transport = timeout(CONNECT_TIMEOUT, connect)
            .await
            .map_err(|_| WireError::Timeout)??;
        Ok(Self {
            client: PeerClient::new(Config::default(), transport).spawn(),
        })
    }

    /// Sends this entry's heartbeat and returns the peer's.
    pub async fn beat(&self, beat: &Beat) -> Result<Beat, WireError> {
        decode(&self.client.beat(context(), encode(beat)?).await?)
    }

    /// Fetches up to `max` records from offset `from` on; an empty list if the peer does not hold
    /// them.
    pub async fn records(&self, from: Offset, max: u32) -> Result<Tail, WireError> {
        decode(&self.client.records(context(), from.get(), max).await?)
    }

    /// Fetches up to `max` bytes, from byte `start` on, of the snapshot of all records below offset
    /// `head`, or of the newest snapshot if `head` is 0. Fails if the peer has no such snapshot.
    pub async fn snapshot(&self, head: Offset, start: u64, max: u32) -> Result<Chunk, WireError> {
        decode(
            &self
                .client
                .snapshot(context(), head.get(), start, max)
                .await?,
        )
    }
}

fn context() -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + CALL_TIMEOUT;
    context
}
