//! Names chosen by the platform's operators or its workers.

/// Defines a type of names: a string that is cheap to clone and may have any syntax.
macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug,
            Clone,
            Eq,
            PartialOrd,
            Ord,
            serde::Serialize,
            serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(std::sync::Arc<str>);

        // Most names that are compared are clones of the same name, so comparing the pointers is
        // usually enough.
        impl PartialEq for $name {
            fn eq(&self, other: &Self) -> bool {
                std::sync::Arc::ptr_eq(&self.0, &other.0) || self.0 == other.0
            }
        }

        impl std::hash::Hash for $name {
            fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
                self.0.hash(state);
            }
        }

        impl $name {
            /// The name as a string.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.pad(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::convert::Infallible;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                Ok(Self(s.into()))
            }
        }

        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                Self(s.into())
            }
        }

        impl From<String> for $name {
            fn from(s: String) -> Self {
                Self(s.into())
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name! {
    /// Name of a queue that callers submit jobs to.
    QueueName
}
name! {
    /// Name of a service: a pool of instances and the queues whose tasks run there.
    ServiceName
}
name! {
    /// Name of a team (a customer's workspace).
    TeamName
}
name! {
    /// Identifier of a worker on an instance; successive incarnations may use the same one.
    WorkerId
}
name! {
    /// Name of an instance; stays the same while workers on the instance come and go.
    InstanceName
}
name! {
    /// Name of a data centre.
    ZoneName
}
name! {
    /// Name of a node, a process of this system.
    NodeName
}
