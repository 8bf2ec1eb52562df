//! How little capacity can do.

/// Least capacity that holds `demand` after the loss of a rack, in slots, of machines with
/// `slots` each, in `racks` racks that could be used.
///
/// The more racks, the smaller the largest: at best one machine.
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
