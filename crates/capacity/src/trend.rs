//! How much a pool is asked for.

use std::collections::VecDeque;
use std::time::Duration;

use cactuswheel_cell::Load;
use cactuswheel_model::Time;
use cactuswheel_work::Room;

/// Times over which arrivals are averaged; the highest average counts. A queue that turns busy
/// shows within the shortest, one with few, large jobs in the longest.
const WINDOWS: [Duration; 3] = [
    Duration::from_millis(1_000),
    Duration::from_millis(500),
    Duration::from_millis(250),
];

/// Jobs that have to arrive within a window other than the longest before its average counts.
const LEAST_JOBS: u64 = 6;

/// Time for which the highest target counts before a pool shrinks. Keeping an instance for a
/// second costs about what moving it costs.
const SHRINK_AFTER: Duration = Duration::from_millis(1_000);

/// Room beyond what is asked for: tasks of up to a third of an instance leave gaps.
const GAPS: f64 = 1.2;

/// Instances beyond that while short work comes in.
const RESERVE: f64 = 0.5;

/// How much one pool is asked for, now and lately.
#[derive(Debug, Default)]
pub(crate) struct Trend {
    /// Work that had arrived by then, in core-milliseconds, and the number of jobs.
    arrived: VecDeque<(Time, u64, u64)>,
    /// Targets of late.
    targets: VecDeque<(Time, usize)>,
}

impl Trend {
    /// Takes in a load; gives the number of instances of size `unit` that answers it.
    pub(crate) fn target(&mut self, now: Time, load: &Load, unit: Room) -> usize {
        self.arrived.push_back((now, load.arrived, load.jobs));
        while self.arrived.len() > 2 && now.since(self.arrived[1].0) >= WINDOWS[0] {
            self.arrived.pop_front();
        }
        let asked = load.used + load.waiting;
        let asked = units(asked, unit) * GAPS;
        let coming = self.coming() / unit.cpu.max(1) as f64 + units(load.lasting, unit);
        let wanted = asked.max(coming * GAPS);
        let reserve = match load.waiting.is_empty() && self.coming() == 0.0 {
            true => 0.0,
            false => RESERVE,
        };
        let target = (wanted + reserve).ceil() as usize;
        self.targets.push_back((now, target));
        while self.targets.len() > 1 && now.since(self.targets[0].0) > SHRINK_AFTER {
            self.targets.pop_front();
        }
        target
    }

    /// Instances that hold the lasting work.
    pub(crate) fn for_lasting(&self, load: &Load, unit: Room) -> usize {
        units(load.lasting, unit).ceil() as usize
    }

    /// Instances that work takes which is of no use any more.
    pub(crate) fn for_overdue(&self, load: &Load, unit: Room) -> usize {
        units(load.overdue, unit).ceil() as usize
    }

    /// The highest target of late: a pool does not shrink below it.
    pub(crate) fn lasting_target(&self) -> usize {
        let targets = self.targets.iter().map(|(_, t)| *t);
        targets.max().unwrap_or_default()
    }

    /// Processor that arriving work takes up if it goes on like this, in thousandths of a core.
    fn coming(&self) -> f64 {
        let rates = WINDOWS.iter().map(|w| self.rate(*w));
        rates.fold(0.0, f64::max)
    }

    fn rate(&self, window: Duration) -> f64 {
        let Some(last) = self.arrived.back() else {
            return 0.0;
        };
        let mut before = self.arrived.iter().rev();
        let first = before.find(|(at, _, _)| last.0.since(*at) >= window);
        let first = first.or(self.arrived.front()).unwrap_or(last);
        if window < WINDOWS[0] && last.2.saturating_sub(first.2) < LEAST_JOBS {
            return 0.0;
        }
        let span = last.0.since(first.0).max(window).as_millis() as f64;
        1_000.0 * last.1.saturating_sub(first.1) as f64 / span
    }
}

/// Instances of size `unit` that hold `room`, in fractions.
fn units(room: Room, unit: Room) -> f64 {
    let part = |a: u64, b: u64| match b {
        0 => 0.0,
        _ => a as f64 / b as f64,
    };
    let cpu = part(room.cpu, unit.cpu);
    let memory = part(room.memory, unit.memory);
    cpu.max(memory).max(part(room.gpu, unit.gpu))
}
