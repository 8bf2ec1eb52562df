//! A non-idempotent request runs at most once, whatever becomes of its connection.

use cactuswheel_e2e::{ANSWER, Caller, Cutter, Fleet, Reply};

/// A fleet of one entry whose pool is two listeners of one cutter.
async fn fleet(cutter: &Cutter) -> Fleet {
    let mut fleet = Fleet::start(0, 1);
    let mut ticket = fleet.first_ticket(100_000);
    let changes = ticket["changes"].as_array_mut().unwrap();
    for n in 1..=2 {
        changes.push(Fleet::instance(n, "render"));
        let addr = fleet.hosts.addr(9000);
        cutter.listen(addr).await;
        fleet.list(&format!("w{n}"), 1, addr, "live").await;
    }
    assert_eq!(fleet.apply(0, &ticket).0, Some(0));
    fleet.settle(2).await;
    fleet
}

async fn post(fleet: &Fleet, id: &str, more: &[(&str, &str)]) -> Option<Reply> {
    let mut caller = Caller::connect(fleet.callers[0]).await;
    let headers = [&[("x-request-id", id)], more].concat();
    caller.send("POST", &headers, "play spot 7").await.ok()
}

/// What a caller may be told of a request that ran `runs` times.
fn is_true(reply: Option<&Reply>, runs: usize) -> bool {
    let Some(reply) = reply else {
        return true;
    };
    match (reply.ran(), &reply.body) {
        ("not-run", _) => runs == 0,
        ("ran", Some(body)) => runs >= 1 && body.as_ref() == b"twelve bytes",
        // The answer broke off, and the caller saw it break off.
        ("ran", None) => runs >= 1,
        ("unknown", _) => true,
        _ => false,
    }
}

async fn sweep(reset: bool, warm: bool) {
    let cutter = Cutter::default();
    let fleet = fleet(&cutter).await;
    post(&fleet, "cut-none", &[]).await;
    let all = cutter.size() + ANSWER.len();
    let (mut whole, mut unknown) = (0, 0);
    for cut in 0..=all {
        if warm {
            cutter.cut(None, false);
            post(&fleet, "warm", &[]).await;
        }
        cutter.cut(Some(cut), reset);
        let id = format!("cut-{cut:04}");
        let reply = post(&fleet, &id, &[]).await;
        let runs = cutter.runs(&id);
        assert!(runs <= 1, "cut at {cut}: ran {runs} times");
        assert!(
            is_true(reply.as_ref(), runs),
            "cut at {cut}: {runs}, {reply:?}"
        );
        unknown += usize::from(reply.as_ref().is_some_and(|r| r.ran() == "unknown"));
        whole += usize::from(reply.is_some_and(|r| r.body.is_some() && r.status == 200));
    }
    assert_eq!(whole, 1, "only the exchange that was not cut is whole");
    assert!(unknown > cutter.size() / 2, "{unknown} of {all} unknown");
}

#[tokio::test]
async fn ends_everywhere() {
    // The upstream ends the connection after each byte of the exchange in turn: before it has
    // read anything, within head and body of the request, after it ran, within the answer. A
    // retry after the request was read would play the spot twice.
    sweep(false, false).await;
}

#[tokio::test]
async fn resets_everywhere() {
    // The same with resets, on connections that have served a request before: a reused
    // connection that dies looks the same whether the upstream read the request or not.
    sweep(true, true).await;
}

#[tokio::test]
async fn idempotent_again() {
    // One upstream resets the connection after it ran the request. A caller that allows it is
    // served by another attempt; one that does not is told that the outcome is unknown.
    let fleet = Fleet::start(2, 1);
    fleet.open(100).await;
    let fault = ("x-fault", "reset-after");
    let reply = post(&fleet, "plain", &[fault]).await.unwrap();
    assert_eq!((reply.code(), reply.ran()), ("302", "unknown"));
    assert_eq!(fleet.runs_of("plain").await, 1);
    let reply = post(&fleet, "again", &[fault, ("x-idempotent", "true")]).await;
    let reply = reply.unwrap();
    assert_eq!((reply.code(), reply.ran()), ("302", "unknown"));
    assert_eq!(fleet.runs_of("again").await, 2);
}

#[tokio::test]
async fn entry_killed() {
    // The entry is killed between sending a request and its answer. The caller sees its
    // connection break and asks another entry about nothing: the request ran once.
    let mut fleet = Fleet::start(1, 2);
    fleet.open(100).await;
    let slow = ("x-sleep-ms", "300");
    let mut caller = Caller::connect(fleet.callers[0]).await;
    let headers = [("x-request-id", "killed"), slow];
    let request = tokio::spawn(async move { caller.send("POST", &headers, "x").await });
    while fleet.runs_of("killed").await == 0 {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    fleet.entries[0].signal("KILL");
    assert!(request.await.unwrap().is_err());
    fleet.entries[0].wait();
    tokio::time::sleep(std::time::Duration::from_millis(400)).await;
    assert_eq!(fleet.runs_of("killed").await, 1);
}
