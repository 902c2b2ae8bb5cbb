//! Control logic outside the balancer: work estimates, machine types, the freshness of the endpoint
//! list, and memory by purpose.
//!
//! The crate performs no I/O and reads no clock: callers pass events and times in and get results
//! back. Nothing in it depends on a protocol.

mod convert;
pub mod list_freshness;
mod machine_catalogue;
pub mod memory_budget;
mod work_aware_balancer;
pub mod work_estimator;

use std::hash::Hasher as _;

use fnv::FnvHasher;

pub use machine_catalogue::MachineCatalogue;
pub use work_aware_balancer::WorkAwareBalancer;

/// Hash of a server's name that is the same in every instance and version: 64-bit FNV-1a of the
/// UTF-8 bytes. It identifies servers in gossip, so it must never change.
pub fn stable_hash(text: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}

#[cfg(test)]
mod tests;
