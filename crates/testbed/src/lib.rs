//! The lab: plays a scenario in a model or on loopback sockets, keeps one record, audits it and sums it up.
//!
//! Nothing of the product is decided here. `docs/lab.md` tells how the parts fit, `docs/scenario.md` what a
//! scenario may say.
#![forbid(unsafe_code)]

pub mod audit;
pub mod chance;
pub mod cli;
pub mod experiment;
pub mod ledger;
pub mod machine;
pub mod model;
pub mod picture;
pub mod report;
pub mod scenario;
pub mod stage;
pub mod tally;
pub mod wishes;
