//! The platform's two log streams, and an archive that is never trimmed.

use cactuswheel_fleet::State;
use cactuswheel_model::Offset;
use cactuswheel_testkit::{FakeLog, FakeLogError, LogFaults};

pub struct FakePlatform {
    pub fleet: FakeLog<String>,
    pub snapshots: FakeLog<String>,
    /// Every record ever appended to the fleet's log.
    pub archive: Vec<String>,
    /// `states[n]` is the state after the first `n` records.
    pub states: Vec<State>,
}

impl FakePlatform {
    pub fn new(seed: u64) -> Self {
        let faults = LogFaults {
            lost_replies: 10,
            dropped_appends: 10,
            duplicated_appends: 5,
        };
        let mut platform = Self {
            fleet: FakeLog::new(seed),
            snapshots: FakeLog::new(seed + 1),
            archive: Vec::new(),
            states: vec![State::default()],
        };
        platform.fleet.faults = faults;
        platform.snapshots.faults = faults;
        platform
    }

    pub fn set_down(&mut self, down: bool) {
        self.fleet.unavailable = down;
        self.snapshots.unavailable = down;
    }

    pub fn append(&mut self, body: &str) -> Result<Offset, FakeLogError> {
        let done = self.fleet.append(&[body.to_owned()]);
        self.archive_new();
        done
    }

    /// Trims the fleet's log to the newest `kept` records.
    pub fn trim(&mut self, kept: usize) {
        self.archive_new();
        self.fleet.trim(kept);
    }

    fn archive_new(&mut self) {
        let from = Offset::new(self.archive.len() as u64);
        let Ok(batch) = self.fleet.read(from, usize::MAX) else {
            return;
        };
        for body in batch.records {
            let mut state = self.states.last().unwrap().clone();
            state.apply(state.next(), &body);
            self.states.push(state);
            self.archive.push(body);
        }
    }
}
