//! Orders that are equal to an earlier one for the same worker.

use std::net::SocketAddr;
use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_relay::{Capacity, LostOrder, Offer, Pending, Relays, Reply};
use cactuswheel_work::{NodeName, PaceOrder, WorkerId};

const NOW: Time = Time::new(50_000);

/// Guards against filler tasks that stay at full pace: the report of an earlier, equal throttle
/// order, sent a second time, must not settle an order that is lost.
#[test]
fn repeated_report() {
    let (node, worker) = (NodeName::from("n1"), WorkerId::from("w1"));
    let mut relays = Relays::new(Capacity::for_link(1.0));
    relays.set_worker_count(130);
    let offer = Offer {
        node: node.clone(),
        life: 1,
        zone: "a".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        capacity: Capacity::for_link(250_000.0),
        clock: Time::new(9_000),
        leaving: false,
    };
    assert_eq!(relays.handle_offer(NOW, offer), Reply::Wanted);
    let order = Pending::Pace(PaceOrder {
        task: "00000000000000aa.0.0.0".parse().expect("a valid task id"),
        run: 1,
        percent: 40,
        fence: 1,
    });
    let deadline = NOW.after(Duration::from_millis(600));
    relays.record_sent(&node, &worker, order.clone(), deadline);
    relays.record_answer(&node, &worker, &order);
    relays.record_sent(&node, &worker, order.clone(), deadline);
    relays.record_answer(&node, &worker, &order);
    let overdue = relays.take_overdue(NOW.after(Duration::from_millis(700)));
    assert_eq!(overdue, [LostOrder { worker, order }]);
}
