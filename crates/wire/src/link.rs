//! A connection to a peer.

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

/// Largest frame, in bytes; a longer one ends the connection.
pub(crate) const MAX_FRAME: usize = 1 << 20;

/// Time for a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Calls one peer; copies share the connection.
#[derive(Debug, Clone)]
pub struct Link {
    client: PeerClient,
}

impl Link {
    /// Connects to a peer.
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

    /// Gives this entry's beat and takes the peer's.
    pub async fn beat(&self, beat: &Beat) -> Result<Beat, WireError> {
        decode(&self.client.beat(context(), encode(beat)?).await?)
    }

    /// Up to `max` records from `from` on.
    pub async fn records(&self, from: Offset, max: u32) -> Result<Tail, WireError> {
        decode(&self.client.records(context(), from.get(), max).await?)
    }

    /// Up to `max` bytes of the snapshot as of `head`, from `start` on; of the newest one if
    /// `head` is 0.
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
