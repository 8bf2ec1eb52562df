//! The state machine of one attempt to send a request to an upstream.

use cactuswheel_model::Ran;

/// The state of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// No byte of the request has been passed to a connection.
    Connecting,
    /// A connection has the request; any part of it may have reached the upstream.
    Sent,
    /// The head of the response has arrived.
    Answering,
    /// The complete response has arrived.
    Complete,
    /// Ended, with proof that the request did not run.
    NeverRan,
    /// Ended without a complete response and without such proof.
    Failed,
}

/// An event that changes the state of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// No connection could be obtained.
    NoConnection,
    /// The request was passed to a connection.
    Sent,
    /// The connection returned the request unsent.
    ReturnedUnsent,
    /// The upstream responded that it did not run the request.
    Declined,
    /// The head of an ordinary response arrived.
    ResponseHead,
    /// The last byte of the response arrived.
    ResponseEnd,
    /// The connection broke, or the attempt timed out.
    Interrupted,
}

impl Attempt {
    /// Returns the state after `event`; an attempt that has ended keeps its state.
    ///
    /// Only three events prove that the request did not run, and only before the head of a
    /// response: no connection, the request returned unsent, and a decline by the upstream. If a
    /// broken connection were taken as such a proof, a request could run twice, since the upstream
    /// may have read all of it before the connection broke.
    pub fn step(self, event: Event) -> Self {
        match (self, event) {
            (Self::Connecting, Event::NoConnection) => Self::NeverRan,
            (Self::Connecting, Event::Sent) => Self::Sent,
            (Self::Sent, Event::ReturnedUnsent | Event::Declined) => Self::NeverRan,
            (Self::Sent, Event::ResponseHead) => Self::Answering,
            (Self::Answering, Event::ResponseEnd) => Self::Complete,
            (Self::Complete | Self::NeverRan | Self::Failed, _) => self,
            (Self::Connecting | Self::Sent | Self::Answering, _) => Self::Failed,
        }
    }

    /// What is known in this state about whether the request ran.
    pub fn ran(self) -> Ran {
        match self {
            Self::Connecting | Self::NeverRan => Ran::NotRun,
            Self::Complete => Ran::Ran,
            Self::Sent | Self::Answering | Self::Failed => Ran::Unknown,
        }
    }
}
