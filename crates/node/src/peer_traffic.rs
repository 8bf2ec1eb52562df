//! Traffic of this process: RPCs between nodes, calls to the platform and to workers.

use std::sync::{Arc, LazyLock};

use cactuswheel_adapter::{Traffic, traffic};
use cactuswheel_http::{Meter, MeteredStream};
use tokio::net::TcpStream;

static PEER_METER: LazyLock<Arc<Meter>> = LazyLock::new(Arc::default);

/// Wraps a connection to another node so that its bytes are counted.
pub(crate) fn metered(stream: TcpStream) -> MeteredStream<TcpStream> {
    MeteredStream::new(stream, Some(PEER_METER.clone()))
}

/// Bytes sent and received by this process, by kind of call; RPCs between nodes are one kind.
pub(crate) fn traffic_by_kind() -> impl Iterator<Item = Traffic> {
    let peers = Traffic {
        kind: "peers",
        calls: 0,
        sent: PEER_METER.sent(),
        received: PEER_METER.received(),
    };
    traffic().chain([peers])
}

/// Total of bytes sent and of bytes received by this process.
pub(crate) fn total_traffic() -> (u64, u64) {
    let add = |(sent, received): (u64, u64), t: Traffic| (sent + t.sent, received + t.received);
    traffic_by_kind().fold((0, 0), add)
}
