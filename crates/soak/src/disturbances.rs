//! When unplanned faults disturbed which nodes.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::Complaint;

/// How long a node may suffer from a fault that has ended.
const AFTERMATH: Duration = Duration::from_secs(4);

/// The nodes disturbed by unplanned faults of themselves, of their link to the store, or of the
/// store, from each moment until the next.
#[derive(Debug, Default)]
pub struct Disturbances(Vec<(Instant, BTreeSet<usize>)>);

impl Disturbances {
    /// Records the nodes that are disturbed from `since` on.
    pub fn record(&mut self, since: Instant, nodes: BTreeSet<usize>) {
        self.0.push((since, nodes));
    }

    /// Whether the node of a complaint was disturbed during the request or shortly before.
    pub fn excuse(&self, complaint: &Complaint) -> bool {
        let end = complaint.sent + complaint.took;
        self.0.iter().enumerate().any(|(i, (since, nodes))| {
            let next = self.0.get(i + 1);
            let lasted = next.is_none_or(|(until, _)| *until + AFTERMATH >= complaint.sent);
            nodes.contains(&complaint.node) && *since <= end && lasted
        })
    }
}
