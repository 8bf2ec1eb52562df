//! Upstreams that fail without a word.

use std::time::Duration;

use cactuswheel_e2e::{Caller, Fleet};
use tokio::time::sleep;

/// Sends one request after the other; how many had each code.
async fn send(fleet: &Fleet, name: &str, count: usize, deadline: &str) -> (usize, usize) {
    let (mut served, mut late) = (0, 0);
    for n in 0..count {
        let id = format!("{name}-{n}");
        let headers = [("x-request-id", id.as_str()), ("x-deadline-ms", deadline)];
        let mut caller = Caller::connect(fleet.callers[0]).await;
        let reply = caller.send("POST", &headers, "x").await.unwrap();
        served += usize::from(reply.code() == "0");
        late += usize::from(reply.code() == "303");
    }
    (served, late)
}

#[tokio::test]
async fn frozen_one() {
    // One of two upstreams is frozen: it takes connections and never answers. Callers lose the
    // requests that fill its slots, whose outcome is unknown, and no more. When it goes on it
    // runs those late, once each, and serves again.
    let fleet = Fleet::start(2, 1);
    fleet.open(100).await;
    send(&fleet, "warm", 20, "5000").await;
    fleet.upstreams[0].signal("STOP");
    let (served, late) = send(&fleet, "frozen", 40, "150").await;
    fleet.upstreams[0].signal("CONT");
    assert!(late <= 8, "{late} late of 40");
    assert_eq!(served + late, 40);
    sleep(Duration::from_millis(500)).await;
    for n in 0..40 {
        assert_eq!(fleet.runs_of(&format!("frozen-{n}")).await, 1);
    }
    let (served, _) = send(&fleet, "after", 20, "5000").await;
    assert_eq!(served, 20);
}

#[tokio::test]
async fn killed_and_replaced() {
    // An upstream is killed with requests running, and a new life starts at its address. The
    // team's units of the lost requests are held while they may still run; the new life proves
    // that they do not, long before their time is over.
    let mut fleet = Fleet::start(1, 1);
    fleet.open(2).await;
    let at = fleet.callers[0];
    let mut lost = Vec::new();
    for _ in 0..2 {
        lost.push(tokio::spawn(async move {
            let mut caller = Caller::connect(at).await;
            let slow = [("x-sleep-ms", "5000")];
            caller.send("POST", &slow, "x").await.unwrap()
        }));
    }
    while fleet.runs(0).await.len() < 2 {
        sleep(Duration::from_millis(10)).await;
    }
    fleet.upstreams[0].signal("KILL");
    fleet.upstreams[0].wait();
    for lost in lost {
        assert_eq!(lost.await.unwrap().code(), "302");
    }
    let mut caller = Caller::connect(at).await;
    let reply = caller.send("POST", &[("x-deadline-ms", "100")], "x").await;
    // Told at the limit, or when the wait for a unit has taken all its time.
    assert!(["201", "203"].contains(&reply.unwrap().code()));
    let addr = fleet.upstream_addrs[0];
    fleet.upstreams[0] = fleet.start_upstream("w1", addr, &["--incarnation", "2"]);
    sleep(Duration::from_millis(1_500)).await;
    let mut caller = Caller::connect(at).await;
    let reply = caller.send("POST", &[], "x").await.unwrap();
    assert_eq!(reply.code(), "0");
}
