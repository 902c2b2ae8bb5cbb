//! Hosts the balancer: provides its clock, timers and server ids, passes events to it and has its
//! actions executed. Independent of HTTP.

mod action_dispatch;
mod balancer_host;
mod class_table;
mod clock;
mod endpoint_list_freshness;
mod in_flight_request;
mod request_action;
mod server;
mod server_registry;
mod timers;

pub(crate) use balancer_host::BalancerHost;
pub(crate) use class_table::ClassTable;
pub(crate) use clock::BalancerClock;
pub(crate) use endpoint_list_freshness::EndpointListFreshness;
pub(crate) use in_flight_request::InFlightRequest;
pub(crate) use request_action::RequestAction;
pub(crate) use server::Server;
pub(crate) use server_registry::ServerRegistry;
