//! How far the intake was read.

use cactuswheel_cell::{Coverage, IntakeProgress};
use cactuswheel_model::Time;

fn at(ms: u64) -> Time {
    Time::new(ms)
}

/// Jobs go on for seconds after their cancelling was acknowledged. Callers ask for jobs that
/// were not read yet, each question reads the intake from the takeover on, and a thousand
/// submissions of a kilobyte fill the link; cancels are read when it is free again.
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

/// A read that was sent before the question came proves nothing about it.
#[test]
fn sent_before() {
    let mut progress = IntakeProgress::new([0]);
    assert_eq!(progress.check(0, at(10)), Coverage::ReadFrom(0));
    progress.mark_read(0, 4, Some(at(10)));
    progress.finish_read(0);
    assert_eq!(progress.check(0, at(10)), Coverage::Complete);
    assert_eq!(progress.check(0, at(12)), Coverage::ReadFrom(4));
}

/// A question waits for ever. The read that it waits for failed, and no other is sent.
#[test]
fn failed_read() {
    let mut progress = IntakeProgress::new([7]);
    assert_eq!(progress.check(0, at(10)), Coverage::ReadFrom(7));
    progress.finish_read(0);
    assert_eq!(progress.check(0, at(10)), Coverage::ReadFrom(7));
}

/// An older page that comes late takes nothing back.
#[test]
fn late_page() {
    let mut progress = IntakeProgress::new([0]);
    progress.mark_read(0, 50, Some(at(20)));
    progress.mark_read(0, 30, Some(at(10)));
    assert_eq!(progress.check(0, at(20)), Coverage::Complete);
    assert_eq!(progress.check(0, at(21)), Coverage::ReadFrom(50));
}
