//! Index and number types: each says what it counts, so that the compiler tells them apart.
//!
//! All are stored as bare integers.

#[cfg(test)]
mod tests;

use std::fmt;

use serde::{Deserialize, Serialize};

/// Declares a number that the run gives to one thing of a kind, and to no other.
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// The number of this value.
            pub const fn new(value: u64) -> Self {
                Self(value)
            }

            /// The value as an integer, for those who have no such type.
            pub const fn value(self) -> u64 {
                self.0
            }
        }
    };
}

/// Declares the index of a thing in the list of all such things, kept as a small integer.
macro_rules! index_type {
    ($(#[$doc:meta])* $name:ident($integer:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name($integer);

        impl $name {
            /// The index of this value.
            pub const fn new(value: $integer) -> Self {
                Self(value)
            }

            /// The index of a place in the list; the greatest one for a place beyond the integer's
            /// range, which no list reaches.
            pub fn from_position(position: usize) -> Self {
                Self(<$integer>::try_from(position).unwrap_or(<$integer>::MAX))
            }

            /// All indexes of a list of this length, in order.
            pub fn all(length: usize) -> impl Iterator<Item = Self> {
                (0..length).map(Self::from_position)
            }

            /// The place in the list.
            pub const fn index(self) -> usize {
                self.0 as usize
            }

            /// The value as an integer, for those who have no such type.
            pub const fn value(self) -> $integer {
                self.0
            }
        }
    };
}

index_type! {
    /// A server; those that replace others in the course of a run follow the scenario's.
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
    /// What a client wants, with all its requests.
    ArrivalNumber
}

number_type! {
    /// One request of a client: the first of an arrival, or a retry.
    RequestNumber
}

impl RequestNumber {
    /// The number in a request's `X-Request-ID`; nothing where that is no such number.
    pub fn from_request_id(id: &str) -> Option<Self> {
        u64::from_str_radix(id, 16).ok().map(Self)
    }
}

/// Its form in `X-Request-ID` and in messages: 16 hexadecimal digits.
impl fmt::Display for RequestNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl ServerIndex {
    /// The server of a name such as `s3`; nothing where it is no server's name.
    pub fn from_name(name: &str) -> Option<Self> {
        name.strip_prefix('s')?.parse().ok().map(Self)
    }
}

/// Its name in scenarios and messages, such as `s3`.
impl fmt::Display for ServerIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "s{}", self.0)
    }
}

/// Its name in messages, such as `n3`.
impl fmt::Display for SidecarIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "n{}", self.0)
    }
}
