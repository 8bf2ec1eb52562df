//! The order in which jobs are scheduled.
//!
//! Jobs within their team's share go before jobs beyond it.
//!
//! The order is designed for a pool that receives several times the work it has room for, for some
//! seconds, from jobs that each have an objective for their completion time. A job that can still
//! meet its objective goes before one that cannot; among those that can, the job with the earliest
//! latest start time goes first.

use cactuswheel_model::Time;
use cactuswheel_preemption::VictimClass;
use cactuswheel_work::Queue;

use crate::job::Job;

/// Multiple of its objective after which a job is no longer useful to its caller.
pub(crate) const LATE_FACTOR: f64 = 3.0;

/// Expiry of a rank that does not change with the passing of time.
const NO_EXPIRY: Time = Time::new(u64::MAX);

/// Scheduling rank of a job; the lowest rank goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    class: Class,
    priority: u32,
    /// Whether no task has started yet. Started jobs go first, since finishing them brings the most
    /// benefit for the remaining work.
    not_started: bool,
    /// Latest start time that meets the objective, or for other classes the arrival time.
    at: Time,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// Runs until it is cancelled, and is useful as long as it runs.
    Lasting,
    /// Can meet its objective.
    Timely,
    /// Cannot meet its objective, but can be done while it is still useful.
    Late,
    /// Like `Timely`, but beyond its team's share.
    TimelyOverShare,
    /// Like `Late`, but beyond its team's share.
    LateOverShare,
    /// No longer useful to its caller, but already accepted.
    Overdue,
}

impl Rank {
    /// The rank behind those of all long-running jobs.
    pub(crate) const LAST_LASTING: Self = Self {
        class: Class::Lasting,
        priority: u32::MAX,
        not_started: true,
        at: Time::new(u64::MAX),
    };

    /// Returns the rank without the preference for jobs that have started.
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

    /// Whether the job ends by itself, and can be done while it is still useful.
    pub(crate) fn is_useful(&self) -> bool {
        !matches!(self.class, Class::Lasting | Class::Overdue)
    }

    /// Latest start that meets the objective, of a job that can meet it and is within its team's
    /// share.
    pub(crate) fn latest_start(self) -> Option<Time> {
        (self.class == Class::Timely).then_some(self.at)
    }

    /// Why a run of the job gives way to jobs that are timely and within their team's share, if it
    /// does.
    pub(crate) fn victim_class(self) -> Option<VictimClass> {
        match self.class {
            Class::Lasting => None,
            Class::Timely => (self.priority > 0).then_some(VictimClass::LowerPriority),
            Class::Late | Class::LateOverShare => Some(VictimClass::Late),
            Class::TimelyOverShare => Some(VictimClass::OverShare),
            Class::Overdue => Some(VictimClass::Overdue),
        }
    }

    /// Whether the job can no longer meet its objective.
    pub(crate) fn is_late(self) -> bool {
        matches!(
            self.class,
            Class::Late | Class::LateOverShare | Class::Overdue
        )
    }
}

/// Returns the rank of a job at `now`, and the time until which it is valid. `slowdown` is the
/// factor by which the work takes longer than the caller's estimate.
pub(crate) fn rank(job: &Job, queue: Option<&Queue>, slowdown: f64, now: Time) -> (Rank, Time) {
    let remaining = remaining_chain(job) as f64 * slowdown;
    rank_with(job, queue, slowdown, remaining, now)
}

/// Like [`rank`], of a job that is expected to need another `remaining` milliseconds.
pub(crate) fn rank_with(
    job: &Job,
    queue: Option<&Queue>,
    slowdown: f64,
    remaining: f64,
    now: Time,
) -> (Rank, Time) {
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
            not_started: !job.may_have_started(),
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
        not_started: !job.may_have_started(),
        at: job.arrived,
    };
    let useful_left = (objective * LATE_FACTOR - remaining - waited).max(0.0);
    let until = match useful {
        true => Time::new(now.get() + useful_left as u64 + 1),
        false => NO_EXPIRY,
    };
    (rank, until)
}

/// Longest chain of steps that are not done, in milliseconds by the caller's estimates.
fn remaining_chain(job: &Job) -> u64 {
    let steps = job.turns.iter().flat_map(|t| t.steps.iter().enumerate());
    let open = steps.filter(|(_, s)| !s.is_done());
    open.map(|(i, _)| job.tails[i]).max().unwrap_or_default()
}
