//! Tests of the cache of job specs and of the list of nodes that have them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_relay::{SpecCache, SpecDigest, SpecOrigins};
use cactuswheel_work::JobId;

const NOW: Time = Time::new(50_000);

fn spec_of(letter: &str, bytes: usize) -> Arc<str> {
    letter.repeat(bytes).into()
}

/// Guards against nodes that run out of memory: the oldest specs have to be evicted.
#[test]
fn cache_is_bounded() {
    let mut cache = SpecCache::new(1_000);
    let specs = ["a", "b", "c"].map(|letter| spec_of(letter, 400));
    for spec in &specs {
        cache.insert(spec);
        cache.insert(spec);
    }
    let kept = specs.each_ref().map(|s| cache.get(&SpecDigest::of(s)));
    assert_eq!(kept, [None, Some(specs[1].clone()), Some(specs[2].clone())]);
    let large = spec_of("d", 1_001);
    cache.insert(&large);
    assert_eq!(cache.get(&SpecDigest::of(&large)), None);
    assert!(
        cache.get(&SpecDigest::of(&specs[2])).is_some(),
        "a spec that exceeds the cache evicts no other"
    );
}

/// Guards against tasks that run the wrong spec, when two callers submit different specs under the
/// same name.
#[test]
fn content_decides() {
    let mut cache = SpecCache::new(1_000);
    let (one, two) = (spec_of("a", 10), spec_of("b", 10));
    cache.insert(&one);
    assert_eq!(cache.get(&SpecDigest::of(&two)), None);
    cache.insert(&two);
    assert_eq!(cache.get(&SpecDigest::of(&one)), Some(one));
}

/// Guards against orders that refer to a node which has evicted the spec since, and against a list
/// that grows without bound.
#[test]
fn origins_expire() {
    let mut origins = SpecOrigins::default();
    let addr = SocketAddr::from(([127, 0, 0, 1], 7_000));
    let (old, new) = (JobId::new(1), JobId::new(2));
    origins.insert(NOW, old, addr);
    assert_eq!(origins.get(&old), Some(addr));
    origins.insert(NOW.after(Duration::from_secs(61)), new, addr);
    assert_eq!(origins.get(&old), None);
    assert_eq!(origins.get(&new), Some(addr));
    origins.remove(&new);
    assert_eq!(origins.get(&new), None);
}
