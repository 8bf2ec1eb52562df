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
    Complete,
    /// Over, with proof that the request did not run.
    NotRun,
    /// Over without a whole answer and without proof.
    Failed,
}

/// What happens to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// No connection could be had.
    NoConnection,
    /// A connection took the request.
    Sent,
    /// The connection gave the request back unsent.
    ReturnedUnsent,
    /// The upstream answered that it did not run the request.
    Declined,
    /// The head of an ordinary answer came.
    ResponseHead,
    /// The last byte of the answer came.
    ResponseEnd,
    /// The connection broke, or the time ran out.
    Interrupted,
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
            (Self::Connecting, Event::NoConnection) => Self::NotRun,
            (Self::Connecting, Event::Sent) => Self::Sent,
            (Self::Sent, Event::ReturnedUnsent | Event::Declined) => Self::NotRun,
            (Self::Sent, Event::ResponseHead) => Self::Answering,
            (Self::Answering, Event::ResponseEnd) => Self::Complete,
            (Self::Complete | Self::NotRun | Self::Failed, _) => self,
            (Self::Connecting | Self::Sent | Self::Answering, _) => Self::Failed,
        }
    }

    /// What is known of the request's execution now.
    pub fn ran(self) -> Ran {
        match self {
            Self::Connecting | Self::NotRun => Ran::NotRun,
            Self::Complete => Ran::Ran,
            Self::Sent | Self::Answering | Self::Failed => Ran::Unknown,
        }
    }
}
