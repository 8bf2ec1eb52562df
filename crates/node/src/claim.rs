//! A claim of the ownership, and what was known when it was sent.

use cactuswheel_capacity::LastOwner;
use cactuswheel_model::Time;

/// A claim of the ownership, and what was known when it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// The ownership's number, if the claim wins.
    pub epoch: u64,
    /// When it was sent.
    pub sent_at: Time,
    /// No earlier owner was renewing leases any more.
    pub exclusive: bool,
    /// The owner before.
    pub predecessor: Option<LastOwner>,
}

/// The newest claim of a node, kept from before it is sent.
///
/// Failure: the store does a claim and its answer is lost. The record that is read back says
/// that the node owns the cell, but what it knew of the owner before was to be noted with
/// the answer; without it every instance that was ever ordered counts as ordered just now, and
/// none is moved for four seconds. Noted before the claim goes out, it is there whichever way the
/// node learns that it won.
#[derive(Debug, Default)]
pub struct Claims {
    newest: Option<Claim>,
}

impl Claims {
    /// A claim is about to be sent.
    pub fn track(&mut self, claim: Claim) {
        self.newest = Some(claim);
    }

    /// The claim that made this ownership the node's; `None` if it never claimed it.
    pub fn for_epoch(&self, epoch: u64) -> Option<Claim> {
        self.newest.filter(|c| c.epoch == epoch)
    }
}
