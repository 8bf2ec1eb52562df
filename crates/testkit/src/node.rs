//! Interface of a simulated node.

use cactuswheel_model::Time;

/// A node's state machine together with the code that connects it to the platform and to other
/// nodes, which its daemon provides in production.
pub trait Node {
    /// State that nodes share through the platform, usually one or two [`crate::FakeLog`]s.
    type Platform;
    /// A message between nodes.
    type Message: Clone;

    /// Performs the work due at `now`.
    ///
    /// `platform` is `None` while the node's data centre is cut off from the platform.
    fn step(
        &mut self,
        now: Time,
        platform: Option<&mut Self::Platform>,
        outbox: &mut Outbox<Self::Message>,
    );

    /// Handles a message from the node with index `from`.
    fn receive(
        &mut self,
        now: Time,
        from: usize,
        message: Self::Message,
        outbox: &mut Outbox<Self::Message>,
    );
}

/// Messages that a node sends during one step.
#[derive(Debug)]
pub struct Outbox<M> {
    pub(crate) sent: Vec<(usize, M)>,
}

impl<M> Outbox<M> {
    /// Sends `message` to the node with index `to`.
    pub fn send(&mut self, to: usize, message: M) {
        self.sent.push((to, message));
    }
}

impl<M> Default for Outbox<M> {
    fn default() -> Self {
        Self { sent: Vec::new() }
    }
}
