//! Every caller gets the whole answer to its own request.

use std::time::Duration;

use cactuswheel_e2e::{Caller, Fleet};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

#[tokio::test]
async fn short_body() {
    // The upstream says that 26 bytes come and breaks off after 5. The caller's answer must
    // not end as if it were whole; a reel cut short would be shown.
    let fleet = Fleet::start(1, 1);
    fleet.open(100).await;
    // With chunks there is not even a length that would tell it.
    for fault in ["short=0", "short=5", "short=25", "chunks=0", "chunks=5"] {
        let mut caller = Caller::connect(fleet.callers[0]).await;
        let headers = [("x-fault", fault)];
        let reply = caller
            .send("POST", &headers, "abcdefghijklmnopqrstuvwxyz")
            .await;
        // Its connection breaks, before or after the head.
        if let Ok(reply) = reply {
            assert_eq!((reply.status.as_u16(), reply.body), (200, None));
        }
    }
}

#[tokio::test]
async fn no_length() {
    // The upstream's answer has neither a length nor chunks, so nobody can tell a whole one
    // from one cut short. It is not passed on.
    let mut fleet = Fleet::start(0, 1);
    let mut ticket = fleet.first_ticket(100);
    let changes = ticket["changes"].as_array_mut().unwrap();
    changes.push(Fleet::instance(1, "render"));
    let addr = fleet.hosts.addr(9000);
    let listener = TcpListener::bind(addr).await.unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf of").await;
        }
    });
    fleet.list("w1", 1, addr, "live").await;
    assert_eq!(fleet.apply(0, &ticket).0, Some(0));
    fleet.settle(1).await;
    let mut caller = Caller::connect(fleet.callers[0]).await;
    let reply = caller.send("POST", &[], "").await.unwrap();
    assert_eq!((reply.code(), reply.ran()), ("305", "unknown"));
}

#[tokio::test]
async fn late_answers() {
    // Callers give up at random moments, by deadline or by hanging up, and their answers come
    // when others use the upstream. Each of the others must get its own body, never a late one.
    let fleet = Fleet::start(1, 1);
    fleet.open(10_000).await;
    let at = fleet.callers[0];
    let mut tasks = Vec::new();
    for lane in 0..6 {
        tasks.push(tokio::spawn(async move {
            let mut own = 0;
            for n in 0..60 {
                let text = format!("lane {lane} request {n}");
                let pause = ((lane * 7 + n * 13) % 40).to_string();
                let mut headers = vec![("x-sleep-ms", pause.as_str())];
                if n % 3 == 0 {
                    headers.push(("x-deadline-ms", "20"));
                }
                let mut caller = Caller::connect(at).await;
                let sent = caller.send("POST", &headers, &text);
                let patience = if n % 3 == 1 { 15 } else { 5_000 };
                let Ok(reply) = timeout(Duration::from_millis(patience), sent).await else {
                    continue;
                };
                let reply = reply.unwrap();
                if reply.status == 200 {
                    assert_eq!(reply.body.as_deref(), Some(text.as_bytes()));
                    own += 1;
                }
            }
            own
        }));
    }
    let mut own = 0;
    for task in tasks {
        own += task.await.unwrap();
    }
    assert!(own > 100, "{own} of 360 answered");
}

#[tokio::test]
async fn early_answer() {
    // The upstream answers before it has read a large body. The caller gets that answer, and
    // the next callers get theirs, not the rest of this exchange.
    let fleet = Fleet::start(1, 1);
    fleet.open(100).await;
    let large = "x".repeat(1 << 20);
    for n in 0..10 {
        let mut caller = Caller::connect(fleet.callers[0]).await;
        let reply = caller.send("POST", &[("x-fault", "early")], &large).await;
        if let Ok(reply) = reply {
            let early = reply.body.as_deref() == Some(b"early".as_slice());
            assert!(early || reply.ran() == "unknown", "{reply:?}");
        }
        let text = format!("own {n}");
        let mut caller = Caller::connect(fleet.callers[0]).await;
        let reply = caller.send("POST", &[], &text).await.unwrap();
        assert_eq!(reply.body.as_deref(), Some(text.as_bytes()));
    }
}

#[tokio::test]
async fn caller_gone() {
    // A caller hangs up while its request runs, and comes again at once. The upstream goes on
    // with the first request, so at a limit of one the second must wait for its end.
    let fleet = Fleet::start(1, 1);
    fleet.open(1).await;
    let at = fleet.callers[0];
    let mut first = Caller::connect(at).await;
    let sent = first.send("POST", &[("x-sleep-ms", "600")], "first");
    assert!(timeout(Duration::from_millis(200), sent).await.is_err());
    drop(first);
    let mut refused = 0;
    let reply = loop {
        let mut second = Caller::connect(at).await;
        let reply = second.send("POST", &[("x-deadline-ms", "50")], "second");
        let reply = reply.await.unwrap();
        if reply.status == 200 {
            break reply;
        }
        // One that gets its unit just before its deadline may end as unknown.
        assert_ne!(reply.ran(), "ran");
        refused += 1;
        sleep(Duration::from_millis(20)).await;
    };
    assert!(refused > 0);
    assert_eq!(reply.body.as_deref(), Some(b"second".as_slice()));
    assert!(fleet.runs(0).await.iter().all(|run| run.beside == 1));
}
