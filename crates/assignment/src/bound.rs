//! Lower bound of the capacity that a pool requires.

/// The least capacity, in slots, that still fits `demand` after the loss of any one rack, with
/// machines of `slots` slots each spread over up to `racks` racks.
///
/// With more racks, the largest rack holds fewer machines, down to a single one. Returns `None`
/// if no capacity fits a positive demand: with fewer than two racks or machines without slots.
pub fn least_capacity(demand: u64, slots: u64, racks: u64) -> Option<u64> {
    if demand == 0 {
        return Some(0);
    }
    if racks < 2 || slots == 0 {
        return None;
    }
    let fits = |n: u64| (n - n.div_ceil(racks)) * slots >= demand;
    let mut count = demand.div_ceil(slots) + 1;
    while !fits(count) {
        count += 1;
    }
    Some(count * slots)
}
