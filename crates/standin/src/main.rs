//! Runs one stand-in as a separate process.

use std::net::SocketAddr;

use bpaf::Bpaf;
use cactuswheel_http::Call;
use cactuswheel_model::{Incarnation, InstanceId};
use cactuswheel_platform::{Presence, RosterEntry};
use cactuswheel_standin::{Platform, Upstream};
use tokio::net::TcpListener;

/// Stand-in of the platform or of an upstream, for tests
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Role {
    /// Serve the log, the roster, worker control and the fault switches
    #[bpaf(command)]
    Platform {
        /// Address to listen on
        listen: SocketAddr,
    },
    /// Register in the roster and serve requests
    #[bpaf(command)]
    Upstream {
        /// Address to listen on
        listen: SocketAddr,
        /// Name of the instance
        id: InstanceId,
        /// Address of the platform
        platform: SocketAddr,
        /// Incarnation of the instance
        #[bpaf(fallback(Incarnation::new(1)))]
        incarnation: Incarnation,
        /// Maximum number of concurrent requests; further ones are refused
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
