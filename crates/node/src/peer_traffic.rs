//! How many bytes calls between nodes take, beside those to the platform and its workers.

use std::sync::{Arc, LazyLock};

use cactuswheel_adapter::{Traffic, traffic};
use cactuswheel_http::{Meter, Metered};
use tokio::net::TcpStream;

static PEER_METER: LazyLock<Arc<Meter>> = LazyLock::new(Arc::default);

/// A connection between nodes, whose bytes are counted.
pub(crate) fn metered(stream: TcpStream) -> Metered<TcpStream> {
    Metered::new(stream, Some(PEER_METER.clone()))
}

/// What this process has sent and received, by kind of call; calls between nodes are one kind.
pub(crate) fn traffic_by_kind() -> impl Iterator<Item = Traffic> {
    let peers = Traffic {
        kind: "peers",
        calls: 0,
        sent: PEER_METER.sent(),
        received: PEER_METER.received(),
    };
    traffic().chain([peers])
}

/// All that this process has sent and received, in bytes.
pub(crate) fn total_traffic() -> (u64, u64) {
    let add = |(sent, received): (u64, u64), t: Traffic| (sent + t.sent, received + t.received);
    traffic_by_kind().fold((0, 0), add)
}
