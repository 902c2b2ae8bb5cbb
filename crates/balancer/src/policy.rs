//! The decisions of the balancer, one type each.
//!
//! A decision owns its constants and what it alone remembers. It reads the fleet, draws from the
//! generator that it is handed, and returns what is to be done and why; it changes nothing else.
//! None reaches another one through [`Balancer`](crate::Balancer): what it needs of another is
//! imported or handed in. The law of each stands at the top of its file; `docs/balancer.md` has
//! them all.

mod attempt_evidence;
mod ejection;
mod endpoint_poller;
mod failure_detector;
mod final_response;
mod gossip_protocol;
pub(crate) mod health_check_trust;
mod health_checker;
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

pub(crate) use attempt_evidence::AttemptEvidence;
pub(crate) use ejection::{Ejection, Readmission};
pub(crate) use endpoint_poller::{EndpointPoller, ListLoss};
pub(crate) use failure_detector::{Audience, FailureDetector, Verdict};
pub(crate) use final_response::FinalResponse;
pub(crate) use gossip_protocol::{GossipProtocol, PeerMessage};
pub(crate) use health_checker::{CheckTarget, HealthChecker};
pub(crate) use load_checker::{LoadCheckResult, LoadChecker, ReportValidity};
pub(crate) use load_shedder::{LoadShedder, ShedDecision};
pub(crate) use load_source::LoadSource;
pub(crate) use retry_policy::{RetryDecision, RetryPolicy, RetryTarget};
pub(crate) use server_selector::{Candidates, LoadStatus, Selection, ServerSelector, ServerWait};
pub(crate) use slow_start_admission::{Admission, SlowStartAdmission};
pub(crate) use subsetter::{CandidateFilter, Subsetter};
