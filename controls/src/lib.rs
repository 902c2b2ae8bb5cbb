//! What the decision module is shown, and how much may be open. No I/O and no clock: events and times are
//! handed in, and verdicts come out. Nothing here knows a protocol.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod informed;
pub mod work;

pub use informed::Informed;
