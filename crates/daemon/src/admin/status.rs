//! Where this entry stands.

use cactuswheel_http::{Reply, json};
use cactuswheel_model::{EntryId, Offset, Refusal};
use hyper::StatusCode;
use serde::Serialize;

use crate::Phase;
use crate::shared::Shared;

#[derive(Serialize)]
struct Status<'a> {
    entry: &'a str,
    dc: &'a str,
    ready: bool,
    /// Whether it may start work: its life stands in the log and was heard of lately.
    open: bool,
    next: Offset,
    /// Head of the last snapshot in the log.
    snapshot: Option<Offset>,
    /// Records that did not decode.
    undecodable: u64,
    /// Whether the platform's log does not answer.
    log_down: bool,
    upstreams: usize,
    peers: Vec<PeerStatus>,
    /// Configured peers that were never heard.
    unheard: usize,
}

#[derive(Serialize)]
struct PeerStatus {
    entry: EntryId,
    next: Offset,
    /// Age of its last beat.
    age_ms: u64,
}

/// Shows the entry's name, phase and offset.
pub(super) fn show(shared: &Shared) -> Result<Reply, Refusal> {
    let state = shared.state.load();
    let peers = peers(shared);
    let status = Status {
        entry: shared.settings.entry.as_str(),
        dc: shared.settings.dc.as_str(),
        ready: shared.phase.get() == Phase::Ready,
        open: shared.is_open(),
        next: state.next(),
        snapshot: state.snapshot().map(|s| s.head),
        undecodable: state.undecodable(),
        log_down: shared.link.is_down(),
        upstreams: shared.routes.load().upstreams().count(),
        unheard: shared.settings.peers.len().saturating_sub(peers.len()),
        peers,
    };
    Ok(json(StatusCode::OK, &status))
}

fn peers(shared: &Shared) -> Vec<PeerStatus> {
    let heard = shared.heard();
    let mut peers: Vec<_> = heard
        .iter()
        .map(|(entry, heard)| PeerStatus {
            entry: entry.clone(),
            next: heard.head,
            age_ms: heard.at.elapsed().as_millis() as u64,
        })
        .collect();
    peers.sort_by(|a, b| a.entry.cmp(&b.entry));
    peers
}
