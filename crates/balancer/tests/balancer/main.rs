//! Tests of the balancer by its events and actions.

mod common;
mod dispatch;
mod endpoint_list;
mod failure_detector;
mod gossip;
mod health_check;
mod load_check;
mod load_from_responses;
mod load_shedding;
mod pick;
mod random_events;
mod retry;
mod subset;
