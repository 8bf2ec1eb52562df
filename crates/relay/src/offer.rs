//! What nodes offer, and what they are told.

use std::net::SocketAddr;

use cactuswheel_model::Time;
use cactuswheel_work::{NodeName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::Capacity;

/// A node offers to carry orders; repeated as a heartbeat while it is wanted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The node.
    pub node: NodeName,
    /// Tells lives of one node apart.
    pub life: u64,
    /// Its data centre.
    pub zone: ZoneName,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// For how many workers.
    pub capacity: Capacity,
    /// Its steady clock when it sent this.
    pub clock: Time,
    /// It stops before long and wants nothing new.
    pub leaving: bool,
}

/// What becomes of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The node carries orders from now on.
    Wanted,
    /// There are enough others, or the owner needs none.
    Enough,
    /// The owner does not know its workers yet.
    NotYet,
    /// Whoever was asked does not own the cell, or not yet.
    NotOwner,
}
