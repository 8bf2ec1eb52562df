//! Tests of the routes of orders: directly or through a relay.

use std::net::SocketAddr;
use std::time::Duration;

use cactuswheel_model::{Map, Time};
use cactuswheel_relay::{Capacity, NewestPoll, Offer, Pending, Relays, Reply, Route, Site};
use cactuswheel_work::{NodeName, WorkerId, ZoneName};

/// Bytes per second of a link of 2 Mbit/s.
const SLOW_LINK: f64 = 250_000.0;

const NOW: Time = Time::new(50_000);

fn offer(node: &str, zone: &str) -> Offer {
    Offer {
        node: node.into(),
        life: 1,
        zone: zone.into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        capacity: Capacity::new(SLOW_LINK, 1.0),
        clock: Time::new(9_000),
        leaving: false,
    }
}

/// The relays of an owner on a slow link with `workers` workers, after the offers of these nodes.
fn relays_of(workers: usize, nodes: &[(&str, &str)]) -> Relays {
    let mut relays = Relays::new(Capacity::for_link(SLOW_LINK));
    relays.set_worker_count(workers);
    for (node, zone) in nodes {
        relays.handle_offer(NOW, offer(node, zone));
    }
    relays
}

fn choose(relays: &mut Relays, worker: usize, zone: &str) -> Route {
    choose_at(relays, worker, zone, None)
}

fn choose_at(relays: &mut Relays, worker: usize, zone: &str, rack: Option<&str>) -> Route {
    let worker = WorkerId::from(format!("w{worker}"));
    let site = Site {
        zone: ZoneName::from(zone),
        rack: rack.map(str::to_owned),
    };
    relays.choose(NOW, &worker, Some(&site))
}

fn via(node: &str) -> Route {
    Route::Relay(node.into())
}

/// Guards against longer waits of callers after a takeover: a new owner that rejected offers
/// because it does not know its workers yet would send every order itself until the nodes offer
/// again, seconds later.
#[test]
fn asks_again() {
    let mut fresh = Relays::new(Capacity::for_link(SLOW_LINK));
    assert_eq!(fresh.handle_offer(NOW, offer("n1", "a")), Reply::NotYet);
    fresh.set_worker_count(130);
    assert_eq!(fresh.handle_offer(NOW, offer("n1", "a")), Reply::Wanted);
}

/// A small fleet with a fast link needs no relays; each would be one more component that can fail.
#[test]
fn none_needed() {
    let mut wide = Relays::new(Capacity::for_link(125_000_000.0));
    wide.set_worker_count(349);
    assert_eq!(wide.handle_offer(NOW, offer("n1", "a")), Reply::Enough);
    assert_eq!(choose(&mut wide, 1, "a"), Route::Direct);
}

/// With 130 workers and links of 2 Mbit/s, offers are accepted until the relays together have
/// capacity for one and a half times the workers, and no relay is assigned more workers than it
/// offered.
#[test]
fn enough_relays() {
    let mut relays = relays_of(130, &[]);
    let accepted = (0..40).filter(|n| {
        let reply = relays.handle_offer(NOW, offer(&format!("n{n}"), "a"));
        reply == Reply::Wanted
    });
    let accepted = accepted.count();
    let each = Capacity::new(SLOW_LINK, 1.0).workers();
    assert_eq!(accepted, (130 * 3 / 2usize).div_ceil(each));
    let mut count = vec![0; 40];
    for worker in 0..130 {
        let Route::Relay(node) = choose(&mut relays, worker, "a") else {
            panic!("worker {worker} has no relay");
        };
        let number: usize = node.as_str()[1..].parse().expect("a node number");
        count[number] += 1;
    }
    assert!(count.iter().all(|c| *c <= each), "{count:?}");
}

/// Orders are sent through a relay in the worker's own data centre, and always the same one;
/// through a relay elsewhere only if there is none with free capacity, and directly if all are
/// full.
#[test]
fn near_first() {
    let mut relays = relays_of(130, &[("n1", "a"), ("n2", "b")]);
    assert_eq!(choose(&mut relays, 1, "a"), via("n1"));
    assert_eq!(choose(&mut relays, 2, "b"), via("n2"));
    assert_eq!(choose(&mut relays, 1, "a"), via("n1"));
    let each = Capacity::new(SLOW_LINK, 1.0).workers();
    for worker in 3..1 + 2 * each {
        assert_ne!(choose(&mut relays, worker, "a"), Route::Direct);
    }
    assert_eq!(choose(&mut relays, 999, "a"), Route::Direct);
}

/// Guards against callers that wait for orders sent through a relay that was killed. All orders in
/// flight there are returned as lost, since they may still be carried out, and the relay's workers
/// are assigned to another relay at once.
#[test]
fn relay_lost() {
    let mut relays = relays_of(130, &[("n1", "a"), ("n2", "a")]);
    let Route::Relay(node) = choose(&mut relays, 1, "a") else {
        panic!("no relay");
    };
    let worker = WorkerId::from("w1");
    relays.record_sent(
        &node,
        &worker,
        Pending::Poll(3),
        NOW.after(Duration::from_secs(2)),
    );
    relays.record_sent(
        &node,
        &worker,
        Pending::Poll(4),
        NOW.after(Duration::from_secs(2)),
    );
    let lost = relays.remove_relay(&node, "killed");
    let orders: Vec<&Pending> = lost.iter().map(|l| &l.order).collect();
    assert_eq!(
        orders,
        [&Pending::Poll(4)],
        "the newer poll replaced the older one"
    );
    assert!(matches!(choose(&mut relays, 1, "a"), Route::Relay(other) if other != node));
}

/// Orders whose relay stops sending heartbeats, and orders without an answer, are returned as lost
/// after a timeout; orders that are answered in time are not.
#[test]
fn silent_and_overdue() {
    let mut relays = relays_of(130, &[("n1", "a")]);
    let node = NodeName::from("n1");
    let worker = WorkerId::from("w1");
    choose(&mut relays, 1, "a");
    let soon = NOW.after(Duration::from_millis(600));
    relays.record_sent(&node, &worker, Pending::Poll(1), soon);
    relays.record_answer(&node, &worker, &Pending::Poll(1));
    relays.record_sent(&node, &worker, Pending::Poll(2), soon);
    assert!(
        relays
            .take_overdue(NOW.after(Duration::from_millis(500)))
            .is_empty()
    );
    let late = relays.take_overdue(NOW.after(Duration::from_millis(700)));
    assert_eq!(late.len(), 1);
    relays.record_sent(
        &node,
        &worker,
        Pending::Poll(3),
        NOW.after(Duration::from_secs(60)),
    );
    let gone = relays.take_overdue(NOW.after(Duration::from_millis(1_400)));
    assert_eq!(gone.len(), 1);
    assert_eq!(relays.count(), 0);
}

/// A node that announces its stop gets no new orders, but stays a relay so that it can answer those
/// in flight.
#[test]
fn leaving_relay() {
    let mut relays = relays_of(130, &[("n1", "a"), ("n2", "a")]);
    let Route::Relay(node) = choose(&mut relays, 1, "a") else {
        panic!("no relay");
    };
    let leaving = Offer {
        leaving: true,
        ..offer(node.as_str(), "a")
    };
    assert_eq!(relays.handle_offer(NOW, leaving), Reply::Wanted);
    assert!(matches!(choose(&mut relays, 1, "a"), Route::Relay(other) if other != node));
    assert_eq!(relays.count(), 2);
}

/// Guards against relays with more workers than they offered to serve while nodes are restarted two
/// at a time: half of the relays are about to stop, and no other node replaces them until they have
/// exited and their heartbeats have timed out.
#[test]
fn leaving_replaced() {
    let mut relays = relays_of(130, &[]);
    let is_wanted = |relays: &mut Relays, n: usize, leaving: bool| {
        let offer = offer(&format!("n{n}"), "a");
        relays.handle_offer(NOW, Offer { leaving, ..offer }) == Reply::Wanted
    };
    let before: Vec<usize> = (0..40)
        .filter(|n| is_wanted(&mut relays, *n, false))
        .collect();
    let leaving = &before[..before.len() / 2];
    for n in leaving {
        assert!(is_wanted(&mut relays, *n, true));
    }
    let others = before.len()..40;
    let replaced = others.filter(|n| is_wanted(&mut relays, *n, false));
    assert_eq!(replaced.count(), leaving.len());
}

/// Guards against tasks that run twice, when a relay is suspended with a start order in its queue
/// and sends it after another owner has settled the run. The time of the last confirmation of the
/// ownership, on the relay's clock, must never be later than the actual one, however long the
/// heartbeat was in transit.
#[test]
fn confirmed_never_late() {
    let relays = relays_of(130, &[("n1", "a")]);
    let node = NodeName::from("n1");
    for transit in [0, 5, 400] {
        // The relay's clock shows 9,000 when it sends the heartbeat, which arrives `transit` later.
        let relay_clock = |now: Time| now.get() - NOW.get() + 9_000 + transit;
        let now = NOW.after(Duration::from_millis(700));
        let age = Duration::from_millis(250);
        let confirmed = relays
            .confirmation_time(now, &node, age)
            .expect("the node is a relay");
        assert!(confirmed.get() <= relay_clock(now) - 250, "{confirmed}");
    }
}

/// Guards against an owner with a fast link whose processor is saturated by orders to a thousand
/// workers: its processor, too, determines from which number of workers on it accepts relays.
#[test]
fn processor_counts() {
    let mut small = Relays::new(Capacity::for_owner(25_000_000.0, 0.5));
    small.set_worker_count(350);
    assert_eq!(small.handle_offer(NOW, offer("n1", "a")), Reply::Enough);
    small.set_worker_count(1_100);
    assert_eq!(small.handle_offer(NOW, offer("n1", "a")), Reply::Wanted);
}

/// Guards against an owner that sends most orders itself while the links of its relays are idle, so
/// that callers' jobs wait for its link.
#[test]
fn overload_is_shared() {
    let nodes: Vec<String> = (0..14).map(|n| format!("n{n}")).collect();
    let nodes: Vec<(&str, &str)> = nodes.iter().map(|n| (n.as_str(), "a")).collect();
    let mut relays = relays_of(166, &nodes);
    let mut counts: Map<Route, usize> = Map::default();
    for worker in 0..166 {
        let route = choose(&mut relays, worker, "a");
        *counts.entry(route).or_default() += 1;
    }
    let direct = counts[&Route::Direct];
    let most = 166usize.div_ceil(15);
    assert!(
        direct <= most,
        "{direct} of 166 workers are direct, though 14 relays have the capacity of the owner"
    );
    assert!(counts.values().all(|c| *c <= most + 1), "{counts:?}");
}

/// Guards against sending a job's spec to a different relay for each of its tasks: the workers of a
/// rack share a relay.
#[test]
fn rack_shares_relay() {
    let mut relays = relays_of(130, &[("n1", "a"), ("n2", "a"), ("n3", "a")]);
    let first = choose_at(&mut relays, 1, "a", Some("r1"));
    let second = choose_at(&mut relays, 2, "a", Some("r2"));
    assert_ne!(first, second);
    for worker in 3..7 {
        assert_eq!(choose_at(&mut relays, worker, "a", Some("r1")), first);
        relays.forget(&WorkerId::from(format!("w{worker}")));
    }
    assert_eq!(choose_at(&mut relays, 9, "a", Some("r2")), second);
}

/// Guards against a worker that is not polled again, because a poll that reaches its relay late
/// replaces a newer one, whose outcome is then never reported.
#[test]
fn late_poll() {
    let mut newest = NewestPoll::default();
    let sent: Vec<u64> = [48, 54, 49, 54, 55]
        .into_iter()
        .filter(|number| newest.advance(*number))
        .collect();
    assert_eq!(sent, [48, 54, 55]);
}

/// Guards against a reachable relay that is lost together with all its orders, because a message of
/// an earlier term of the same node times out only after the node was taken as a relay again.
#[test]
fn late_loss() {
    let mut relays = relays_of(130, &[("n1", "a")]);
    let node = NodeName::from("n1");
    let earlier = relays.term(&node).expect("the node is a relay");
    relays.remove_relay(&node, "silent");
    let again = offer("n1", "a");
    assert_eq!(relays.handle_offer(NOW, again), Reply::Wanted);
    let worker = WorkerId::from("w1");
    let later = NOW.after(Duration::from_secs(2));
    relays.record_sent(&node, &worker, Pending::Poll(7), later);
    assert!(relays.remove_term(&node, earlier, "late").is_empty());
    assert_eq!(relays.count(), 1, "the relay of the new term stays");
    let term = relays.term(&node).expect("the node is a relay");
    assert_ne!(term, earlier);
    assert_eq!(relays.remove_term(&node, term, "lost").len(), 1);
    assert_eq!(relays.count(), 0);
}
