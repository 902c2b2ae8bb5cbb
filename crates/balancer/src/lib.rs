//! Decisions of a sidecar load balancer: which server a request goes to, whether it is retried,
//! what is rejected, and which servers are checked, suspected and used.
//!
//! The library does no I/O and reads no clock. The host passes each [`Event`] with the current time
//! to [`Balancer::handle`] and carries out the [`Action`]s that it pushes. Times are whole
//! microseconds on one clock that only rises; ids are numbers of the host without a meaning, apart
//! from [`Endpoint::stable_hash`], which all balancers compute alike.
//!
//! # Layout
//! - `settings`, `request_class`, `endpoint`, `event`, `action`, `state_change`: the interface.
//! - `balancer`: [`Balancer`], the table of events; it alone carries out what is decided.
//! - `policy`: every decision, one type each.
//! - `fleet`: what decisions read.
//! - `estimators`: what responses and load reports tell of the fleet and of each server.
//! - `state`: servers, requests and messages, each owned by one type.
//!
//! # Example
//! ```
//! use arrowstand_balancer::{
//!     Action, AttemptEnd, Balancer, ClassId, Endpoint, Event, Idempotency, IncomingRequest, Outcome,
//!     RequestClass, RequestId, ServerId, Settings, UpdateKind,
//! };
//!
//! let mut settings = Settings::default();
//! settings.classes.push(RequestClass::new(Idempotency::Idempotent, 250_000, 600_000));
//! let mut balancer = Balancer::new(settings, 7).expect("valid settings");
//! let mut actions = Vec::new();
//!
//! // The endpoint list names one server.
//! let endpoint = Endpoint::ready(ServerId(0), 0x5eed);
//! let list = Event::EndpointsUpdated { kind: UpdateKind::Full, version: 1, endpoints: vec![endpoint] };
//! balancer.handle(0, list, &mut actions);
//!
//! // A request arrives and is sent to it.
//! actions.clear();
//! let request = IncomingRequest { id: RequestId(1), class: ClassId(0), time_left: 600_000, work_hint: None };
//! balancer.handle(1_000, Event::RequestArrived(request), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { server: ServerId(0), .. })));
//!
//! // The attempt is served: the host passes the response on, and the request is finished.
//! actions.clear();
//! let served = AttemptEnd {
//!     request: RequestId(1), attempt: 0, server: ServerId(0), outcome: Outcome::Served,
//!     finished: true, elapsed: 20_000, load_report: None,
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
