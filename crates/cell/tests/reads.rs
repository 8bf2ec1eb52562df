//! Progress of reading the intake.

use cactuswheel_cell::{Coverage, IntakeProgress};
use cactuswheel_model::Time;

fn at(ms: u64) -> Time {
    Time::new(ms)
}

/// Guards against jobs that run on for seconds after their cancellation was acknowledged. Callers
/// query jobs that were not read yet; if each query read the intake from the takeover on, a
/// thousand submissions of a kilobyte would saturate the link, and cancellations would be read
/// late.
#[test]
fn only_what_is_new() {
    let mut progress = IntakeProgress::new([100, 100]);
    progress.mark_read(0, 900, None);
    assert_eq!(progress.check(0, at(5)), Coverage::ReadFrom(900));
    for _ in 0..200 {
        assert_eq!(progress.check(0, at(5)), Coverage::Wait);
    }
    assert_eq!(progress.check(1, at(5)), Coverage::ReadFrom(100));
}

/// A read that was sent before a query arrived does not cover the query.
#[test]
fn sent_before() {
    let mut progress = IntakeProgress::new([0]);
    assert_eq!(progress.check(0, at(10)), Coverage::ReadFrom(0));
    progress.mark_read(0, 4, Some(at(10)));
    progress.finish_read(0);
    assert_eq!(progress.check(0, at(10)), Coverage::Complete);
    assert_eq!(progress.check(0, at(12)), Coverage::ReadFrom(4));
}

/// Guards against a query that waits forever because the read it waits for failed and no other is
/// sent.
#[test]
fn failed_read() {
    let mut progress = IntakeProgress::new([7]);
    assert_eq!(progress.check(0, at(10)), Coverage::ReadFrom(7));
    progress.finish_read(0);
    assert_eq!(progress.check(0, at(10)), Coverage::ReadFrom(7));
}

/// An older page that arrives late does not reset the progress.
#[test]
fn late_page() {
    let mut progress = IntakeProgress::new([0]);
    progress.mark_read(0, 50, Some(at(20)));
    progress.mark_read(0, 30, Some(at(10)));
    assert_eq!(progress.check(0, at(20)), Coverage::Complete);
    assert_eq!(progress.check(0, at(21)), Coverage::ReadFrom(50));
}
