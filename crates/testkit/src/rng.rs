//! A deterministic random number generator.

/// Generates random numbers from a seed (splitmix64); they are the same on every machine.
#[derive(Debug, Clone)]
pub struct Rng(u64);

impl Rng {
    /// Creates a generator with the given seed.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// A uniformly distributed 64-bit number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    /// A random number below `end`; 0 if `end` is 0.
    pub fn below(&mut self, end: u64) -> u64 {
        self.next_u64().checked_rem(end).unwrap_or(0)
    }

    /// True with a probability of `percent` in 100.
    pub fn chance(&mut self, percent: u32) -> bool {
        self.below(100) < u64::from(percent)
    }

    /// A random element of `items`.
    ///
    /// # Panics
    ///
    /// If `items` is empty.
    pub fn pick<'a, T>(&mut self, items: &'a [T]) -> &'a T {
        &items[self.below(items.len() as u64) as usize]
    }
}
