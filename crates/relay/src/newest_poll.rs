//! Order of the polls of one worker at the node that sends them.

/// Number of the newest poll of a worker that a node was asked to send.
///
/// A poll replaces the one in flight, whose outcome nobody waits for any more. Requests can overtake
/// each other, and one may arrive seconds late. If an older poll replaced a newer one, the owner
/// would wait for an outcome that is never reported.
#[derive(Debug, Default)]
pub struct NewestPoll(u64);

impl NewestPoll {
    /// Records a poll; returns whether it is to be sent, which means that it is newer than all
    /// others so far.
    pub fn advance(&mut self, number: u64) -> bool {
        let newer = number > self.0;
        self.0 = self.0.max(number);
        newer
    }
}
