//! Tests of the outcomes of attempts and of retry decisions.

use cactuswheel_model::{Ran, Time};
use cactuswheel_routing::{Attempt, Event, Exchange, RetryBudget};
use cactuswheel_testkit::check;
use quickcheck::{Arbitrary, Gen};

const EVENTS: [Event; 7] = [
    Event::NoConnection,
    Event::Sent,
    Event::ReturnedUnsent,
    Event::Declined,
    Event::ResponseHead,
    Event::ResponseEnd,
    Event::Interrupted,
];

/// What really happened to an attempt, including what the entry cannot observe.
#[derive(Debug, Clone, Copy)]
enum TrueOutcome {
    NoConnection,
    GivenBack,
    Declined,
    /// The connection broke; the flag is whether the upstream had read the request.
    BrokeSent(bool),
    /// The connection broke after the head of the response.
    BrokeAnswering,
    Whole,
}

impl TrueOutcome {
    fn ran(self) -> bool {
        matches!(
            self,
            Self::BrokeSent(true) | Self::BrokeAnswering | Self::Whole
        )
    }

    fn events(self) -> &'static [Event] {
        match self {
            Self::NoConnection => &[Event::NoConnection],
            Self::GivenBack => &[Event::Sent, Event::ReturnedUnsent],
            Self::Declined => &[Event::Sent, Event::Declined],
            Self::BrokeSent(_) => &[Event::Sent, Event::Interrupted],
            Self::BrokeAnswering => &[Event::Sent, Event::ResponseHead, Event::Interrupted],
            Self::Whole => &[Event::Sent, Event::ResponseHead, Event::ResponseEnd],
        }
    }
}

impl Arbitrary for TrueOutcome {
    fn arbitrary(g: &mut Gen) -> Self {
        let all = [
            Self::NoConnection,
            Self::GivenBack,
            Self::Declined,
            Self::BrokeSent(bool::arbitrary(g)),
            Self::BrokeAnswering,
            Self::Whole,
        ];
        *g.choose(&all).unwrap()
    }
}

/// Simulates a request whose attempts end as in `outcomes`; returns how often it ran and what the
/// caller is told.
fn simulate(outcomes: &[TrueOutcome], idempotent: bool) -> (usize, Ran) {
    let budget = RetryBudget::default();
    let mut exchange = Exchange::new(idempotent, Time::new(1_000));
    let mut runs = 0;
    let mut reported = exchange.ran(Ran::NotRun);
    for (n, outcome) in outcomes.iter().enumerate() {
        exchange.start_attempt();
        let step = |attempt: Attempt, event: &Event| attempt.step(*event);
        let attempt = outcome.events().iter().fold(Attempt::Connecting, step);
        runs += usize::from(outcome.ran());
        reported = exchange.ran(attempt.ran());
        let answered = matches!(outcome, TrueOutcome::Whole | TrueOutcome::BrokeAnswering);
        let now = Time::new(n as u64);
        if answered || !exchange.retry_after_failure(attempt.ran(), true, now, &budget) {
            break;
        }
    }
    (runs, reported)
}

#[test]
fn runs_once() {
    // If the connection breaks after a booking was sent and the entry retries, the booked spot
    // could be played twice. No sequence of failures may run a non-idempotent request twice.
    fn property(outcomes: Vec<TrueOutcome>) -> bool {
        simulate(&outcomes, false).0 <= 1
    }
    check(11, 5_000, property as fn(Vec<TrueOutcome>) -> bool);
}

#[test]
fn true_words() {
    // A caller that is told "not run" sends the request again. So a first attempt of unknown
    // outcome must not be forgotten when a second one certainly did not run.
    fn property(outcomes: Vec<TrueOutcome>, idempotent: bool) -> bool {
        let (runs, reported) = simulate(&outcomes, idempotent);
        match reported {
            Ran::NotRun => runs == 0,
            Ran::Ran => runs >= 1,
            Ran::Unknown => true,
        }
    }
    check(12, 5_000, property as fn(Vec<TrueOutcome>, bool) -> bool);
}

#[test]
fn over_is_over() {
    // Late events, from a connection abandoned long ago, must not change an ended attempt.
    fn property(picks: Vec<u8>, late: u8) -> bool {
        let event = |n: u8| EVENTS[usize::from(n) % EVENTS.len()];
        let end = picks
            .iter()
            .fold(Attempt::Connecting, |a, n| a.step(event(*n)));
        let over = matches!(end, Attempt::Complete | Attempt::NeverRan | Attempt::Failed);
        !over || end.step(event(late)) == end
    }
    check(13, 5_000, property as fn(Vec<u8>, u8) -> bool);
}

#[test]
fn late_or_spent() {
    // No retry after the deadline, without the whole body, or beyond the budget: in a full outage
    // the retries are at most a fifth of the requests plus one full bucket.
    let budget = RetryBudget::default();
    let retry = |now, whole| {
        let mut exchange = Exchange::new(true, Time::new(100));
        exchange.start_attempt();
        exchange.retry_after_failure(Ran::NotRun, whole, Time::new(now), &budget)
    };
    assert!(retry(99, true));
    assert!(!retry(100, true));
    assert!(!retry(99, false));
    let retries = (0..1_000).filter(|_| {
        budget.deposit();
        retry(0, true)
    });
    assert!(retries.count() <= 1_000 / 5 + 50);
}
