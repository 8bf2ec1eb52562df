//! The life of one attempt at an upstream.

use cactuswheel_model::Ran;

/// Where an attempt stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// No byte of the request was given to a connection.
    Connecting,
    /// A connection has the request; any part of it may be at the upstream.
    Sent,
    /// The head of the answer came.
    Answering,
    /// The whole answer came.
    Whole,
    /// Over, with proof that the request did not run.
    Unsent,
    /// Over without a whole answer and without proof.
    Broken,
}

/// What happens to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// No connection could be had.
    NoConnection,
    /// A connection took the request.
    Sent,
    /// The connection gave the request back unsent.
    GivenBack,
    /// The upstream answered that it did not run the request.
    Declined,
    /// The head of an ordinary answer came.
    Head,
    /// The last byte of the answer came.
    End,
    /// The connection broke, or the time ran out.
    Broke,
}

impl Attempt {
    /// The attempt after `event`; one that is over stays as it is.
    ///
    /// Only three events prove that nothing ran, and only before the head of an answer: no
    /// connection, the request given back, the upstream's own word. Taking a broken connection
    /// for such a proof would run a request twice, since the upstream may have read it all
    /// before the connection broke.
    pub fn step(self, event: Event) -> Self {
        match (self, event) {
            (Self::Connecting, Event::NoConnection) => Self::Unsent,
            (Self::Connecting, Event::Sent) => Self::Sent,
            (Self::Sent, Event::GivenBack | Event::Declined) => Self::Unsent,
            (Self::Sent, Event::Head) => Self::Answering,
            (Self::Answering, Event::End) => Self::Whole,
            (Self::Whole | Self::Unsent | Self::Broken, _) => self,
            (Self::Connecting | Self::Sent | Self::Answering, _) => Self::Broken,
        }
    }

    /// What is known of the request's execution now.
    pub fn ran(self) -> Ran {
        match self {
            Self::Connecting | Self::Unsent => Ran::NotRun,
            Self::Whole => Ran::Ran,
            Self::Sent | Self::Answering | Self::Broken => Ran::Unknown,
        }
    }
}
