//! Silence in the arrivals that earlier owners recorded.

use std::time::Duration;

use cactuswheel_model::Time;

/// Shortest time without arrivals that counts as an outage. A change of owners takes longer.
const MIN_SILENCE: Duration = Duration::from_millis(300);

/// Begin of the longest time without arrivals until `now`; `None` if there were no arrivals, or no
/// such time is long enough to be an outage.
///
/// The newest arrival is no indication: front ends store jobs as soon as the store is back, before
/// an owner runs the cell again.
pub fn longest_silence(arrivals: impl Iterator<Item = Time>, now: Time) -> Option<Time> {
    let mut times: Vec<Time> = arrivals.filter(|t| *t < now).collect();
    times.sort_unstable();
    let ends = times.iter().skip(1).chain([&now]);
    let silences = times
        .iter()
        .zip(ends)
        .map(|(begin, end)| (end.since(*begin), *begin));
    let (length, begin) = silences.max()?;
    (length >= MIN_SILENCE).then_some(begin)
}
