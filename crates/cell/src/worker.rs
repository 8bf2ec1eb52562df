//! The scheduler's view of one worker.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::{Map, Millis, Set, Time};
use cactuswheel_work::{
    JobId, Presence, Room, ServiceName, StepId, TaskId, WorkerEntry, WorkerId, ZoneName,
};

use crate::health::{Health, Trial};
use crate::pacing::Throttle;
use crate::workers::IndexedState;

/// Lowest assumed rate of a worker's clock, relative to true time.
const MIN_CLOCK_RATE: f64 = 0.98;

/// Margin on lease expiry for the network delay of an answer, in milliseconds.
const LEASE_MARGIN_MS: u64 = 100;

/// [`LEASE_MARGIN_MS`] in the owner's time.
const LEASE_MARGIN: Duration = Duration::from_millis(LEASE_MARGIN_MS);

/// Time in which a worker that can be reached answers the first poll of a new owner.
const ANSWER_TIME: Duration = Duration::from_millis(700);

/// Lease time that has to remain for a long-running task to count as active, in milliseconds. It
/// covers the time in which another task of the step moves.
const MIN_REMAINING_MS: u64 = 1_000;

/// How long an owner goes on renewing leases when it cannot confirm its ownership.
///
/// Together with the lease itself this bridges outages of the store of up to eight seconds,
/// during which no other node can take over. With a longer time, runs on a worker that stops
/// answering around a takeover would be declared lost too late.
pub const RENEW_WITHOUT_STORE: Duration = Duration::from_secs(4);

/// Time since the last answer after which a worker gets no new tasks.
const MAX_SILENCE: Duration = Duration::from_millis(3_200);

/// A reading of the worker's clock.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    clock: u64,
    /// When the answer with the reading arrived.
    at: Time,
}

/// State of the poll of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PollState {
    /// The next poll is due at this time.
    Due(Time),
    /// A poll has been sent and not answered.
    InFlight {
        sent: Time,
        /// When the poll counts as lost although no failure was reported.
        deadline: Time,
    },
}

impl PollState {
    /// Whether the next poll is due by `now`.
    pub(crate) fn is_due(self, now: Time) -> bool {
        matches!(self, Self::Due(at) if at <= now)
    }
}

/// Resources that a run occupies on its worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Allocation {
    pub(crate) run: u32,
    pub(crate) room: Room,
    pub(crate) lasting: bool,
    pub(crate) serves: bool,
    pub(crate) filler: bool,
    pub(crate) trial: Trial,
}

/// Room on a worker that is held for one task of a step, because runs were stopped for it.
///
/// Without it, a waiting job with narrower tasks would take the room as soon as it is free, and the
/// work thrown away would help nobody.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Hold {
    pub(crate) step: StepId,
    pub(crate) room: Room,
    pub(crate) until: Time,
}

/// The scheduler's view of one worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    /// Index of the worker within the cell, never reused.
    pub(crate) number: u32,
    /// The worker's registration; `None` while the platform does not list it.
    pub(crate) entry: Option<WorkerEntry>,
    /// The rack named in the registration.
    pub(crate) rack: Option<Arc<str>>,
    /// Address from the last registration.
    pub(crate) addr: Option<SocketAddr>,
    /// Start time of the worker's incarnation in milliseconds since 1970; 0 before the
    /// first answered poll.
    pub(crate) born: u64,
    /// Fencing token for the next order.
    pub(crate) fence: u64,
    /// Highest fencing token under which the worker answered a poll.
    settled_fence: u64,
    clock_reading: Option<ClockReading>,
    /// Latest lease expiry that any order may have set, on the worker's clock.
    latest_expiry: u64,
    /// Lease expiry requested by the poll in flight, if that poll renews the lease.
    pub(crate) requested_expiry: Option<u64>,
    /// Latest lease expiry confirmed by an answered poll, on the worker's clock.
    confirmed_expiry: u64,
    /// When the last answered poll was sent; the worker was alive at that time or later.
    pub(crate) last_alive: Time,
    /// When this owner first heard of the worker.
    known_since: Time,
    /// End of the worker's last lease as an earlier owner has recorded it in the journal.
    pub(crate) carried_end: Option<Time>,
    /// The journal may hold a record of the worker's silence, on which a newer owner would rely:
    /// the lease is not renewed until the record is removed.
    pub(crate) renewal_barred: bool,
    /// When the worker's current incarnation first answered a poll of this owner.
    pub(crate) first_answer: Option<Time>,
    /// Highest number of an end record that was processed.
    pub(crate) seen_end: u64,
    /// Highest number of an end record that is in the journal and may be acknowledged.
    pub(crate) journaled_end: u64,
    /// End records that may not be in the journal yet: their numbers and jobs, by number.
    pub(crate) unjournaled: VecDeque<(u64, JobId)>,
    /// Lowest number of an end record that must never be acknowledged, if there is one.
    ///
    /// Such a record appears when a worker does not answer for longer than its lease, its runs
    /// are abandoned and restarted elsewhere, and the worker then reports one of them as done
    /// before the lease expired. Acknowledging the record would count the work as done twice.
    /// This incarnation of the worker gets tasks only to let a lease expire on one of them, which
    /// allows the acknowledgement; else it ends when its instance is moved.
    pub(crate) withheld_end: Option<u64>,
    /// Highest number of an end record in the current list that shows the lease as expired.
    pub(crate) expired_end: u64,
    /// Runs that are, or may be, on the worker.
    pub(crate) allocations: Map<TaskId, Allocation>,
    /// Sum of the room of `allocations`.
    pub(crate) used: Room,
    /// Number of long-running runs in `allocations`.
    pub(crate) lasting: usize,
    /// Number of runs in `allocations` that serve user requests.
    pub(crate) serving: usize,
    /// Number of filler runs in `allocations`.
    pub(crate) fillers: usize,
    pub(crate) poll_state: PollState,
    /// Number of the newest poll, 0 before the first; answers to earlier polls are ignored.
    pub(crate) poll_number: u64,
    /// Number of consecutive polls without an answer.
    pub(crate) missed_polls: u32,
    pub(crate) health: Health,
    pub(crate) throttle: Throttle,
    /// Gets no new tasks because its instance is needed elsewhere.
    pub(crate) closed: bool,
    /// Gets no new tasks because its data centre is evacuated.
    pub(crate) evacuated: bool,
    /// Its long-running tasks are stopped as well, within their disruption budgets.
    pub(crate) evacuating: bool,
    /// Time by which the worker has to be empty: its short tasks are stopped, too, if they would
    /// end later.
    pub(crate) vacate_by: Option<Time>,
    /// The last poll listed a run that has no attempt, so the room it occupies is unknown.
    pub(crate) stray_run: bool,
    /// A long-running run has started here and, as far as is known, is not active yet.
    pub(crate) warming_up: bool,
    /// Until this time the worker is reserved for a suspect, a task that may crash its worker.
    pub(crate) reserved_until: Time,
    /// The suspect for which the worker is reserved, once it has been started here.
    pub(crate) trial_task: Option<TaskId>,
    /// Gets no new tasks until this time because it refused one for lack of room.
    pub(crate) full_until: Time,
    /// Room that is held for a waiting step.
    pub(crate) hold: Option<Hold>,
    pub(crate) indexed: IndexedState,
}

impl Worker {
    pub(crate) fn new(id: WorkerId, number: u32, fence: u64, now: Time) -> Self {
        Self {
            id,
            number,
            entry: None,
            rack: None,
            addr: None,
            born: 0,
            fence,
            settled_fence: 0,
            clock_reading: None,
            latest_expiry: 0,
            requested_expiry: None,
            confirmed_expiry: 0,
            last_alive: Time::default(),
            known_since: now,
            carried_end: None,
            renewal_barred: false,
            first_answer: None,
            seen_end: 0,
            journaled_end: 0,
            unjournaled: VecDeque::new(),
            withheld_end: None,
            expired_end: 0,
            allocations: Map::default(),
            used: Room::default(),
            lasting: 0,
            serving: 0,
            fillers: 0,
            poll_state: PollState::Due(now),
            poll_number: 0,
            missed_polls: 0,
            health: Health::default(),
            throttle: Throttle::default(),
            closed: false,
            evacuated: false,
            evacuating: false,
            vacate_by: None,
            stray_run: false,
            warming_up: false,
            reserved_until: Time::default(),
            trial_task: None,
            full_until: Time::default(),
            hold: None,
            indexed: IndexedState::default(),
        }
    }

    /// Whether the worker may get new tasks, apart from conditions that depend on the time.
    pub(crate) fn can_accept(&self) -> bool {
        self.is_open() && !self.is_spent()
    }

    /// Whether nothing but withheld end records keeps new tasks off the worker, apart from
    /// conditions that depend on the time.
    fn is_open(&self) -> bool {
        let listed = self.entry.as_ref();
        listed.is_some_and(|e| e.presence == Presence::Ready)
            && !self.closed
            && !self.evacuated
            && self.missed_polls == 0
            && self.fence_settled()
            && self.born != 0
            && !self.stray_run
            && !self.renewal_barred
    }

    /// Whether the worker may get new tasks now. A condition that ends by time alone is part of
    /// [`Self::reopening`], too; silence ends with the answer to a poll.
    pub(crate) fn is_schedulable(&self, now: Time) -> bool {
        self.can_accept() && self.is_open_at(now)
    }

    /// Whether the worker may get one task now, on which its lease expires.
    pub(crate) fn is_redeemable(&self, now: Time) -> bool {
        self.is_spent() && self.is_open() && self.is_open_at(now) && self.allocations.is_empty()
    }

    fn is_open_at(&self, now: Time) -> bool {
        self.full_until <= now && self.health.is_usable(now) && !self.is_silent(now)
    }

    /// Whether the last answer arrived so long ago that the worker gets no new tasks.
    pub(crate) fn is_silent(&self, now: Time) -> bool {
        self.clock_reading
            .is_none_or(|f| now.since(f.at) >= MAX_SILENCE)
    }

    /// When the last of the conditions of [`Self::is_schedulable`] is over that end by time alone;
    /// `None` if there was none.
    pub(crate) fn reopening(&self) -> Option<Time> {
        let full = Some(self.full_until).filter(|at| *at > Time::default());
        full.max(self.health.paused_until())
    }

    /// Records that a run of `job` failed after the time `ran`; returns whether this paused the
    /// worker.
    pub(crate) fn record_failure(&mut self, job: JobId, ran: Duration, now: Time) -> bool {
        let paused = self.health.record_failure(job, ran, now);
        if paused {
            self.end_trials();
        }
        paused
    }

    /// Gives the worker no tasks for some time.
    pub(crate) fn pause(&mut self, now: Time) {
        self.health.pause(now);
        self.end_trials();
    }

    fn end_trials(&mut self) {
        for run in self.allocations.values_mut() {
            run.trial = Trial::Earlier;
        }
    }

    /// Whether the worker's health allows one more run. After a pause there are as many runs in trial
    /// as have passed it, and one if none has.
    ///
    /// The completion of a run ends the recovery, but a run may last for ever, and would then keep
    /// all other tasks off the worker.
    pub(crate) fn has_trial_slot(&self) -> bool {
        let runs = self.allocations.values();
        let count = |trial| runs.clone().filter(|r| r.trial == trial).count();
        !self.health.is_recovering() || count(Trial::Open) < count(Trial::Passed).max(1)
    }

    /// Whether the worker is only briefly closed to new tasks because it refused one for lack of
    /// room.
    pub(crate) fn is_full(&self, now: Time) -> bool {
        self.full_until > now && self.is_responsive()
    }

    /// Highest number of an end record that may be acknowledged once it is in the journal.
    pub(crate) fn acknowledgeable_end(&self) -> u64 {
        let limit = self.withheld_end.map_or(u64::MAX, |first| first - 1);
        self.seen_end.min(limit)
    }

    /// Records that the journal holds the end records up to `number`.
    pub(crate) fn mark_journaled(&mut self, number: u64) {
        self.journaled_end = self
            .journaled_end
            .max(number.min(self.acknowledgeable_end()));
        let journaled = self.journaled_end;
        self.unjournaled.retain(|(n, _)| *n > journaled);
    }

    /// Highest number up to which all end records will be in the journal once it holds the state
    /// of every job except those in `left`.
    pub(crate) fn journaled_without(&self, left: &Set<JobId>) -> u64 {
        let first = self.unjournaled.iter().find(|(_, job)| left.contains(job));
        first.map_or(self.acknowledgeable_end(), |(number, _)| {
            (number - 1).min(self.acknowledgeable_end())
        })
    }

    /// Whether the worker's incarnation is unusable, since some of its end records must not be
    /// acknowledged.
    pub(crate) fn is_spent(&self) -> bool {
        self.withheld_end.is_some()
    }

    /// Allows the acknowledgement of withheld end records if a lease has expired on a run since;
    /// returns whether there were any.
    pub(crate) fn redeem(&mut self) -> bool {
        let expired = self.expired_end;
        self.withheld_end
            .take_if(|first| *first < expired)
            .is_some()
    }

    /// Whether the worker has answered a poll and missed none since.
    pub(crate) fn is_responsive(&self) -> bool {
        self.missed_polls == 0 && self.born != 0
    }

    /// Whether the worker is reserved for a task that may crash it.
    pub(crate) fn is_reserved(&self, now: Time) -> bool {
        self.reserved_until > now
    }

    /// Whether the worker is in the pool of `service`.
    pub(crate) fn belongs_to(&self, service: &ServiceName) -> bool {
        self.entry.as_ref().is_some_and(|e| e.service == *service)
    }

    /// Room that is not allocated.
    pub(crate) fn free(&self) -> Room {
        let all = self.entry.as_ref().map(|e| e.room).unwrap_or_default();
        all - self.used
    }

    /// Room that is not allocated, and not held for another step than `step`.
    pub(crate) fn free_for(&self, step: StepId, now: Time) -> Room {
        let held = self.hold.filter(|h| h.step != step && h.until > now);
        self.free() - held.map(|h| h.room).unwrap_or_default()
    }

    /// Whether the allocations exceed the room in the current registration.
    pub(crate) fn is_overcommitted(&self) -> bool {
        let all = self.entry.as_ref().map(|e| e.room).unwrap_or_default();
        !self.used.fits(all)
    }

    /// Whether the worker is in one of these data centres.
    pub(crate) fn is_within(&self, zones: &Set<ZoneName>) -> bool {
        let listed = self.entry.as_ref();
        listed.is_some_and(|e| zones.contains(&e.zone))
    }

    /// Whether the worker is registered as draining.
    pub(crate) fn is_draining(&self) -> bool {
        let listed = self.entry.as_ref();
        listed.is_some_and(|e| e.presence == Presence::Draining)
    }

    /// Sets a newer fencing token. Once the worker has answered a poll under it, it ignores
    /// orders with earlier tokens.
    pub(crate) fn raise_fence(&mut self, fence: u64) {
        self.fence = fence;
    }

    /// Whether the worker has answered a poll under its newest token.
    pub(crate) fn fence_settled(&self) -> bool {
        self.settled_fence == self.fence
    }

    /// Records that a poll under the newest token was answered; returns the token.
    pub(crate) fn settle_fence(&mut self) -> u64 {
        self.settled_fence = self.fence;
        self.fence
    }

    pub(crate) fn allocate(&mut self, task: TaskId, allocation: Allocation) {
        if let Some(replaced) = self.allocations.insert(task, allocation) {
            self.subtract(replaced);
        }
        self.used += allocation.room;
        self.lasting += usize::from(allocation.lasting);
        self.serving += usize::from(allocation.serves);
        self.fillers += usize::from(allocation.filler);
    }

    fn subtract(&mut self, allocation: Allocation) {
        self.used -= allocation.room;
        self.lasting -= usize::from(allocation.lasting);
        self.serving -= usize::from(allocation.serves);
        self.fillers -= usize::from(allocation.filler);
    }

    pub(crate) fn deallocate(&mut self, task: TaskId, run: u32) {
        if self.allocations.get(&task).is_some_and(|h| h.run == run)
            && let Some(allocation) = self.allocations.remove(&task)
        {
            self.subtract(allocation);
        }
    }

    /// Records a reading of the worker's clock, received at `now`.
    pub(crate) fn set_clock(&mut self, clock: u64, lease: Millis, now: Time) {
        if self.clock_reading.is_none() {
            // An earlier owner may have renewed the lease until the worker saw this owner's
            // token.
            self.latest_expiry = self.latest_expiry.max(clock + lease.get());
        }
        self.clock_reading = Some(ClockReading { clock, at: now });
    }

    /// Resets the state that belonged to the previous incarnation.
    pub(crate) fn begin_incarnation(&mut self, born: u64) {
        self.born = born;
        self.clock_reading = None;
        self.latest_expiry = 0;
        self.requested_expiry = None;
        self.confirmed_expiry = 0;
        self.carried_end = None;
        self.first_answer = None;
        self.seen_end = 0;
        self.journaled_end = 0;
        self.unjournaled.clear();
        self.withheld_end = None;
        self.stray_run = false;
        self.reserved_until = Time::default();
        self.trial_task = None;
        self.hold = None;
        self.health = Health::default();
    }

    /// Expiry of a lease that is renewed at `now`, on the worker's clock; `None` before the first
    /// reading of that clock, and while the lease must not be renewed.
    pub(crate) fn renew(&mut self, lease: Millis, now: Time) -> Option<u64> {
        let reading = self.clock_reading.filter(|_| !self.renewal_barred)?;
        let current = reading.clock + now.since(reading.at).as_millis() as u64;
        let expiry = current + lease.get();
        self.latest_expiry = self.latest_expiry.max(expiry);
        Some(expiry)
    }

    /// Records that the poll in flight was answered, so the lease it requested is in force.
    pub(crate) fn confirm_renewal(&mut self) {
        self.confirmed_expiry = self
            .confirmed_expiry
            .max(self.requested_expiry.take().unwrap_or_default());
    }

    /// Whether the worker's lease is certain to last for at least [`MIN_REMAINING_MS`] from
    /// `now`.
    pub(crate) fn has_valid_lease(&self, now: Time) -> bool {
        let Some(reading) = self.clock_reading else {
            return false;
        };
        let current = reading.clock + now.since(reading.at).as_millis() as u64;
        current + MIN_REMAINING_MS < self.confirmed_expiry
    }

    /// Whether the worker has runs and its last poll was not answered, so that it is not known when
    /// its lease ends but by what was ordered.
    pub(crate) fn may_hold_lease(&self) -> bool {
        let answers = self.missed_polls == 0 && self.clock_reading.is_some();
        !answers && !self.allocations.is_empty()
    }

    /// Since when the worker has not answered; at the earliest since this owner first heard of it.
    pub(crate) fn quiet_since(&self) -> Time {
        self.last_alive.max(self.known_since)
    }

    /// When every lease on the worker is certainly over, given that it does not answer until then.
    ///
    /// An earlier owner on the same side of a network partition as the worker may keep renewing
    /// leases for the time `overlap` after this owner's takeover, unless it recorded the silence of
    /// the worker.
    pub(crate) fn lease_end(&self, lease: Millis, overlap: Duration) -> Time {
        let Some(reading) = self.clock_reading else {
            let longest = overlap + longest_time(lease.get()) + LEASE_MARGIN;
            let end = self.known_since.after(longest);
            return self.carried_end.map_or(end, |carried| carried.min(end));
        };
        let left = (self.latest_expiry + LEASE_MARGIN_MS).saturating_sub(reading.clock);
        reading.at.after(longest_time(left))
    }

    /// Whether every lease on the worker has certainly expired, given that it has not answered
    /// since.
    pub(crate) fn has_expired(&self, lease: Millis, overlap: Duration, now: Time) -> bool {
        // A worker that answers a new owner at once may have completed its runs before its lease
        // ended.
        let asked = self.missed_polls > 0 || now.since(self.known_since) >= ANSWER_TIME;
        asked && now > self.lease_end(lease, overlap)
    }
}

/// Longest time in which a worker's clock advances by `ms` milliseconds.
fn longest_time(ms: u64) -> Duration {
    Duration::from_millis((ms as f64 / MIN_CLOCK_RATE).ceil() as u64)
}
