//! Newtypes for the indexes and numbers that identify servers, sidecars, classes, tenants, arrivals
//! and requests, so that the compiler rejects a mix-up.
//!
//! All are serialized as plain integers.

#[cfg(test)]
mod tests;

use std::fmt;

use serde::{Deserialize, Serialize};

/// Declares a number that identifies one item of its kind within a run.
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Creates the number from an integer.
            pub const fn new(value: u64) -> Self {
                Self(value)
            }

            /// The plain integer, for code outside the testbed.
            pub const fn value(self) -> u64 {
                self.0
            }
        }
    };
}

/// Declares an index into the list of all items of a kind, stored as an integer of the given width.
macro_rules! index_type {
    ($(#[$doc:meta])* $name:ident($integer:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name($integer);

        impl $name {
            /// Creates the index from an integer.
            pub const fn new(value: $integer) -> Self {
                Self(value)
            }

            /// The index of a position in the list. Positions beyond the integer's range, which no
            /// list reaches, give the largest index.
            pub fn from_position(position: usize) -> Self {
                Self(<$integer>::try_from(position).unwrap_or(<$integer>::MAX))
            }

            /// All indexes of a list of this length, in order.
            pub fn all(length: usize) -> impl Iterator<Item = Self> {
                (0..length).map(Self::from_position)
            }

            /// The position in the list.
            pub const fn index(self) -> usize {
                self.0 as usize
            }

            /// The plain integer, for code outside the testbed.
            pub const fn value(self) -> $integer {
                self.0
            }
        }
    };
}

index_type! {
    /// A server. Servers that replace others during a run are numbered after the servers of the
    /// scenario.
    ServerIndex(u32)
}

index_type! {
    /// A sidecar.
    SidecarIndex(u32)
}

index_type! {
    /// A class of requests, in the order of the scenario.
    ClassIndex(u16)
}

index_type! {
    /// A tenant, in the order of the scenario.
    TenantIndex(u16)
}

number_type! {
    /// An arrival: the first request of a client with all its retries.
    ArrivalNumber
}

number_type! {
    /// One request of a client: the first of an arrival, or a retry.
    RequestNumber
}

impl RequestNumber {
    /// Parses the value of an `X-Request-ID` header; `None` if it is not a hexadecimal number.
    pub fn from_request_id(id: &str) -> Option<Self> {
        u64::from_str_radix(id, 16).ok().map(Self)
    }
}

/// Formats the number as in `X-Request-ID` and in messages: 16 hexadecimal digits.
impl fmt::Display for RequestNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl ServerIndex {
    /// Parses a server name such as `s3`; `None` if it is not a server name.
    pub fn from_name(name: &str) -> Option<Self> {
        name.strip_prefix('s')?.parse().ok().map(Self)
    }
}

/// Formats the name used in scenarios and messages, such as `s3`.
impl fmt::Display for ServerIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "s{}", self.0)
    }
}

/// Formats the name used in messages, such as `n3`.
impl fmt::Display for SidecarIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "n{}", self.0)
    }
}
