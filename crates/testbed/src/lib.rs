//! The testbed: runs a scenario in a simulator or in an emulator on loopback sockets, writes an
//! event log, audits it and summarizes it in a report.
//!
//! It contains no logic of the load balancer itself. `docs/testbed.md` describes its architecture,
//! `docs/scenario.md` the scenario format.
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
pub mod soak;
pub mod statistics;
pub mod workload;
