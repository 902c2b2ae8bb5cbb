//! Decision logic of a sidecar load balancer: server selection, retries, load shedding, health
//! checks, failure detection and subsetting.
//!
//! The library performs no I/O and does not read the clock. The host passes each [`Event`] with the
//! current time to [`Balancer::handle`] and carries out the [`Action`]s that it returns. Times are
//! whole microseconds on a monotonic clock. Identifiers are assigned by the host and carry no
//! meaning, except for [`Endpoint::stable_hash`], for which all balancers compute the same value.
//!
//! # Layout
//! - `settings`, `request_class`, `endpoint`, `event`, `action`, `state_change`: public interface.
//! - `balancer`: [`Balancer`], which dispatches events to handlers and alone applies decisions.
//! - `policy`: decision logic, one type per decision.
//! - `fleet`: state that the policies read.
//! - `estimators`: estimates for the fleet and for each server, from responses and load reports.
//! - `state`: servers, requests and gossip messages, each kind owned by one type.
//!
//! # Example
//! ```
//! use arrowstand_balancer::{
//!     Action, AttemptEnd, Balancer, ClassId, Endpoint, Event, Idempotency, IncomingRequest,
//!     Outcome, RequestClass, RequestId, ServerId, Settings, UpdateKind,
//! };
//!
//! let mut settings = Settings::default();
//! settings.classes.push(RequestClass::new(Idempotency::Idempotent, 250_000, 600_000));
//! let mut balancer = Balancer::new(settings, 7).expect("valid settings");
//! let mut actions = Vec::new();
//!
//! // The endpoint list contains one server.
//! let endpoint = Endpoint::ready(ServerId(0), 0x5eed);
//! let list = Event::EndpointsUpdated {
//!     kind: UpdateKind::Full,
//!     version: 1,
//!     endpoints: vec![endpoint],
//! };
//! balancer.handle(0, list, &mut actions);
//!
//! // A request arrives and is sent to that server.
//! actions.clear();
//! let request = IncomingRequest {
//!     id: RequestId(1),
//!     class: ClassId(0),
//!     time_left: 600_000,
//!     work_hint: None,
//! };
//! balancer.handle(1_000, Event::RequestArrived(request), &mut actions);
//! let is_send = |action: &Action| matches!(action, Action::Send { server: ServerId(0), .. });
//! assert!(actions.iter().any(is_send));
//!
//! // The attempt succeeds: the host forwards the response and the request is finished.
//! actions.clear();
//! let served = AttemptEnd {
//!     request: RequestId(1),
//!     attempt: 0,
//!     server: ServerId(0),
//!     outcome: Outcome::Served,
//!     request_finished: true,
//!     elapsed: 20_000,
//!     load_report: None,
//! };
//! balancer.handle(21_000, Event::AttemptEnded(served), &mut actions);
//! let is_final = |action: &Action| matches!(action, Action::Reject { .. } | Action::Fail { .. });
//! assert!(!actions.iter().any(is_final));
//! ```

mod action;
mod balancer;
mod endpoint;
mod estimators;
mod event;
mod fleet;
mod policy;
mod request_class;
mod settings;
mod state;
mod state_change;
mod time;
mod weighted_choice;

pub use action::Action;
pub(crate) use action::Actions;
pub use balancer::Balancer;
pub use endpoint::{Endpoint, EndpointStatus, MachineType, ServerId, UpdateKind};
pub use event::{AttemptEnd, Event, IncomingRequest, LoadReport, Outcome, RequestId};
pub use request_class::{ClassId, DeduplicationScope, Idempotency, RequestClass};
pub use settings::{
    BalancerIdentity, Fees, HostCapabilities, PollingSettings, RequestClassError, RetrySettings,
    Settings, SettingsError, SlowStartSettings,
};

pub use state_change::{EjectionCause, ServerEvent, StateChange};
pub use time::Micros;
