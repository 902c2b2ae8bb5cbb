//! What the decision module is shown, and how much may be open. No I/O and no clock: events and times are
//! handed in, and verdicts come out. Nothing here knows a protocol.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod list_freshness;
mod machine_catalogue;
mod work_aware_balancer;
pub mod work_estimator;

pub use machine_catalogue::MachineCatalogue;
pub use work_aware_balancer::WorkAwareBalancer;

/// A job server's name as a number that every instance computes alike: FNV-1a of its text.
pub fn stable_hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
