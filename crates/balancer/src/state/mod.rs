//! State of servers and requests, and messages between balancers.
//!
//! Each file owns one piece of state and everything that changes it. Decisions are in `policy/`,
//! estimates in `estimators/`.

mod endpoint_table;
mod gossip_queue;
mod gossip_record;
pub(crate) mod health_check_record;
mod health_check_schedule;
mod request_state;
mod request_table;
mod server_index;
mod server_state;
mod subset_order;
mod suspicion;

pub(crate) use endpoint_table::EndpointTable;
pub(crate) use gossip_queue::GossipQueue;
pub(crate) use gossip_record::{GossipKind, GossipRecord};
pub(crate) use health_check_record::HealthCheckKind;
pub(crate) use health_check_schedule::{CheckSource, HealthCheckSchedule};
pub(crate) use request_state::{Attempt, RequestState, RetryScope};
pub(crate) use request_table::RequestTable;
pub(crate) use server_index::ServerIndex;
pub(crate) use server_state::{InFlightAttempt, ServerState};
pub(crate) use subset_order::SubsetOrder;
pub(crate) use suspicion::Suspicion;
