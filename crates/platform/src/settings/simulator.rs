//! The settings that only the simulator can honour: channels that sockets do not have.
//!
//! Owns these keys; the balancer's settings hold none of them until they are applied.

use arrowstand_balancer::Settings;

use super::transport::MembershipMode;
use super::values::flag;
use crate::error::KeyError;
use crate::json::Node;
use crate::keys;

/// What the simulator's channels offer to a balancer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SimulatorFeatures {
    /// Balancers can message each other.
    pub gossip: bool,
    /// Clients receive the Retry-After of a rejection.
    pub retry_after: bool,
    /// The endpoint list must be polled.
    pub poll_endpoints: bool,
    /// For each request class: a response may start before it ends.
    pub streamed: Vec<bool>,
}

impl SimulatorFeatures {
    /// Reads the features from the settings object.
    ///
    /// # Errors
    /// Names the first key whose value has the wrong type.
    pub fn read(conf: &Node) -> Result<Self, KeyError> {
        let permissions = conf.at(keys::settings::PERMISSIONS);
        let classes = conf.at(keys::settings::REQUEST_CLASSES).items()?;
        let streamed: Result<Vec<bool>, KeyError> = classes
            .iter()
            .map(|class| flag(&class.at(keys::request_class::STREAMED)))
            .collect();
        Ok(Self {
            gossip: flag(&permissions.at(keys::permissions::GOSSIP))?,
            retry_after: flag(&permissions.at(keys::permissions::RETRY_AFTER))?,
            poll_endpoints: MembershipMode::read(conf)? == MembershipMode::OnRequest,
            streamed: streamed?,
        })
    }

    /// Applies the features to the settings that were read from the same object.
    pub fn apply(&self, settings: &mut Settings) {
        settings.host.gossip = self.gossip;
        settings.host.retry_after = self.retry_after;
        settings.polling.required = self.poll_endpoints;
        for (class, &streamed) in settings.classes.iter_mut().zip(&self.streamed) {
            class.streamed = streamed;
        }
    }
}

#[cfg(test)]
mod tests;
