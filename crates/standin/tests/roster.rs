//! Checks that the stand-in's roster returns the changes since a version.

use std::net::SocketAddr;

use cactuswheel_http::Call;
use cactuswheel_model::Incarnation;
use cactuswheel_platform::{Client, Presence, Roster, RosterEntry};
use cactuswheel_standin::Platform;
use tokio::net::TcpListener;

async fn start() -> (Platform, Client, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let platform = Platform::default();
    tokio::spawn(platform.clone().serve(listener));
    (platform, Client::new(addr), addr)
}

fn sighting(id: &str, incarnation: u64) -> RosterEntry {
    RosterEntry {
        id: id.parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        addr: "127.0.0.1:1".parse().unwrap(),
        presence: Presence::Live,
    }
}

#[tokio::test]
async fn only_news() {
    let (platform, client, addr) = start().await;
    platform.upsert_instance(sighting("a", 1));
    platform.upsert_instance(sighting("b", 1));
    let first = client.changes("").await.unwrap();
    assert!(first.whole && first.listed.len() == 2);
    platform.upsert_instance(sighting("b", 2));
    let lose = Call::post(addr, "/workers/a/lose").send().await.unwrap();
    assert!(lose.status.is_success(), "{}", lose.status);
    let second = client.changes(&first.version).await.unwrap();
    assert!(!second.whole);
    assert_eq!(second.listed, [sighting("b", 2)]);
    assert_eq!(second.gone, ["a".parse().unwrap()]);
    assert!(client.changes(&second.version).await.unwrap().is_empty());
}

#[tokio::test]
async fn other_start() {
    // A version from before a restart of the platform must not be accepted as a version of the
    // new list. Otherwise the answer would omit changes.
    let (_, old, _) = start().await;
    let version = old.changes("").await.unwrap().version;
    let (platform, new, _) = start().await;
    platform.upsert_instance(sighting("a", 1));
    assert!(new.changes(&version).await.unwrap().whole);
    assert!(new.changes("junk").await.unwrap().whole);
}
