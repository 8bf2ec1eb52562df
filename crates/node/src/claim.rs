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
///
/// A claim may also fail while this node still holds an earlier epoch. The claim of that epoch is
/// kept: without it, the node would take its own ownership for another one and start the cell a
/// second time under the same epoch.
#[derive(Debug, Default)]
pub struct Claims {
    newest: Option<Claim>,
    /// The newest claim for an earlier epoch.
    previous: Option<Claim>,
}

impl Claims {
    /// Stores a claim that is about to be sent.
    pub fn track(&mut self, claim: Claim) {
        let replaced = self.newest.replace(claim);
        if let Some(earlier) = replaced.filter(|c| c.epoch != claim.epoch) {
            self.previous = Some(earlier);
        }
    }

    /// Whether the newest claim is for a later epoch than the one that this node holds, so it has not
    /// won.
    ///
    /// A node claims again only after it stopped the cell. If it renewed the epoch that it holds
    /// after a refused claim, nobody would run the cell and no other node would take over.
    pub fn is_open(&self, held: u64) -> bool {
        self.newest.is_some_and(|c| c.epoch > held)
    }

    /// Returns this node's claim for the ownership with this epoch; `None` if neither its newest
    /// claim nor the newest one for an earlier epoch was for it.
    pub fn for_epoch(&self, epoch: u64) -> Option<Claim> {
        let mut claims = self.newest.into_iter().chain(self.previous);
        claims.find(|c| c.epoch == epoch)
    }
}
