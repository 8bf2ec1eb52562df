//! Hold of the pools during an outage.

use cactuswheel_model::Time;

use crate::blockage::{Blockage, Cause};
use crate::change::{HoldBegin, HoldChange, HoldEnd};
use crate::policy::{HoldPolicy, HoldTarget};

/// Decides during which time pools are held, because arrivals could not be seen.
///
/// A hold begins when the cell cannot start work. It ends once the cell has been able to for
/// [`HoldPolicy::settle`], or after [`HoldPolicy::limit`]. An outage that continues then begins no
/// further hold.
#[derive(Debug, Default)]
pub struct OutageHold {
    policy: HoldPolicy,
    state: State,
}

/// State of a hold.
#[derive(Debug, Clone, Copy, Default)]
enum State {
    /// The cell can start work.
    #[default]
    Calm,
    /// Pools are held.
    Held(Outage),
    /// The hold has reached its limit, and the outage or the time after it continues.
    Expired(Outage),
}

/// The outage for which pools are held.
#[derive(Debug, Clone, Copy)]
struct Outage {
    /// When the cell could first not start work.
    begin: Time,
    /// When the hold began.
    held: Time,
    /// When the cell could last not start work.
    last: Time,
}

impl OutageHold {
    /// Creates a hold with these parameters.
    pub fn new(policy: HoldPolicy) -> Self {
        Self {
            policy,
            state: State::Calm,
        }
    }

    /// Records whether the cell can start work now. Returns the begin or the end of a hold.
    pub fn observe(&mut self, now: Time, blockage: Option<Blockage>) -> Option<HoldChange> {
        if !self.policy.enabled {
            return None;
        }
        match blockage {
            Some(blockage) => self.block(now, blockage),
            None => self.settle(now),
        }
    }

    /// Records that an owner has taken the cell over at `now`, and that no arrivals are known
    /// between `since` and then.
    pub fn take_over(&mut self, since: Time, now: Time) -> Option<HoldChange> {
        let age = now.since(since);
        let cause = Cause::Takeover;
        self.observe(now, Some(Blockage { cause, age }))
    }

    /// When the outage began for which pools are held; `None` if they are not held.
    pub fn since(&self) -> Option<Time> {
        match self.state {
            State::Held(outage) => Some(outage.begin),
            State::Calm | State::Expired(_) => None,
        }
    }

    /// What the target of a pool is at least during a hold.
    pub fn target(&self) -> HoldTarget {
        self.policy.target
    }

    fn block(&mut self, now: Time, blockage: Blockage) -> Option<HoldChange> {
        let age = blockage.age.as_millis() as u64;
        let begin = Time::new(now.get().saturating_sub(age));
        match &mut self.state {
            State::Calm => {
                self.state = State::Held(Outage {
                    begin,
                    held: now,
                    last: now,
                });
                Some(HoldChange::Begun(HoldBegin { blockage }))
            }
            State::Held(outage) => {
                outage.last = now;
                outage.begin = outage.begin.min(begin);
                self.expire(now)
            }
            State::Expired(outage) => {
                outage.last = now;
                None
            }
        }
    }

    fn settle(&mut self, now: Time) -> Option<HoldChange> {
        let settled = |o: &Outage| now.since(o.last) >= self.policy.settle.duration();
        match self.state {
            State::Calm => None,
            State::Held(outage) if settled(&outage) => {
                self.state = State::Calm;
                Some(end_of(outage, now, false))
            }
            State::Held(_) => self.expire(now),
            State::Expired(outage) => {
                if settled(&outage) {
                    self.state = State::Calm;
                }
                None
            }
        }
    }

    /// Ends a hold that has reached its limit.
    fn expire(&mut self, now: Time) -> Option<HoldChange> {
        let State::Held(outage) = self.state else {
            return None;
        };
        if now.since(outage.held) < self.policy.limit.duration() {
            return None;
        }
        self.state = State::Expired(outage);
        Some(end_of(outage, now, true))
    }
}

fn end_of(outage: Outage, now: Time, expired: bool) -> HoldChange {
    HoldChange::Ended(HoldEnd {
        held: now.since(outage.held),
        outage: outage.last.since(outage.begin),
        expired,
    })
}
