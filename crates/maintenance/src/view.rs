//! Input of a driver step.

use std::time::Duration;

use cactuswheel_fleet::State;
use cactuswheel_model::{EntryId, Incarnation, InstanceId, Map, Offset, Time};

/// State of the fleet as one entry sees it at one point in time.
#[derive(Debug)]
pub struct View<'a> {
    /// Current time on this entry's own clock.
    pub now: Time,
    /// Seconds since 1970 (Unix time); used only to start the next wave.
    pub unix_time: u64,
    /// Name of this entry.
    pub entry: &'a EntryId,
    /// Number of reachable entries that come before this one in order of name; 0 for the first.
    pub rank: u32,
    /// The replicated state, built from the log records that this entry has read.
    pub state: &'a State,
    /// Time since the last answer of the log or of the roster, whichever is longer ago.
    pub staleness: Duration,
    /// The platform's roster of instances.
    pub roster: &'a Map<InstanceId, RosterStatus>,
    /// Status from worker control of the instances in
    /// [`Driver::instances_to_poll`](crate::Driver::instances_to_poll).
    pub statuses: &'a Map<InstanceId, WorkerStatus>,
}

/// Roster status of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RosterStatus {
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Whether the instance accepts work; otherwise it is leaving.
    pub live: bool,
}

/// Status of an instance as reported by worker control.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerStatus {
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Activity of the instance.
    pub activity: Activity,
    /// Number of requests and tasks that run on the instance; `None` if not reported.
    pub running: Option<u32>,
}

/// Activity of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// The instance accepts work.
    Serving,
    /// The instance finishes its work and accepts no more, under this fencing token.
    Draining(Offset),
    /// The instance is down.
    Down,
}
