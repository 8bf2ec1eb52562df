//! A whole small fleet in one process, for a first look.

use std::net::{IpAddr, SocketAddr};

use cactuswheel_http::{Call, parse_json};
use cactuswheel_model::{Digest, Incarnation, InstanceId, Millis, Ticket};
use cactuswheel_platform::{Presence, RosterEntry};
use cactuswheel_standin::{Platform, Upstream};
use log::LevelFilter;
use tokio::net::TcpListener;

use crate::{Limits, Listen, LogSettings, Node, Operator, Settings, StartError, init_log};

/// Key of the team in the small fleet.
const TEAM_KEY: &str = "demo-key";

/// Key of the operator of the small fleet.
const OPERATOR_KEY: &str = "demo-operator";

/// What the small fleet is made of.
const FIRST_TICKET: &str = include_str!("../../../examples/embedded/first.json");

/// Ports for callers, operators and peers.
const PORTS: [u16; 3] = [8080, 8081, 8082];

/// Runs the small fleet on `host`, a loopback address, until SIGTERM or SIGINT.
pub async fn run_embedded(host: IpAddr) -> Result<(), StartError> {
    init_log(LevelFilter::Warn)?;
    let platform = Platform::default();
    let (listener, at) = listen(host).await?;
    tokio::spawn(platform.clone().serve(listener));
    for name in ["w1", "w2"] {
        start_upstream(&platform, name, host).await?;
    }
    let node = Node::start(settings(host, at)?).await?;
    node.wait_open().await;
    put_first_ticket(node.admin()).await?;
    print_help(node.callers(), node.admin());
    node.run_until_signal().await
}

async fn listen(host: IpAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let any = SocketAddr::new(host, 0);
    let failed = |e| StartError::Listen(any, e);
    let listener = TcpListener::bind(any).await.map_err(failed)?;
    let addr = listener.local_addr().map_err(failed)?;
    Ok((listener, addr))
}

async fn start_upstream(platform: &Platform, name: &str, host: IpAddr) -> Result<(), StartError> {
    let (listener, addr) = listen(host).await?;
    let id: InstanceId = parse(name)?;
    platform.upsert_instance(RosterEntry {
        id,
        incarnation: Incarnation::new(1),
        addr,
        presence: Presence::Live,
    });
    tokio::spawn(Upstream::new(name).serve(listener));
    Ok(())
}

fn settings(host: IpAddr, platform: SocketAddr) -> Result<Settings, StartError> {
    let [callers, admin, peer] = PORTS.map(|port| SocketAddr::new(host, port));
    Ok(Settings {
        entry: parse("demo")?,
        dc: parse("here")?,
        listen: Listen {
            callers,
            admin,
            peer,
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
        limits: Limits {
            // No balancer stands before it: Ctrl-C ends it at once.
            balancer_ms: Millis::new(0),
            ..Limits::default()
        },
        assignment: Default::default(),
        maintenance: Default::default(),
    })
}

async fn put_first_ticket(admin: SocketAddr) -> Result<(), StartError> {
    let failed = |e: &dyn std::fmt::Display| StartError::Embedded(e.to_string());
    let ticket: Ticket = parse_json(FIRST_TICKET.as_bytes()).map_err(|e| failed(&e))?;
    let call = Call::post(admin, "/v1/tickets").with_key(OPERATOR_KEY);
    let call = call.with_json(&ticket).map_err(|e| failed(&e))?;
    let answer = call.send().await.map_err(|e| failed(&e))?;
    if answer.status.is_success() {
        return Ok(());
    }
    Err(failed(&String::from_utf8_lossy(&answer.body)))
}

fn print_help(callers: SocketAddr, admin: SocketAddr) {
    let cli = format!(
        "CACTUSWHEEL_KEY={OPERATOR_KEY} cargo run --release --locked -q --bin cactuswheel -- \
         --entry {admin}"
    );
    println!(
        "ready {callers}: one entry, two upstreams and a platform, all in this process\n\
         \n\
         Send a request; the header x-upstream names the instance that ran it:\n  \
         curl -i -H 'authorization: Bearer {TEAM_KEY}' -d hello http://{callers}/s/echo/greet\n\
         \n\
         See the instances and their pools:\n  \
         {cli} instances\n\
         \n\
         Swap them by ticket, then send the request again:\n  \
         {cli} ticket apply --wait examples/embedded/move.json\n\
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
