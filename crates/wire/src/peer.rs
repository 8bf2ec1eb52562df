//! The tarpc service between entries; arguments and results are encoded messages.

use bytes::Bytes;

/// Calls between entries; [`crate::PeerHandler`] documents them.
#[tarpc::service]
pub(crate) trait Peer {
    async fn beat(beat: Bytes) -> Bytes;
    async fn records(from: u64, max: u32) -> Bytes;
    async fn snapshot(head: u64, start: u64, max: u32) -> Bytes;
}
