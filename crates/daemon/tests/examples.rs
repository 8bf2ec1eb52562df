//! The examples under `examples/` hold what they say.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::PathBuf;

use cactuswheel_daemon::Settings;
use cactuswheel_fleet::{Applied, Config, State};
use cactuswheel_model::{Code, Record, Ticket};

fn example(path: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(path)
}

fn settings(customer: &str) -> Vec<Settings> {
    let files = fs::read_dir(example(customer).join("settings")).unwrap();
    let load = |f: fs::DirEntry| {
        Settings::load(&f.path())
            .map_err(|e| e.to_string())
            .unwrap()
    };
    files.map(|f| load(f.unwrap())).collect()
}

fn apply(state: &mut State, file: &str) {
    let text = fs::read_to_string(example(file)).unwrap();
    let ticket: Ticket = serde_json::from_str(&text).unwrap();
    let body = serde_json::to_string(&Record::Ticket(ticket)).unwrap();
    let Applied::Ticket(outcome) = state.apply(state.next(), &body) else {
        panic!("{file} is no ticket")
    };
    assert_eq!(outcome.code, Code::Ok, "{file}: {}", outcome.detail);
}

/// Every entry knows all others and nothing else, and no address is used twice.
fn check_settings(customer: &str, entries: usize) {
    let all = settings(customer);
    assert_eq!(all.len(), entries);
    let peers: BTreeSet<_> = all.iter().map(|s| s.listen.peer).collect();
    assert_eq!(peers.len(), entries);
    for own in &all {
        let mut known: BTreeSet<_> = own.peers.iter().copied().collect();
        known.insert(own.listen.peer);
        assert_eq!(known, peers, "{}", own.entry);
    }
    let dcs: BTreeSet<_> = all.iter().map(|s| s.dc.as_str()).collect();
    assert_eq!(dcs.len(), 3);
}

/// Each service's demand fits into its pool with any one rack lost.
fn check_demand(config: &Config) {
    for service in config.services.values() {
        let mut racks = BTreeMap::new();
        let members = config.instances.values().filter(|i| i.pool == service.pool);
        for i in members {
            *racks.entry((&i.dc, &i.rack)).or_insert(0) += i.slots.get();
        }
        let worst = racks.values().max().unwrap();
        let left = racks.values().sum::<u32>() - worst;
        assert!(service.demand.get() <= left, "{}: {left} left", service.id);
        assert!(
            service.max_down > 0,
            "{}: maintenance needs a budget",
            service.id
        );
    }
}

fn check_customer(customer: &str, entries: usize, cores: u32) {
    check_settings(customer, entries);
    let mut state = State::default();
    apply(&mut state, &format!("{customer}/1-objects.json"));
    apply(&mut state, &format!("{customer}/2-instances.json"));
    let config = state.config();
    assert_eq!((config.dcs.len(), config.pools.len()), (3, 6));
    assert_eq!((config.services.len(), config.teams.len()), (5, 6));
    assert_eq!(config.instances.len(), 52);
    assert_eq!(config.pools.values().filter(|p| p.spare).count(), 1);
    assert!(config.instances.values().all(|i| i.cores.get() == cores));
    check_demand(config);
}

#[test]
fn platno() {
    check_customer("platno", 6, 64);
}

#[test]
fn shaker_lab() {
    check_customer("shaker", 9, 32);
}
