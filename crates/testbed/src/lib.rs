//! The testbed: plays a scenario in a simulator or on loopback sockets, writes one event log,
//! audits it and sums it up in a report.
//!
//! Nothing of the product is decided here. `docs/testbed.md` describes how the parts fit,
//! `docs/scenario.md` what a scenario may say.
#![forbid(unsafe_code)]

pub mod audit;
pub mod cli;
mod conversion;
pub mod emulator;
pub mod event_log;
pub mod experiment;
pub mod index;
pub mod plot;
pub mod random;
pub mod report;
pub mod scenario;
pub mod server_model;
pub mod simulator;
pub mod statistics;
pub mod workload;
