//! A worker as its cell knows it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::{Map, Millis, Set, Time};
use cactuswheel_work::{
    JobId, Presence, Room, ServiceName, TaskId, WorkerEntry, WorkerId, ZoneName,
};

use crate::health::Health;
use crate::pacing::Throttle;
use crate::workers::IndexedState;

/// How much slower than true time a worker's clock may go: it runs at least at this share.
const MIN_CLOCK_RATE: f64 = 0.98;

/// Margin on every bound of a lease, for the way of an answer.
const LEASE_MARGIN_MS: u64 = 100;

/// Time that a lease has to go on for work under it to count as at work, in milliseconds: that of
/// another task's move.
const MIN_REMAINING_MS: u64 = 1_000;

/// For how long an owner whose ownership is not confirmed goes on renewing leases.
///
/// With the lease itself it covers outages of the whole store of up to eight seconds, which
/// nobody else can use to take over. Longer, and work on a worker that went silent at a change
/// of owners would be given up for lost too late.
pub const RENEW_WITHOUT_STORE: Duration = Duration::from_secs(4);

/// Time without an answer after which a worker gets no new work.
const MAX_SILENCE: Duration = Duration::from_millis(3_200);

/// When the worker's clock showed what.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    clock: u64,
    /// When the answer that told it came.
    at: Time,
}

/// The next look at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PollState {
    /// Not before this time.
    Due(Time),
    /// Under way since then.
    InFlight(Time),
}

/// What a run takes up.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Allocation {
    pub(crate) run: u32,
    pub(crate) room: Room,
    pub(crate) lasting: bool,
    pub(crate) serves: bool,
    pub(crate) filler: bool,
}

/// A worker as its cell knows it.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    /// Its number within the cell.
    pub(crate) number: u32,
    /// Its entry in the platform's list, while it is there.
    pub(crate) entry: Option<WorkerEntry>,
    /// Its rack, as the entry names it.
    pub(crate) rack: Option<Arc<str>>,
    /// Where it is, or was when it was listed.
    pub(crate) addr: Option<SocketAddr>,
    /// Its life, as its start in milliseconds since 1970; 0 until it was looked at.
    pub(crate) born: u64,
    /// Fencing token of the next order.
    pub(crate) fence: u64,
    /// Highest token under which a look was answered.
    settled_fence: u64,
    clock_reading: Option<ClockReading>,
    /// Latest expiry of a lease that any order may have set, on the worker's clock.
    latest_expiry: u64,
    /// Expiry that the look under way asks for, if it renews.
    pub(crate) requested_expiry: Option<u64>,
    /// Latest expiry that an answered look has set, on the worker's clock.
    confirmed_expiry: u64,
    /// When the last look that it answered was sent: it was still there then.
    pub(crate) last_alive: Time,
    /// Since when this owner knows it.
    known_since: Time,
    /// When this owner's first look at its life was answered.
    pub(crate) first_answer: Option<Time>,
    /// Highest end that was taken in.
    pub(crate) seen_end: u64,
    /// Highest end that the journal reflects: it may be acknowledged.
    pub(crate) journaled_end: u64,
    /// Jobs of ends that the journal may not reflect yet, by the ends' numbers.
    pub(crate) unjournaled: VecDeque<(u64, JobId)>,
    /// First end that may never be acknowledged, if there is one.
    ///
    /// Failure: a worker is silent for longer than its lease, its runs are given up and started
    /// anew, and then it lists one of them as done before the lease ran out. Once acknowledged
    /// the work counts as done twice. Its life takes no more work and ends with the next move of
    /// its instance.
    pub(crate) withheld_end: Option<u64>,
    /// Highest end in the list at hand by which its lease is known to have run out.
    pub(crate) expired_end: u64,
    /// Runs that are, or may be, there.
    pub(crate) allocations: Map<TaskId, Allocation>,
    /// What they take up.
    pub(crate) used: Room,
    /// Runs there that last.
    pub(crate) lasting: usize,
    /// Runs there that serve users.
    pub(crate) serving: usize,
    /// Runs there that fill.
    pub(crate) fillers: usize,
    pub(crate) poll_state: PollState,
    /// Number of the newest look; answers to older ones are not taken.
    pub(crate) poll_number: u64,
    /// Looks without an answer in a row.
    pub(crate) missed_polls: u32,
    pub(crate) health: Health,
    pub(crate) throttle: Throttle,
    /// Gets no new work: its instance is wanted elsewhere.
    pub(crate) closed: bool,
    /// Its instance is ordered away, or may be.
    pub(crate) removing: bool,
    /// Gets no new work: its data centre is evacuated.
    pub(crate) evacuated: bool,
    /// Lasting work leaves it too.
    pub(crate) evacuating: bool,
    /// It listed a run at the last look that no attempt stands for: what that takes up is not known.
    pub(crate) stray_run: bool,
    /// A lasting run there has started and is not at work yet, as far as is known.
    pub(crate) warming_up: bool,
    /// Until then it is kept for a task that may take it down.
    pub(crate) reserved_until: Time,
    /// That task, once it has started here.
    pub(crate) trial_task: Option<TaskId>,
    /// No new work until then: it said that it had no room.
    pub(crate) full_until: Time,
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
            removing: false,
            evacuated: false,
            evacuating: false,
            stray_run: false,
            warming_up: false,
            reserved_until: Time::default(),
            trial_task: None,
            full_until: Time::default(),
            indexed: IndexedState::default(),
        }
    }

    /// Whether it may get new work, as far as time has no part in it.
    pub(crate) fn can_accept(&self) -> bool {
        let listed = self.entry.as_ref();
        listed.is_some_and(|e| e.presence == Presence::Ready)
            && !self.closed
            && !self.evacuated
            && self.missed_polls == 0
            && self.fence_settled()
            && self.born != 0
            && self.withheld_end.is_none()
            && !self.stray_run
    }

    /// Whether it may get new work.
    pub(crate) fn is_schedulable(&self, now: Time) -> bool {
        self.can_accept()
            && self.full_until <= now
            && self.health.is_usable(now)
            && self
                .clock_reading
                .is_some_and(|f| now.since(f.at) < MAX_SILENCE)
    }

    /// Whether it takes no work for a moment only, since it said that it has no room.
    pub(crate) fn is_full(&self, now: Time) -> bool {
        self.full_until > now && self.is_responsive()
    }

    /// Highest end that may be acknowledged once the journal reflects it.
    pub(crate) fn acknowledgeable_end(&self) -> u64 {
        let most = self.withheld_end.map_or(u64::MAX, |first| first - 1);
        self.seen_end.min(most)
    }

    /// The journal reflects its ends up to `number`.
    pub(crate) fn mark_journaled(&mut self, number: u64) {
        self.journaled_end = self
            .journaled_end
            .max(number.min(self.acknowledgeable_end()));
        let noted = self.journaled_end;
        self.unjournaled.retain(|(n, _)| *n > noted);
    }

    /// Highest end up to which the journal reflects all, once it holds every job but those `left`.
    pub(crate) fn journaled_without(&self, left: &Set<JobId>) -> u64 {
        let first = self.unjournaled.iter().find(|(_, job)| left.contains(job));
        first.map_or(self.acknowledgeable_end(), |(number, _)| {
            (number - 1).min(self.acknowledgeable_end())
        })
    }

    /// Whether its life is of no use any more: it takes no work, and can never be told that all
    /// its ends were taken in.
    pub(crate) fn is_spent(&self) -> bool {
        self.withheld_end.is_some()
    }

    /// Whether it answers, as far as is known.
    pub(crate) fn is_responsive(&self) -> bool {
        self.missed_polls == 0 && self.born != 0
    }

    /// Whether it is kept for a task that may take it down.
    pub(crate) fn is_reserved(&self, now: Time) -> bool {
        self.reserved_until > now
    }

    /// Whether it is in the pool of this service.
    pub(crate) fn belongs_to(&self, service: &ServiceName) -> bool {
        self.entry.as_ref().is_some_and(|e| e.service == *service)
    }

    /// Room that is left.
    pub(crate) fn free(&self) -> Room {
        let all = self.entry.as_ref().map(|e| e.room).unwrap_or_default();
        all - self.used
    }

    /// Whether more is taken up, or planned, than it has by now.
    pub(crate) fn is_overcommitted(&self) -> bool {
        let all = self.entry.as_ref().map(|e| e.room).unwrap_or_default();
        !self.used.fits(all)
    }

    /// Whether its data centre is one of these.
    pub(crate) fn is_within(&self, zones: &Set<ZoneName>) -> bool {
        let listed = self.entry.as_ref();
        listed.is_some_and(|e| zones.contains(&e.zone))
    }

    /// Whether it leaves.
    pub(crate) fn is_draining(&self) -> bool {
        let listed = self.entry.as_ref();
        listed.is_some_and(|e| e.presence == Presence::Draining)
    }

    /// Orders under earlier tokens do nothing once a look under the new one was answered.
    pub(crate) fn raise_fence(&mut self, fence: u64) {
        self.fence = fence;
    }

    /// Whether the worker has answered a look under the newest token.
    pub(crate) fn fence_settled(&self) -> bool {
        self.settled_fence == self.fence
    }

    /// A look under the newest token was answered; gives the token.
    pub(crate) fn settle_fence(&mut self) -> u64 {
        self.settled_fence = self.fence;
        self.fence
    }

    pub(crate) fn allocate(&mut self, task: TaskId, held: Allocation) {
        if let Some(before) = self.allocations.insert(task, held) {
            self.subtract(before);
        }
        self.used += held.room;
        self.lasting += usize::from(held.lasting);
        self.serving += usize::from(held.serves);
        self.fillers += usize::from(held.filler);
    }

    fn subtract(&mut self, held: Allocation) {
        self.used -= held.room;
        self.lasting -= usize::from(held.lasting);
        self.serving -= usize::from(held.serves);
        self.fillers -= usize::from(held.filler);
    }

    pub(crate) fn deallocate(&mut self, task: TaskId, run: u32) {
        if self.allocations.get(&task).is_some_and(|h| h.run == run)
            && let Some(held) = self.allocations.remove(&task)
        {
            self.subtract(held);
        }
    }

    /// Takes over what the worker's clock shows at `now`.
    pub(crate) fn set_clock(&mut self, clock: u64, lease: Millis, now: Time) {
        if self.clock_reading.is_none() {
            // An earlier owner may have renewed the lease until our fencing token came.
            self.latest_expiry = self.latest_expiry.max(clock + lease.get());
        }
        self.clock_reading = Some(ClockReading { clock, at: now });
    }

    /// A new life began: nothing of the old one counts.
    pub(crate) fn begin_incarnation(&mut self, born: u64) {
        self.born = born;
        self.clock_reading = None;
        self.latest_expiry = 0;
        self.requested_expiry = None;
        self.confirmed_expiry = 0;
        self.first_answer = None;
        self.seen_end = 0;
        self.journaled_end = 0;
        self.unjournaled.clear();
        self.withheld_end = None;
        self.stray_run = false;
        self.reserved_until = Time::default();
        self.trial_task = None;
        self.health = Health::default();
    }

    /// Expiry of a lease that is renewed at `now`, on the worker's clock.
    pub(crate) fn renew(&mut self, lease: Millis, now: Time) -> Option<u64> {
        let fix = self.clock_reading?;
        let there = fix.clock + now.since(fix.at).as_millis() as u64;
        let expiry = there + lease.get();
        self.latest_expiry = self.latest_expiry.max(expiry);
        Some(expiry)
    }

    /// The look under way was answered: its renewal holds.
    pub(crate) fn confirm_renewal(&mut self) {
        self.confirmed_expiry = self
            .confirmed_expiry
            .max(self.requested_expiry.take().unwrap_or_default());
    }

    /// Whether the leases there surely go on for a while yet.
    pub(crate) fn has_valid_lease(&self, now: Time) -> bool {
        let Some(fix) = self.clock_reading else {
            return false;
        };
        let there = fix.clock + now.since(fix.at).as_millis() as u64;
        there + MIN_REMAINING_MS < self.confirmed_expiry
    }

    /// Whether every lease there has surely expired, if nothing more was heard.
    ///
    /// An earlier owner that is cut off with the worker may go on renewing for `others` after
    /// this one has taken over.
    pub(crate) fn has_expired(&self, lease: Millis, others: Duration, now: Time) -> bool {
        let Some(fix) = self.clock_reading else {
            let longest = others.as_millis() as f64
                + lease.get() as f64 / MIN_CLOCK_RATE
                + LEASE_MARGIN_MS as f64;
            return now.since(self.known_since).as_millis() as f64 > longest;
        };
        let passed = now.since(fix.at).as_millis() as f64 * MIN_CLOCK_RATE;
        fix.clock as f64 + passed > (self.latest_expiry + LEASE_MARGIN_MS) as f64
    }
}
