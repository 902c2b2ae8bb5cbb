//! Policies: the decision logic of the balancer, one type per decision.
//!
//! A policy owns its constants and its private state. It reads the [`Fleet`](crate::fleet::Fleet),
//! draws from the random number generator passed to it and returns a decision with its reason; it
//! has no other side effects. Policies do not call each other through
//! [`Balancer`](crate::Balancer): what one needs from another is imported or passed as an argument.
//! Each file starts with the rule that it implements; `docs/balancer.md` describes all of them.

mod ejection;
mod endpoint_poller;
mod failure_detector;
mod final_response;
mod gossip_protocol;
pub(crate) mod health_check_trust;
mod health_checker;
mod health_signal;
mod load_checker;
mod load_shedder;
pub(crate) mod load_source;
mod response_forecast;
mod retry_budget;
mod retry_policy;
mod server_selector;
mod slow_start_admission;
pub(crate) mod subset_size;
mod subsetter;
#[cfg(test)]
mod test_support;

pub(crate) use ejection::{EjectionDecision, Readmission};
pub(crate) use endpoint_poller::{EndpointPoller, UpdateFailure};
pub(crate) use failure_detector::{FailureDetector, HealthAction, SuspicionScope};
pub(crate) use final_response::FinalResponse;
pub(crate) use gossip_protocol::{GossipProtocol, PeerRecord};
pub(crate) use health_checker::{CheckTarget, HealthChecker};
pub(crate) use health_signal::HealthSignal;
pub(crate) use load_checker::{LoadCheckResult, LoadChecker, ReportValidity};
pub(crate) use load_shedder::{LoadShedder, ShedDecision};
pub(crate) use load_source::LoadSource;
pub(crate) use retry_policy::{RetryDecision, RetryPolicy, RetryTarget};
pub(crate) use server_selector::{Candidates, LoadStatus, Selection, ServerSelector, ServerWait};
pub(crate) use slow_start_admission::{Admission, SlowStartAdmission};
pub(crate) use subsetter::{CandidateFilter, Subsetter};
