//! Identifiers: short strings that share one syntax.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Maximum length of a name, in bytes.
const MAX_LEN: usize = 64;

/// Error for a string that does not follow the syntax of identifiers.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a name: 1 to {MAX_LEN} of a-z, 0-9, '-', '_', '.'")]
pub struct ParseIdError(String);

fn validate(s: &str) -> Result<(), ParseIdError> {
    let len_ok = !s.is_empty() && s.len() <= MAX_LEN;
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    if len_ok && s.bytes().all(allowed) {
        return Ok(());
    }
    let excerpt = s.chars().take(MAX_LEN).collect();
    Err(ParseIdError(excerpt))
}

/// Declares an identifier type: a validated string that is cheap to clone.
macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(
            /// Invariant: 1 to 64 bytes of `a-z`, `0-9`, `-`, `_`, `.`.
            Arc<str>,
        );

        impl $name {
            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(s: &str) -> Result<Self, ParseIdError> {
                validate(s)?;
                Ok(Self(Arc::from(s)))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
                out.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
                struct NameVisitor;

                impl Visitor<'_> for NameVisitor {
                    type Value = $name;

                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str("a name of a-z, 0-9, '-', '_', '.'")
                    }

                    fn visit_str<E: de::Error>(self, s: &str) -> Result<$name, E> {
                        s.parse().map_err(E::custom)
                    }
                }

                input.deserialize_str(NameVisitor)
            }
        }
    };
}

name_id! {
    /// Name of an instance, which is also the worker or upstream that runs on it.
    InstanceId
}
name_id! {
    /// Name of a pool of instances.
    PoolId
}
name_id! {
    /// Name of a team.
    TeamId
}
name_id! {
    /// Name of a service, as used in the path of a caller's request.
    ServiceId
}
name_id! {
    /// Name of a data centre.
    DcId
}
name_id! {
    /// Name of a region, a group of data centres that share long-distance links.
    RegionId
}
name_id! {
    /// Name of a rack, unique within its data centre.
    RackId
}
name_id! {
    /// Name of an entry, an instance that accepts requests of callers.
    EntryId
}
name_id! {
    /// Name of an operator, as recorded in the audit trail.
    OperatorId
}
name_id! {
    /// Idempotency key of a job within its team.
    JobName
}
