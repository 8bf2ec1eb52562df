//! Claims of the ownership by this node.

use cactuswheel_capacity::LastOwner;
use cactuswheel_model::Time;

/// A claim of the ownership, with what the node knew when it sent the claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Epoch of the ownership if the claim wins.
    pub epoch: u64,
    /// When the claim was sent.
    pub sent_at: Time,
    /// No earlier owner could still renew leases when the claim was sent.
    pub exclusive: bool,
    /// The previous owner, if there was one.
    pub predecessor: Option<LastOwner>,
}

/// The newest claim of a node, stored before the claim is sent.
///
/// The store may apply a claim whose answer is then lost. The node learns from reading the record
/// back that it owns the cell, so storing its knowledge of the previous owner when the answer
/// arrives would miss this case. Without that knowledge every instance with a recorded order would
/// count as ordered just now, and none would be moved for four seconds. Since the claim is stored
/// before it is sent, it is available however the node learns that it won.
#[derive(Debug, Default)]
pub struct Claims {
    newest: Option<Claim>,
}

impl Claims {
    /// Stores a claim that is about to be sent.
    pub fn track(&mut self, claim: Claim) {
        self.newest = Some(claim);
    }

    /// Returns this node's claim for the ownership with this epoch; `None` if its newest claim was
    /// for another epoch.
    pub fn for_epoch(&self, epoch: u64) -> Option<Claim> {
        self.newest.filter(|c| c.epoch == epoch)
    }
}
