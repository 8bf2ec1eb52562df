//! Requests that wait for a slot of a full pool.

use std::time::{Duration, Instant};

use cactuswheel_e2e::{Caller, Fleet, Reply};
use cactuswheel_http::Call;
use tokio::task::JoinSet;

/// A fleet of one entry whose only upstream has two slots, by its own count and the ticket's.
async fn fleet(limit: u32) -> Fleet {
    let mut fleet = Fleet::start(0, 1);
    fleet.add_upstream_with(&["--slots", "2"]);
    let mut ticket = fleet.first_ticket(limit);
    let changes = ticket["changes"].as_array_mut().unwrap();
    changes.last_mut().unwrap()["instance"]["slots"] = 2.into();
    assert_eq!(fleet.apply(0, &ticket).0, Some(0));
    fleet.settle(1).await;
    fleet
}

/// Sends `count` requests of 200 ms at once; the answers with their time.
async fn burst(fleet: &Fleet, count: usize, deadline: &'static str) -> Vec<(Duration, Reply)> {
    let at = fleet.callers[0];
    let mut tasks = JoinSet::new();
    for _ in 0..count {
        tasks.spawn(async move {
            let mut caller = Caller::connect(at).await;
            let headers = [("x-sleep-ms", "200"), ("x-deadline-ms", deadline)];
            let start = Instant::now();
            let reply = caller.send("POST", &headers, "x").await.unwrap();
            (start.elapsed(), reply)
        });
    }
    tasks.join_all().await
}

#[tokio::test]
async fn all_served() {
    // Ten callers want two slots. None is refused while there is time: each waits its turn.
    let fleet = fleet(100).await;
    let replies = burst(&fleet, 10, "20000").await;
    assert!(replies.iter().all(|(_, r)| r.status == 200));
    assert_eq!(fleet.runs(0).await.len(), 10);
}

#[tokio::test]
async fn no_time_left() {
    // Twenty callers want two slots within 1.3 s, time for about ten. The others are told that
    // nothing ran, with a time to return. None starts so late that its answer comes too late:
    // its slot would be lost and its outcome unknown.
    let fleet = fleet(100).await;
    burst(&fleet, 4, "20000").await;
    let before = fleet.runs(0).await.len();
    let replies = burst(&fleet, 20, "1300").await;
    let served = replies.iter().filter(|(_, r)| r.status == 200).count();
    assert_eq!(fleet.runs(0).await.len() - before, served);
    assert!((2..=12).contains(&served), "{served}");
    for (_, reply) in replies.iter().filter(|(_, r)| r.status != 200) {
        assert_eq!(reply.ran(), "not-run", "{reply:?}");
        assert!(!reply.header("retry-after").is_empty(), "{reply:?}");
    }
}

#[tokio::test]
async fn too_late_to_start() {
    // Six callers want two slots within 600 ms, at 200 ms each. The last two would get theirs
    // after 400 ms and, with the least delay, their answer too late. They are not started.
    let fleet = fleet(100).await;
    burst(&fleet, 4, "20000").await;
    let replies = burst(&fleet, 6, "600").await;
    let codes = |code| replies.iter().filter(|(_, r)| r.code() == code).count();
    assert_eq!((codes("0"), codes("303")), (4, 0), "{replies:?}");
}

#[tokio::test]
async fn waits_without_unit() {
    // A team at a limit of three fills a pool of two slots and has more waiting. What waits
    // does not run, so its units are there for the team's work elsewhere.
    let mut fleet = Fleet::start(0, 1);
    fleet.add_upstream_with(&["--slots", "2"]);
    fleet.add_upstream_with(&[]);
    let mut ticket = fleet.first_ticket(3);
    let changes = ticket["changes"].as_array_mut().unwrap();
    let last = changes.len() - 1;
    changes[last - 1]["instance"]["slots"] = 2.into();
    changes[last]["instance"]["pool"] = "spare".into();
    changes.push(serde_json::json!({"service": {"id": "other", "pool": "spare", "max_down": 0}}));
    let (status, text) = fleet.apply(0, &ticket);
    assert_eq!(status, Some(0), "{text}");
    fleet.settle(2).await;
    let other = fleet.callers[0];
    let elsewhere = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let call = Call::get(other, "/s/other/x").with_key(cactuswheel_e2e::TEAM_KEY);
        call.send().await.unwrap().status
    });
    let replies = burst(&fleet, 3, "20000").await;
    assert!(replies.iter().all(|(_, r)| r.status == 200));
    assert_eq!(elsewhere.await.unwrap(), 200);
}
