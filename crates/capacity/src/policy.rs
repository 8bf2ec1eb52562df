//! Figures of how pools grow and shrink.

use std::time::Duration;

/// Figures of how pools grow and shrink. Each can be set, so that what it is worth can be
/// measured without another build.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolPolicy {
    /// Time from an order to a worker that takes work: a pool grows for what is asked then.
    pub arrival: Duration,
    /// Time ahead for which a pool keeps what it will need. An instance costs as much in two and
    /// a half seconds as the two moves there and back.
    pub keep: Duration,
    /// Time for which the highest need counts before a pool shrinks.
    pub hold: Duration,
    /// Instances for each that the work fills: tasks of up to a third of one leave gaps.
    pub gaps: f64,
    /// Instances beyond that while short work comes in.
    pub reserve: f64,
    /// Standard deviations by which arrivals of late have to differ from the mean before they
    /// are taken for a change.
    pub doubt: f64,
    /// Whether pools that lack instances are lent those that others are about to be rid of.
    pub lend: bool,
    /// Part of what no pool uses that may be on its way to being off at a time.
    pub leaving: f64,
    /// Part of the fleet that a pool gets for work of no use any more.
    pub overdue: f64,
}

impl Default for PoolPolicy {
    fn default() -> Self {
        Self {
            arrival: Duration::from_millis(1_750),
            keep: Duration::from_millis(1_500),
            hold: Duration::from_millis(1_000),
            gaps: 1.1,
            reserve: 0.0,
            doubt: 3.0,
            lend: true,
            leaving: 0.5,
            overdue: 1.0 / 32.0,
        }
    }
}
