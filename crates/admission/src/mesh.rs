//! The graph of entries that exchange heartbeats.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use cactuswheel_model::{DcId, EntryId};

/// Links from each data centre to others chosen by hash, in addition to its neighbours in the
/// ring.
const CHORDS: usize = 1;

/// Pairs of entries that connect two linked data centres; with two, one pair may be down.
const GATEWAYS: usize = 2;

/// An entry and its data centre.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct MeshNode {
    /// Name of the entry.
    pub entry: EntryId,
    /// Data centre of the entry.
    pub dc: DcId,
}

/// Returns the peers of `me` among `nodes`.
///
/// All entries of a data centre are peers, since they renew each other. Data centres are linked
/// in a ring ordered by name, with one additional chord from each, so the graph stays connected
/// when any one data centre is down and messages cross it in few hops. All entries compute the
/// same links from the same list, so both ends of a link know it.
pub fn peers<'a>(nodes: &'a [MeshNode], me: &MeshNode) -> Vec<&'a MeshNode> {
    let mut dcs: BTreeMap<&DcId, Vec<&MeshNode>> = BTreeMap::new();
    for node in nodes {
        dcs.entry(&node.dc).or_default().push(node);
    }
    dcs.values_mut().for_each(|entries| entries.sort());
    let local = nodes
        .iter()
        .filter(|n| n.dc == me.dc && n.entry != me.entry);
    let mut peers: Vec<_> = local.collect();
    let names: Vec<_> = dcs.keys().copied().collect();
    for (one, other) in linked_dcs(&names) {
        for index in 0..GATEWAYS {
            let ends = [one, other].map(|dc| gateway(&dcs[dc], (one, other), index));
            match ends {
                [a, b] if a == me => peers.push(b),
                [a, b] if b == me => peers.push(a),
                _ => {}
            }
        }
    }
    peers.sort();
    peers.dedup();
    peers
}

/// Returns the pairs of linked data centres, each pair once.
fn linked_dcs<'a>(names: &[&'a DcId]) -> BTreeSet<(&'a DcId, &'a DcId)> {
    let count = names.len();
    let mut pairs = BTreeSet::new();
    for (i, name) in names.iter().enumerate() {
        let chords = (0..CHORDS).map(|c| 2 + hash(&(name, c)) as usize % count.max(1));
        for step in [1].into_iter().chain(chords) {
            let other = names[(i + step) % count];
            if other != *name {
                pairs.insert(((*name).min(other), (*name).max(other)));
            }
        }
    }
    pairs
}

/// Returns the entry at one end of pair `index` of a link; successive pairs use successive
/// entries.
fn gateway<'a>(entries: &[&'a MeshNode], link: (&DcId, &DcId), index: usize) -> &'a MeshNode {
    entries[(hash(&link) as usize + index) % entries.len()]
}

/// A hash that is the same at every entry and in every build.
fn hash<T: Hash>(value: &T) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    value.hash(&mut hasher);
    hasher.finish() >> 20
}
