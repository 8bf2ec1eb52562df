//! Checks that the stand-in's log behaves as the platform's log interface specifies.

use std::time::Duration;

use cactuswheel_http::Call;
use cactuswheel_model::Offset;
use cactuswheel_platform::{Client, Log, LogError, Stream};
use cactuswheel_standin::{Fault, Platform};
use tokio::net::TcpListener;

async fn start() -> (Client, std::net::SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(Platform::default().serve(listener));
    (Client::new(addr), addr)
}

async fn set_fault(addr: std::net::SocketAddr, fault: Fault) {
    Call::post(addr, "/fault")
        .with_json(&fault)
        .unwrap()
        .send()
        .await
        .unwrap();
}

#[tokio::test]
async fn offsets_follow() {
    let (log, _) = start().await;
    let first = log
        .append(Stream::Fleet, vec!["a".into(), "b".into()])
        .await
        .unwrap();
    let second = log.append(Stream::Fleet, vec!["c".into()]).await.unwrap();
    assert_eq!(
        (first.offset, second.offset),
        (Offset::new(0), Offset::new(2))
    );
    let batch = log
        .read(Stream::Fleet, Offset::new(1), 9, Duration::ZERO)
        .await
        .unwrap();
    assert_eq!(batch.head, Offset::new(3));
    let bodies: Vec<_> = batch.entries.iter().map(|e| e.body.as_str()).collect();
    assert_eq!(bodies, ["b", "c"]);
}

#[tokio::test]
async fn trimmed_start() {
    let (log, addr) = start().await;
    log.append(Stream::Fleet, vec!["a".into(), "b".into()])
        .await
        .unwrap();
    Call::post(addr, "/trim?kept=1").send().await.unwrap();
    let read = log
        .read(Stream::Fleet, Offset::new(0), 9, Duration::ZERO)
        .await;
    assert!(matches!(read, Err(LogError::Trimmed(first)) if first == Offset::new(1)));
}

#[tokio::test]
async fn lost_answer() {
    let (log, addr) = start().await;
    set_fault(
        addr,
        Fault {
            deaf: true,
            ..Fault::default()
        },
    )
    .await;
    let append = log.append(Stream::Fleet, vec!["a".into()]).await;
    assert!(matches!(append, Err(LogError::Unknown(_))));
    let batch = log
        .read(Stream::Fleet, Offset::new(0), 9, Duration::ZERO)
        .await
        .unwrap();
    assert_eq!(batch.entries.len(), 1);
}

#[tokio::test]
async fn down_refuses() {
    let (log, addr) = start().await;
    set_fault(
        addr,
        Fault {
            down: true,
            ..Fault::default()
        },
    )
    .await;
    let append = log.append(Stream::Fleet, vec!["a".into()]).await;
    assert!(matches!(append, Err(LogError::Unavailable(_))));
}
