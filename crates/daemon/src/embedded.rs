//! A whole small fleet in one process, for a first look.

use std::net::SocketAddr;

use cactuswheel_http::Call;
use cactuswheel_model::{Digest, Incarnation, InstanceId};
use cactuswheel_platform::{Presence, Sighting};
use cactuswheel_standin::{Platform, Upstream};
use log::LevelFilter;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::{Limits, Listen, LogSettings, Node, Operator, Settings, StartError, init_log};

/// Key of the team in the small fleet.
const TEAM_KEY: &str = "demo-key";

/// Key of the operator of the small fleet.
const OPERATOR_KEY: &str = "demo-operator";

/// Addresses of the small fleet, loopback only.
const CALLERS: SocketAddr = loopback(8080);
const ADMIN: SocketAddr = loopback(8081);
const PEER: SocketAddr = loopback(8082);

const fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), port)
}

/// Runs the small fleet until SIGTERM or SIGINT.
pub async fn run_embedded() -> Result<(), StartError> {
    init_log(LevelFilter::Warn)?;
    let listener = listen().await?;
    let at = listener
        .local_addr()
        .map_err(|e| StartError::Listen(loopback(0), e))?;
    let platform = Platform::default();
    tokio::spawn(platform.clone().serve(listener));
    for name in ["w1", "w2"] {
        start_upstream(&platform, name).await?;
    }
    let node = Node::start(settings(at)?).await?;
    put_first_ticket(node.admin()).await?;
    print_help();
    node.run_until_signal().await
}

async fn listen() -> Result<TcpListener, StartError> {
    TcpListener::bind(loopback(0))
        .await
        .map_err(|e| StartError::Listen(loopback(0), e))
}

async fn start_upstream(platform: &Platform, name: &str) -> Result<(), StartError> {
    let listener = listen().await?;
    let addr = listener
        .local_addr()
        .map_err(|e| StartError::Listen(loopback(0), e))?;
    let id: InstanceId = parse(name)?;
    platform.list(Sighting {
        id,
        incarnation: Incarnation::new(1),
        addr,
        presence: Presence::Live,
    });
    tokio::spawn(Upstream::new(name).serve(listener));
    Ok(())
}

fn settings(platform: SocketAddr) -> Result<Settings, StartError> {
    Ok(Settings {
        entry: parse("demo")?,
        dc: parse("here")?,
        listen: Listen {
            callers: CALLERS,
            admin: ADMIN,
            peer: PEER,
        },
        platform,
        peers: Vec::new(),
        operators: vec![Operator {
            name: parse("you")?,
            digest: Digest::of(OPERATOR_KEY.as_bytes()),
        }],
        log: LogSettings {
            level: LevelFilter::Warn,
        },
        limits: Limits::default(),
        assignment: Default::default(),
        maintenance: Default::default(),
    })
}

async fn put_first_ticket(admin: SocketAddr) -> Result<(), StartError> {
    let call = Call::post(admin, "/v1/tickets").with_key(OPERATOR_KEY);
    let call = call
        .with_json(&first_ticket())
        .map_err(|e| StartError::Embedded(e.to_string()))?;
    let answer = call
        .send()
        .await
        .map_err(|e| StartError::Embedded(e.to_string()))?;
    if answer.status.is_success() {
        return Ok(());
    }
    Err(StartError::Embedded(
        String::from_utf8_lossy(&answer.body).into_owned(),
    ))
}

fn first_ticket() -> Value {
    json!({"ticket": 1, "reason": "the small fleet", "changes": [
        {"dc": {"id": "here", "region": "home"}},
        {"pool": {"id": "render"}},
        {"pool": {"id": "spare", "spare": true}},
        {"service": {"id": "echo", "pool": "render", "max_down": 0}},
        {"team": {"id": "demo", "share": 1, "limit": 8}},
        {"key": {"digest": Digest::of(TEAM_KEY.as_bytes()), "team": "demo"}},
        instance("w1", "render"),
        instance("w2", "spare"),
    ]})
}

fn instance(id: &str, pool: &str) -> Value {
    json!({"instance": {"id": id, "pool": pool, "dc": "here", "rack": "r1", "cores": 4,
        "memory": 4096, "slots": 8, "conns": 64}})
}

fn print_help() {
    println!(
        "A small fleet is up: one entry, two upstreams, one platform, all in this process.\n\
         \n\
         Send a request:\n  \
         curl -i -H 'authorization: Bearer {TEAM_KEY}' -d hello http://{CALLERS}/s/echo/greet\n\
         \n\
         See what is in force:\n  \
         CACTUSWHEEL_KEY={OPERATOR_KEY} cargo run --release -q --bin cactuswheel -- status\n\
         \n\
         Ctrl-C ends it."
    );
}

fn parse<T: std::str::FromStr<Err = cactuswheel_model::ParseIdError>>(
    name: &str,
) -> Result<T, StartError> {
    name.parse()
        .map_err(|e: cactuswheel_model::ParseIdError| StartError::Embedded(e.to_string()))
}
