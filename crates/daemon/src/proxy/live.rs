//! An attempt that a connection has.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::{Incarnation, InstanceId, Ran};
use cactuswheel_routing::{Attempt, Event, Outcome};
use hyper::HeaderMap;
use tokio::runtime::Handle;
use tokio::time::{Instant, sleep};

use super::conns::Conn;
use super::headers::{LEAVING, is_set};
use super::held::Permit;
use super::slot::Slot;
use crate::shared::Shared;

/// Time between two looks whether an upstream was replaced.
const LOOK: Duration = Duration::from_millis(500);

/// Holds the team's unit, the slot and the connection of an attempt.
///
/// Invariant: the team's unit is given back only once the attempt is known to be over, or
/// cannot be running any more. Given back when the caller hangs up, a caller that hangs up and
/// comes again would have more running than the team's limit.
#[derive(Debug)]
pub(super) struct Live {
    /// Some until the exchange is over.
    conn: Option<Conn>,
    lease: Slot,
    attempt: Attempt,
    sent: Instant,
    shared: Arc<Shared>,
    /// Some until drop; dropped after the slot, so that who waits for both finds both.
    permit: Option<Permit>,
}

impl Live {
    /// An attempt whose request `conn` takes now.
    pub(super) fn new(permit: Permit, lease: Slot, conn: Conn, shared: Arc<Shared>) -> Self {
        Self {
            permit: Some(permit),
            conn: Some(conn),
            lease,
            attempt: Attempt::Connecting.step(Event::Sent),
            sent: Instant::now(),
            shared,
        }
    }

    /// The last moment at which it may still run.
    pub(super) fn last(&self) -> Instant {
        self.sent + self.shared.settings.limits.run_ms.duration()
    }

    /// Notes what happened.
    pub(super) fn step(&mut self, event: Event) {
        self.attempt = self.attempt.step(event);
        let now = self.shared.now();
        match event {
            Event::ResponseHead => self
                .lease
                .record_outcome(Outcome::Answered(self.sent.elapsed()), now),
            Event::Declined => self.lease.record_outcome(Outcome::Full, now),
            Event::Interrupted => self.lease.record_outcome(Outcome::Failed, now),
            _ => {}
        }
    }

    /// Takes the upstream's own word that it leaves, if an answer carries it.
    pub(super) fn hear(&self, headers: &HeaderMap) {
        if is_set(headers, LEAVING) {
            self.shared.hear_leaving(self.lease.upstream());
        }
    }

    /// What is known of the request's execution.
    pub(super) fn ran(&self) -> Ran {
        self.attempt.ran()
    }

    /// Ends a whole exchange: the connection may serve the next one.
    pub(super) fn end(mut self) {
        self.step(Event::ResponseEnd);
        if let Some(conn) = self.conn.take() {
            self.lease.upstream().link.put(conn);
        }
    }

    /// Ends an attempt that did not run; the team's unit is there for the next one.
    pub(super) fn unrun(mut self) -> Option<Permit> {
        match self.attempt.ran() {
            Ran::NotRun => self.permit.take(),
            Ran::Ran | Ran::Unknown => None,
        }
    }
}

impl Drop for Live {
    fn drop(&mut self) {
        if self.attempt.ran() != Ran::Unknown {
            return;
        }
        let Some(permit) = self.permit.take() else {
            return;
        };
        let upstream = self.lease.upstream();
        let wait = linger(
            permit,
            upstream.id.clone(),
            upstream.incarnation,
            self.sent + self.shared.settings.limits.timing().lost(),
            self.shared.clone(),
        );
        // Without a runtime the process ends, and its units with it.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(wait);
        }
    }
}

/// Keeps a team's unit until the request cannot be running any more: its time is over, or the
/// upstream lives another life.
async fn linger(
    permit: Permit,
    id: InstanceId,
    incarnation: Incarnation,
    last: Instant,
    shared: Arc<Shared>,
) {
    let replaced = || {
        let presences = shared.presences();
        presences
            .get(&id)
            .is_some_and(|life| life.incarnation > incarnation)
    };
    while Instant::now() < last && !replaced() {
        sleep(LOOK).await;
    }
    drop(permit);
}
