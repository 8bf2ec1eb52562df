//! What jobs run, kept by fronts and relays.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_relay::{SpecCache, SpecDigest, SpecOrigins};
use cactuswheel_work::JobId;

const NOW: Time = Time::new(50_000);

fn text(letter: &str, bytes: usize) -> Arc<str> {
    letter.repeat(bytes).into()
}

/// Guards against nodes that run out of memory: the oldest texts are evicted.
#[test]
fn cache_is_bounded() {
    let mut cache = SpecCache::new(1_000);
    let texts = ["a", "b", "c"].map(|letter| text(letter, 400));
    for spec in &texts {
        cache.insert(spec);
        cache.insert(spec);
    }
    let kept = texts.each_ref().map(|t| cache.get(&SpecDigest::of(t)));
    assert_eq!(kept, [None, Some(texts[1].clone()), Some(texts[2].clone())]);
    let large = text("d", 1_001);
    cache.insert(&large);
    assert_eq!(cache.get(&SpecDigest::of(&large)), None);
    assert!(
        cache.get(&SpecDigest::of(&texts[2])).is_some(),
        "nothing made room for it"
    );
}

/// Guards against work that runs as something else: two callers hand in one name with two texts.
#[test]
fn content_decides() {
    let mut cache = SpecCache::new(1_000);
    let (one, two) = (text("a", 10), text("b", 10));
    cache.insert(&one);
    assert_eq!(cache.get(&SpecDigest::of(&two)), None);
    cache.insert(&two);
    assert_eq!(cache.get(&SpecDigest::of(&one)), Some(one));
}

/// Guards against orders that name a front which has evicted the text, and against a list that only grows.
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
