//! arrowstand_balancer makes the decisions of a sidecar balancer for service-to-service calls.
//!
//! The library does no I/O and reads no clock. The host passes each [`Event`] with the current
//! time to [`Balancer::handle`] and carries out the [`Action`]s that it pushes.
//!
//! ```
//! use arrowstand_balancer::*;
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
//! // A request comes in and is sent to it.
//! actions.clear();
//! let call = IncomingRequest { id: RequestId(1), class: ClassId(0), time_left: 600_000, work_hint: None };
//! balancer.handle(1_000, Event::RequestArrived(call), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { server: ServerId(0), .. })));
//!
//! // The attempt is served: the host passes the answer on, and nothing more is owed.
//! actions.clear();
//! let served = AttemptEnd {
//!     request: RequestId(1), attempt: 0, server: ServerId(0), outcome: Outcome::Served,
//!     finished: true, elapsed: 20_000, load_report: None,
//! };
//! balancer.handle(21_000, Event::AttemptEnded(served), &mut actions);
//! assert!(!actions.iter().any(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. })));
//! ```

mod action;
mod endpoint;
mod estimators;
mod event;
mod policy;
mod request_class;
mod settings;
mod state;
mod time;
mod weighted_choice;

pub use action::Action;
pub(crate) use action::Actions;
pub use endpoint::{Endpoint, EndpointStatus, MachineType, ServerId, UpdateKind};
pub use event::{AttemptEnd, Event, IncomingRequest, LoadReport, Outcome, RequestId};
pub use policy::Balancer;
pub use request_class::{ClassId, DeduplicationScope, Idempotency, RequestClass};
pub use settings::{Settings, SettingsError};

pub use time::Micros;
