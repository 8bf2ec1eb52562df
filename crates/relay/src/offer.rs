//! Offers of nodes to relay orders, and the owner's replies.

use std::net::SocketAddr;

use cactuswheel_model::Time;
use cactuswheel_work::{NodeName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::Capacity;

/// An offer of a node to relay orders. While the node is a relay, it repeats the offer as a
/// heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The node that offers.
    pub node: NodeName,
    /// Incarnation of the node's process; differs after a restart.
    pub life: u64,
    /// Data centre of the node.
    pub zone: ZoneName,
    /// Address at which the node accepts orders.
    pub addr: SocketAddr,
    /// How many workers the node can relay orders to.
    pub capacity: Capacity,
    /// Time on the node's monotonic clock when it sent the offer.
    pub clock: Time,
    /// The node is about to stop and accepts no new orders.
    pub leaving: bool,
}

/// The reply to an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The node is a relay from now on, or still is one.
    Wanted,
    /// The owner has enough relays or needs none, or it does not accept the node for now because it
    /// is about to stop or its previous incarnation is still a relay.
    Enough,
    /// The owner does not know the number of workers yet; the node should offer again soon.
    NotYet,
    /// The node that received the offer does not own the cell, or has not finished its
    /// takeover.
    NotOwner,
}
