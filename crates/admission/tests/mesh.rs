//! Tests of the heartbeat graph between entries.

use cactuswheel_admission::{MeshNode, peers};
use cactuswheel_model::Set;
use cactuswheel_testkit::check;

fn nodes(dcs: usize, entries: usize) -> Vec<MeshNode> {
    let node = |n: usize| MeshNode {
        entry: format!("e{n}").parse().unwrap(),
        dc: format!("d{}", n % dcs).parse().unwrap(),
    };
    (0..dcs * entries).map(node).collect()
}

/// Number of nodes reachable from the first node that is up, without the nodes that are `down`.
fn reach(nodes: &[MeshNode], down: impl Fn(&MeshNode) -> bool) -> usize {
    let mut seen = Set::default();
    let mut left: Vec<_> = nodes.iter().find(|n| !down(n)).into_iter().collect();
    while let Some(node) = left.pop() {
        if down(node) || !seen.insert(node.entry.clone()) {
            continue;
        }
        left.extend(peers(nodes, node));
    }
    seen.len()
}

#[test]
fn always_connected() {
    // For any number of data centres and entries the graph is connected, also with any one data
    // centre or any one entry down.
    let property = |dcs: u8, entries: u8, gone: u8| {
        let (dcs, entries) = (1 + usize::from(dcs % 26), 1 + usize::from(entries % 9));
        let nodes = nodes(dcs, entries);
        let dc = &nodes[usize::from(gone) % dcs].dc;
        let entry = &nodes[usize::from(gone) % nodes.len()].entry;
        let whole = reach(&nodes, |_| false) == nodes.len();
        let without = reach(&nodes, |n| n.dc == *dc) == nodes.len() - entries;
        let one_down = entries < 2 || reach(&nodes, |n| n.entry == *entry) == nodes.len() - 1;
        whole && without && one_down
    };
    check(53, 300, property as fn(u8, u8, u8) -> bool);
}

#[test]
fn both_ends() {
    let nodes = nodes(7, 5);
    for node in &nodes {
        for peer in peers(&nodes, node) {
            assert!(peers(&nodes, peer).contains(&node), "{node:?} {peer:?}");
        }
    }
}

#[test]
fn few_links() {
    // With 25 data centres of 9 entries, a node has links to its 8 local peers and a few to other
    // data centres.
    let nodes = nodes(25, 9);
    let links: Vec<_> = nodes.iter().map(|n| peers(&nodes, n).len()).collect();
    let most = links.iter().max().unwrap();
    let mean = links.iter().sum::<usize>() as f64 / links.len() as f64;
    println!("{mean:.1} links per node, at most {most}");
    assert!(*most <= 14 && mean < 10.0, "{mean} {most}");
}
