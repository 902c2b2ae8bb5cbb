//! Integration tests of the balancer: events are passed in and the returned actions are checked.

mod common;
mod dispatch;
mod endpoint_list;
mod failure_detector;
mod gossip;
mod health_check;
mod load_check;
mod load_reports_in_responses;
mod load_shedding;
mod random_events;
mod retry;
mod server_selection;
mod subset;
