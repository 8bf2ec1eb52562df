//! Names that the platform's operator or its workers choose.

/// Declares one kind of name: a cheaply cloned string with no syntax of its own.
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

        // Most names that are compared are copies of one.
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
            /// The name as text.
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
    /// Name of a service: a pool of instances and the queues that run there.
    ServiceName
}
name! {
    /// Name of a team (a customer's workspace).
    TeamName
}
name! {
    /// Identifier of a worker: one life, or several under one name, of an instance.
    WorkerId
}
name! {
    /// Name of an instance; it outlives the workers that run on it.
    InstanceName
}
name! {
    /// Name of a data centre.
    ZoneName
}
name! {
    /// Name of a process of this system.
    NodeName
}
