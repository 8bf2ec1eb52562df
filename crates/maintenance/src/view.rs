//! What a driver looks at.

use std::time::Duration;

use cactuswheel_fleet::State;
use cactuswheel_model::{EntryId, Incarnation, InstanceId, Map, Offset, Time};

/// The world as one entry sees it at one moment.
#[derive(Debug)]
pub struct View<'a> {
    /// The moment, on this entry's own clock.
    pub now: Time,
    /// Seconds since 1970; only for the start of the next wave.
    pub unix_time: u64,
    /// This entry.
    pub entry: &'a EntryId,
    /// Entries in contact that come before this one; 0 for the first.
    pub rank: u32,
    /// The fold.
    pub state: &'a State,
    /// Time since the log and the roster last answered, the older of both.
    pub staleness: Duration,
    /// The roster.
    pub roster: &'a Map<InstanceId, RosterStatus>,
    /// Worker control's word on the instances of [`Driver::instances_to_poll`](crate::Driver::instances_to_poll).
    pub statuses: &'a Map<InstanceId, WorkerStatus>,
}

/// What the roster says of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RosterStatus {
    /// Its life.
    pub incarnation: Incarnation,
    /// Whether it takes work; otherwise it is leaving.
    pub live: bool,
}

/// What worker control says of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerStatus {
    /// Its life.
    pub incarnation: Incarnation,
    /// What it does.
    pub activity: Activity,
    /// What runs on it, if it says.
    pub running: Option<u32>,
}

/// What an instance does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// It takes work.
    Serving,
    /// It finishes its work, on the grant named.
    Draining(Offset),
    /// It is down.
    Down,
}
