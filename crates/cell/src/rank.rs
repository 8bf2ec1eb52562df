//! Which job goes first.
//!
//! Jobs within their team's share go before those beyond it.
//!
//! Answers a pool that is asked for several times what it holds, for some seconds, by jobs with
//! an objective of their own: a job that can still meet its objective goes before one that
//! cannot, among the former the one that has to start soonest.

use cactuswheel_model::Time;
use cactuswheel_work::Queue;

use crate::job::Job;

/// Multiple of its objective after which a job is worth nothing to its caller any more.
pub(crate) const LATE_FACTOR: f64 = 3.0;

/// A rank with this end does not change by the time alone.
const NO_EXPIRY: Time = Time::new(u64::MAX);

/// Order of jobs; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    class: Class,
    priority: u32,
    /// Work was begun: finishing it earns the most for what is left.
    not_started: bool,
    /// Time by which it has to start, or since when it waits.
    at: Time,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// Runs until it is cancelled: it earns as long as it is at work.
    Lasting,
    /// Can meet its objective.
    Timely,
    /// Can be done while it is of some use.
    Late,
    /// Is beyond its team's share, and can meet its objective.
    TimelyOverShare,
    /// Is beyond its team's share, and can be done while it is of some use.
    LateOverShare,
    /// Is of no use any more, but was accepted.
    Overdue,
}

impl Rank {
    /// The same, whether the job has begun or not.
    pub(crate) fn ignoring_started(self) -> Self {
        Self {
            not_started: false,
            ..self
        }
    }

    /// Whether the job can meet its objective.
    pub(crate) fn is_timely(&self) -> bool {
        matches!(self.class, Class::Timely | Class::TimelyOverShare)
    }

    /// Whether the job ends by itself, and can be done while it is of some use.
    pub(crate) fn is_useful(&self) -> bool {
        !matches!(self.class, Class::Lasting | Class::Overdue)
    }

    /// Whether the job cannot meet its objective any more, or is of no use at all.
    pub(crate) fn is_late(self) -> bool {
        matches!(
            self.class,
            Class::Late | Class::LateOverShare | Class::Overdue
        )
    }
}

/// The rank of a job at `now`, and until when it holds; its work takes `longer` times as long as
/// its caller guesses.
pub(crate) fn rank(job: &Job, queue: Option<&Queue>, slowdown: f64, now: Time) -> (Rank, Time) {
    let priority = queue.map_or(u32::MAX, |q| q.priority);
    if job.sub.lasting() {
        let rank = Rank {
            class: Class::Lasting,
            priority,
            not_started: false,
            at: job.arrived,
        };
        return (rank, NO_EXPIRY);
    }
    let (stretch, allowance) = queue.map_or((1.0, 0), |q| (q.stretch, q.allowance.get()));
    let objective = job.chain() as f64 * slowdown * stretch + allowance as f64;
    let remaining = remaining_chain(job) as f64 * slowdown;
    let waited = now.since(job.arrived).as_millis() as f64;
    let slack = objective - remaining - waited;
    if slack >= 0.0 {
        let at = Time::new(now.get() + slack as u64);
        let rank = Rank {
            class: match job.over_share {
                true => Class::TimelyOverShare,
                false => Class::Timely,
            },
            priority,
            not_started: !job.started,
            at,
        };
        return (rank, Time::new(at.get() + 1));
    }
    let useful = waited + remaining <= objective * LATE_FACTOR;
    let class = match (useful, job.over_share) {
        (true, false) => Class::Late,
        (true, true) => Class::LateOverShare,
        (false, _) => Class::Overdue,
    };
    let rank = Rank {
        class,
        priority,
        not_started: !job.started,
        at: job.arrived,
    };
    let useful_left = (objective * LATE_FACTOR - remaining - waited).max(0.0);
    let until = match useful {
        true => Time::new(now.get() + useful_left as u64 + 1),
        false => NO_EXPIRY,
    };
    (rank, until)
}

/// Longest chain of work that is left, by the caller's estimates.
fn remaining_chain(job: &Job) -> u64 {
    let steps = job.turns.iter().flat_map(|t| t.steps.iter().enumerate());
    let open = steps.filter(|(_, s)| !s.is_done());
    open.map(|(i, _)| job.tails[i]).max().unwrap_or_default()
}
