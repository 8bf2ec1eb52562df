//! Macro that declares newtypes over unsigned integers.

/// Declares an integer newtype with `new`, `get`, `Display` and `FromStr`.
macro_rules! number {
    ($(#[$doc:meta])* $name:ident($int:ty)) => {
        $(#[$doc])*
        #[derive(
            Debug,
            Clone,
            Copy,
            Default,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            serde::Serialize,
            serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($int);

        impl $name {
            /// Wraps an integer.
            pub const fn new(n: $int) -> Self {
                Self(n)
            }

            /// The wrapped integer.
            pub const fn get(self) -> $int {
                self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                s.parse().map(Self)
            }
        }
    };
}

pub(crate) use number;
