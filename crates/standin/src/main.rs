//! Runs one stand-in as a process of its own.

use std::net::SocketAddr;

use bpaf::Bpaf;
use cactuswheel_http::Call;
use cactuswheel_model::{Incarnation, InstanceId};
use cactuswheel_platform::{Presence, RosterEntry};
use cactuswheel_standin::{Platform, Upstream};
use tokio::net::TcpListener;

/// Stand-ins for tests: the platform, or an upstream.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Role {
    /// Serves log, roster and their faults
    #[bpaf(command)]
    Platform {
        /// Where to listen
        listen: SocketAddr,
    },
    /// Serves requests and lists itself in the roster
    #[bpaf(command)]
    Upstream {
        /// Where to listen
        listen: SocketAddr,
        /// Name of its instance
        id: InstanceId,
        /// Where the platform listens
        platform: SocketAddr,
        /// Which life of the instance this is
        #[bpaf(fallback(Incarnation::new(1)))]
        incarnation: Incarnation,
        /// Requests that it runs at once; further ones it refuses
        slots: Option<usize>,
    },
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    match role().run() {
        Role::Platform { listen } => {
            let listener = TcpListener::bind(listen).await?;
            println!("ready {}", listener.local_addr()?);
            Platform::default().serve(listener).await;
        }
        Role::Upstream {
            listen,
            id,
            platform,
            incarnation,
            slots,
        } => {
            let listener = TcpListener::bind(listen).await?;
            let addr = listener.local_addr()?;
            let upstream = Upstream::new(id.as_str());
            let upstream = match slots {
                Some(slots) => upstream.with_slots(slots),
                None => upstream,
            };
            let sighting = RosterEntry {
                id,
                incarnation,
                addr,
                presence: Presence::Live,
            };
            Call::post(platform, "/roster")
                .with_json(&sighting)?
                .send()
                .await?;
            println!("ready {addr}");
            upstream.serve(listener).await;
        }
    }
    Ok(())
}
