//! Times of a planned stop.

use std::time::Duration;

use cactuswheel_model::Time;

/// Time from the stop signal until the node stops accepting connections. The load balancer probes
/// once a second and removes a node after the second failed probe.
const BALANCER_DELAY: Duration = Duration::from_millis(2_300);

/// Time reserved for exiting before the platform kills the process.
const KILL_MARGIN: Duration = Duration::from_millis(500);

/// Time reserved for writing the last responses before the process exits.
const WRITE_MARGIN: Duration = Duration::from_millis(100);

/// Time that the last request on an open connection has at least.
const LAST_REQUEST: Duration = Duration::from_millis(500);

/// Times of a planned stop, counted from the stop signal.
///
/// They are in this order: no new connections, the last connection closes unless it has a request
/// in flight, the last response, the exit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSchedule {
    began: Time,
    exit: Time,
}

impl StopSchedule {
    /// Schedules a stop whose signal came at `began` and whose process is killed after `grace`.
    pub fn new(began: Time, grace: Duration) -> Self {
        let exit = began.after(grace.saturating_sub(KILL_MARGIN));
        Self { began, exit }
    }

    /// When the stop signal came.
    pub fn began(&self) -> Time {
        self.began
    }

    /// When the node stops accepting connections.
    pub fn refuses_connections(&self) -> Time {
        self.began.after(BALANCER_DELAY).min(self.closes_idle())
    }

    /// When the node closes every connection without a request in flight, however short it has been
    /// idle.
    pub fn closes_idle(&self) -> Time {
        self.before_exit(WRITE_MARGIN + LAST_REQUEST)
    }

    /// When requests in flight are answered at the latest, whatever they are waiting for.
    pub fn answers_all(&self) -> Time {
        self.before_exit(WRITE_MARGIN)
    }

    /// When the process exits at the latest.
    pub fn exits(&self) -> Time {
        self.exit
    }

    fn before_exit(&self, margin: Duration) -> Time {
        let left = self.exit.since(self.began);
        self.began.after(left.saturating_sub(margin))
    }
}
