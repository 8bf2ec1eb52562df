//! The platform's two streams, and an archive that forgets nothing.

use cactuswheel_fleet::State;
use cactuswheel_model::Offset;
use cactuswheel_testkit::{FakeLog, FakeLogError, LogFaults};

pub struct Cloud {
    pub fleet: FakeLog<String>,
    pub snapshots: FakeLog<String>,
    /// Every record ever appended to the fleet's stream.
    pub archive: Vec<String>,
    /// `states[n]` is the fold of the first `n` records.
    pub states: Vec<State>,
}

impl Cloud {
    pub fn new(seed: u64) -> Self {
        let faults = LogFaults {
            lost_replies: 10,
            dropped_appends: 10,
            duplicated_appends: 5,
        };
        let mut cloud = Self {
            fleet: FakeLog::new(seed),
            snapshots: FakeLog::new(seed + 1),
            archive: Vec::new(),
            states: vec![State::default()],
        };
        cloud.fleet.faults = faults;
        cloud.snapshots.faults = faults;
        cloud
    }

    pub fn set_down(&mut self, down: bool) {
        self.fleet.unavailable = down;
        self.snapshots.unavailable = down;
    }

    pub fn append(&mut self, body: &str) -> Result<Offset, FakeLogError> {
        let done = self.fleet.append(&[body.to_owned()]);
        self.keep();
        done
    }

    /// Forgets all but the newest `kept` records.
    pub fn trim(&mut self, kept: usize) {
        self.keep();
        self.fleet.trim(kept);
    }

    fn keep(&mut self) {
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
