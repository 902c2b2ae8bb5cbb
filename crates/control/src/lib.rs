//! What the decision module is shown, and how much may be open. No I/O and no clock: events and times are
//! handed in, and verdicts come out. Nothing here knows a protocol.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod freshness;
mod informed;
mod machines;
pub mod work;

pub use informed::Informed;
pub use machines::Machines;

/// A job server's name as a number that every instance computes alike: FNV-1a of its text.
pub fn fingerprint(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
