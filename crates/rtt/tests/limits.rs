//! Tests of the timeout that the estimator derives from round-trip times.

use std::time::Duration;

use cactuswheel_rtt::RttEstimator;

const MIN_TIMEOUT: Duration = Duration::from_millis(200);
const MAX_TIMEOUT: Duration = Duration::from_secs(2);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn estimator() -> RttEstimator {
    RttEstimator::new(MIN_TIMEOUT, MAX_TIMEOUT)
}

#[test]
fn quick_peer() {
    let rtt = estimator();
    assert_eq!(rtt.retry_timeout(), MIN_TIMEOUT);
    for _ in 0..20 {
        rtt.record_answer(ms(6));
    }
    assert_eq!(rtt.retry_timeout(), MIN_TIMEOUT);
}

/// Guards against repeating every call to a slow store, which makes the store even slower. After
/// its first answer, which takes longer than the timeout, the timeout has to stay above the
/// round-trip time.
#[test]
fn slow_peer() {
    let rtt = estimator();
    for _ in 0..20 {
        rtt.record_answer(ms(6));
    }
    rtt.record_timeout();
    assert_eq!(rtt.retry_timeout(), ms(400));
    rtt.record_timeout();
    rtt.record_answer(ms(800));
    for _ in 0..3 {
        assert!(rtt.retry_timeout() >= ms(800), "{:?}", rtt.retry_timeout());
        rtt.record_answer(ms(800));
    }
    assert!(rtt.retry_timeout() <= MAX_TIMEOUT);
}

/// Guards against a lost answer that delays a queue by a second. The timeout of a fast peer has to
/// be short, and the next answer has to undo the doubling after a timeout.
#[test]
fn lost_answer() {
    let rtt = estimator();
    for _ in 0..20 {
        rtt.record_answer(ms(6));
    }
    assert_eq!(rtt.retry_timeout(), MIN_TIMEOUT);
    rtt.record_timeout();
    rtt.record_answer(ms(6));
    assert_eq!(rtt.retry_timeout(), MIN_TIMEOUT);
}

#[test]
fn quick_again() {
    let rtt = estimator();
    for _ in 0..10 {
        rtt.record_answer(ms(800));
    }
    for _ in 0..40 {
        rtt.record_answer(ms(6));
    }
    assert_eq!(rtt.retry_timeout(), MIN_TIMEOUT);
}

#[test]
fn silent_peer() {
    let rtt = estimator();
    for _ in 0..100 {
        rtt.record_timeout();
    }
    assert_eq!(rtt.retry_timeout(), MAX_TIMEOUT);
}
