//! Helpers of all tests.

mod actions;
mod driver;
mod fixtures;

pub(crate) use actions::{
    gossip_messages, has_ejection, has_ejection_by_attempts, has_readmission, health_checks,
    is_failed, is_rejected, sent_to, server_events,
};
pub(crate) use driver::Driver;
pub(crate) use fixtures::{
    MS, class, endpoint, endpoint_changed, settings, settings_with_health_check_fee,
    settings_with_load_checks, settings_with_peers, settings_with_polling,
};
