//! Helpers shared by the integration tests.

mod actions;
mod driver;
mod fixtures;

pub(crate) use actions::{
    checked_servers, gossip_messages, has_ejection, has_ejection_for_attempts, has_failure,
    has_readmission, has_rejection, sent_to, server_events,
};
pub(crate) use driver::Driver;
pub(crate) use fixtures::{
    MS, REQUEST_TIMER_TOKEN, TICK_TIMER_TOKEN, class, endpoint, endpoint_changed, settings,
    settings_with_health_check_fee, settings_with_load_checks, settings_with_peers,
    settings_with_polling,
};
