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
use crate::workers::Marks;

/// How much slower than true time a worker's clock may go: it runs at least at this share.
const SLOWEST_CLOCK: f64 = 0.98;

/// Margin on every bound of a lease, for the way of an answer.
const LEASE_SLACK: u64 = 100;

/// Time that a lease has to go on for work under it to count as at work, in milliseconds: that of
/// another task's move.
const MIN_LEFT: u64 = 1_000;

/// For how long an owner whose ownership is not confirmed goes on renewing leases.
///
/// With the lease itself it covers outages of the whole store of up to eight seconds, which
/// nobody else can use to take over. Longer, and work on a worker that went silent at a change
/// of owners would be given up for lost too late.
pub const RENEW_WITHOUT_STORE: Duration = Duration::from_secs(4);

/// Time without an answer after which a worker gets no new work.
const QUIET_LIMIT: Duration = Duration::from_millis(3_200);

/// When the worker's clock showed what.
#[derive(Debug, Clone, Copy)]
struct ClockFix {
    clock: u64,
    /// When the answer that told it came.
    at: Time,
}

/// The next look at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Looking {
    /// Not before this time.
    Due(Time),
    /// Under way since then.
    Flying(Time),
}

/// What a run takes up.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Held {
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
    settled: u64,
    fix: Option<ClockFix>,
    /// Latest expiry of a lease that any order may have set, on the worker's clock.
    expiry: u64,
    /// Expiry that the look under way asks for, if it renews.
    pub(crate) asked: Option<u64>,
    /// Latest expiry that an answered look has set, on the worker's clock.
    assured: u64,
    /// When the last look that it answered was sent: it was still there then.
    pub(crate) alive: Time,
    /// Since when this owner knows it.
    since: Time,
    /// When this owner's first look at its life was answered.
    pub(crate) met: Option<Time>,
    /// Highest end that was taken in.
    pub(crate) seen: u64,
    /// Highest end that the journal reflects: it may be acknowledged.
    pub(crate) noted: u64,
    /// Jobs of ends that the journal may not reflect yet, by the ends' numbers.
    pub(crate) unwritten: VecDeque<(u64, JobId)>,
    /// First end that may never be acknowledged, if there is one.
    ///
    /// Failure: a worker is silent for longer than its lease, its runs are given up and started
    /// anew, and then it lists one of them as done before the lease ran out. Once acknowledged
    /// the work counts as done twice. Its life takes no more work and ends with the next move of
    /// its instance.
    pub(crate) barred: Option<u64>,
    /// Highest end in the list at hand by which its lease is known to have run out.
    pub(crate) lapsed: u64,
    /// Runs that are, or may be, there.
    pub(crate) held: Map<TaskId, Held>,
    /// What they take up.
    pub(crate) used: Room,
    /// Runs there that last.
    pub(crate) lasting: usize,
    /// Runs there that serve users.
    pub(crate) serving: usize,
    /// Runs there that fill.
    pub(crate) fillers: usize,
    pub(crate) looking: Looking,
    /// Number of the newest look; answers to older ones are not taken.
    pub(crate) look: u64,
    /// Looks without an answer in a row.
    pub(crate) missed: u32,
    pub(crate) health: Health,
    pub(crate) throttle: Throttle,
    /// Gets no new work: its instance is wanted elsewhere.
    pub(crate) closing: bool,
    /// Its instance is ordered away, or may be.
    pub(crate) ordered: bool,
    /// Gets no new work: its data centre is evacuated.
    pub(crate) evacuated: bool,
    /// Lasting work leaves it too.
    pub(crate) evacuating: bool,
    /// It listed a run at the last look that no attempt stands for: what that takes up is not known.
    pub(crate) stray: bool,
    /// A lasting run there has started and is not at work yet, as far as is known.
    pub(crate) waking: bool,
    /// Until then it is kept for a task that may take it down.
    pub(crate) reserved: Time,
    /// That task, once it has started here.
    pub(crate) trial: Option<TaskId>,
    /// No new work until then: it said that it had no room.
    pub(crate) full_until: Time,
    pub(crate) marks: Marks,
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
            settled: 0,
            fix: None,
            expiry: 0,
            asked: None,
            assured: 0,
            alive: Time::default(),
            since: now,
            met: None,
            seen: 0,
            noted: 0,
            unwritten: VecDeque::new(),
            barred: None,
            lapsed: 0,
            held: Map::default(),
            used: Room::default(),
            lasting: 0,
            serving: 0,
            fillers: 0,
            looking: Looking::Due(now),
            look: 0,
            missed: 0,
            health: Health::default(),
            throttle: Throttle::default(),
            closing: false,
            ordered: false,
            evacuated: false,
            evacuating: false,
            stray: false,
            waking: false,
            reserved: Time::default(),
            trial: None,
            full_until: Time::default(),
            marks: Marks::default(),
        }
    }

    /// Whether it may get new work, as far as time has no part in it.
    pub(crate) fn may_take(&self) -> bool {
        let listed = self.entry.as_ref();
        listed.is_some_and(|e| e.presence == Presence::Ready)
            && !self.closing
            && !self.evacuated
            && self.missed == 0
            && self.fence_settled()
            && self.born != 0
            && self.barred.is_none()
            && !self.stray
    }

    /// Whether it may get new work.
    pub(crate) fn is_open(&self, now: Time) -> bool {
        self.may_take()
            && self.full_until <= now
            && self.health.is_trusted(now)
            && self.fix.is_some_and(|f| now.since(f.at) < QUIET_LIMIT)
    }

    /// Whether it takes no work for a moment only, since it said that it has no room.
    pub(crate) fn is_full(&self, now: Time) -> bool {
        self.full_until > now && self.answers()
    }

    /// Highest end that may be acknowledged once the journal reflects it.
    pub(crate) fn notable(&self) -> u64 {
        let most = self.barred.map_or(u64::MAX, |first| first - 1);
        self.seen.min(most)
    }

    /// The journal reflects its ends up to `number`.
    pub(crate) fn note(&mut self, number: u64) {
        self.noted = self.noted.max(number.min(self.notable()));
        let noted = self.noted;
        self.unwritten.retain(|(n, _)| *n > noted);
    }

    /// Highest end up to which the journal reflects all, once it holds every job but those `left`.
    pub(crate) fn written(&self, left: &Set<JobId>) -> u64 {
        let first = self.unwritten.iter().find(|(_, job)| left.contains(job));
        first.map_or(self.notable(), |(number, _)| {
            (number - 1).min(self.notable())
        })
    }

    /// Whether its life is of no use any more: it takes no work, and can never be told that all
    /// its ends were taken in.
    pub(crate) fn is_spent(&self) -> bool {
        self.barred.is_some()
    }

    /// Whether it answers, as far as is known.
    pub(crate) fn answers(&self) -> bool {
        self.missed == 0 && self.born != 0
    }

    /// Whether it is kept for a task that may take it down.
    pub(crate) fn is_reserved(&self, now: Time) -> bool {
        self.reserved > now
    }

    /// Whether it is in the pool of this service.
    pub(crate) fn serves(&self, service: &ServiceName) -> bool {
        self.entry.as_ref().is_some_and(|e| e.service == *service)
    }

    /// Room that is left.
    pub(crate) fn free(&self) -> Room {
        let all = self.entry.as_ref().map(|e| e.room).unwrap_or_default();
        all - self.used
    }

    /// Whether more is taken up, or planned, than it has by now.
    pub(crate) fn is_overfull(&self) -> bool {
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
        self.settled == self.fence
    }

    /// A look under the newest token was answered; gives the token.
    pub(crate) fn settle_fence(&mut self) -> u64 {
        self.settled = self.fence;
        self.fence
    }

    pub(crate) fn hold(&mut self, task: TaskId, held: Held) {
        if let Some(before) = self.held.insert(task, held) {
            self.uncount(before);
        }
        self.used += held.room;
        self.lasting += usize::from(held.lasting);
        self.serving += usize::from(held.serves);
        self.fillers += usize::from(held.filler);
    }

    fn uncount(&mut self, held: Held) {
        self.used -= held.room;
        self.lasting -= usize::from(held.lasting);
        self.serving -= usize::from(held.serves);
        self.fillers -= usize::from(held.filler);
    }

    pub(crate) fn drop_run(&mut self, task: TaskId, run: u32) {
        if self.held.get(&task).is_some_and(|h| h.run == run)
            && let Some(held) = self.held.remove(&task)
        {
            self.uncount(held);
        }
    }

    /// Takes over what the worker's clock shows at `now`.
    pub(crate) fn fix_clock(&mut self, clock: u64, lease: Millis, now: Time) {
        if self.fix.is_none() {
            // An earlier owner may have renewed the lease until our fencing token came.
            self.expiry = self.expiry.max(clock + lease.get());
        }
        self.fix = Some(ClockFix { clock, at: now });
    }

    /// A new life began: nothing of the old one counts.
    pub(crate) fn begin_life(&mut self, born: u64) {
        self.born = born;
        self.fix = None;
        self.expiry = 0;
        self.asked = None;
        self.assured = 0;
        self.met = None;
        self.seen = 0;
        self.noted = 0;
        self.unwritten.clear();
        self.barred = None;
        self.stray = false;
        self.reserved = Time::default();
        self.trial = None;
        self.health = Health::default();
    }

    /// Expiry of a lease that is renewed at `now`, on the worker's clock.
    pub(crate) fn renew(&mut self, lease: Millis, now: Time) -> Option<u64> {
        let fix = self.fix?;
        let there = fix.clock + now.since(fix.at).as_millis() as u64;
        let expiry = there + lease.get();
        self.expiry = self.expiry.max(expiry);
        Some(expiry)
    }

    /// The look under way was answered: its renewal holds.
    pub(crate) fn assure(&mut self) {
        self.assured = self.assured.max(self.asked.take().unwrap_or_default());
    }

    /// Whether the leases there surely go on for a while yet.
    pub(crate) fn is_assured(&self, now: Time) -> bool {
        let Some(fix) = self.fix else {
            return false;
        };
        let there = fix.clock + now.since(fix.at).as_millis() as u64;
        there + MIN_LEFT < self.assured
    }

    /// Whether every lease there has surely expired, if nothing more was heard.
    ///
    /// An earlier owner that is cut off with the worker may go on renewing for `others` after
    /// this one has taken over.
    pub(crate) fn has_expired(&self, lease: Millis, others: Duration, now: Time) -> bool {
        let Some(fix) = self.fix else {
            let longest =
                others.as_millis() as f64 + lease.get() as f64 / SLOWEST_CLOCK + LEASE_SLACK as f64;
            return now.since(self.since).as_millis() as f64 > longest;
        };
        let passed = now.since(fix.at).as_millis() as f64 * SLOWEST_CLOCK;
        fix.clock as f64 + passed > (self.expiry + LEASE_SLACK) as f64
    }
}
