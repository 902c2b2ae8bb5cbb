//! The settings that only the simulator supports. They describe ways of communication that hosts
//! with network connections do not have.
//!
//! They are off in the balancer's settings until [`SimulatorFeatures::apply`] copies them there.

use arrowstand_balancer::Settings;

use super::transport::MembershipMode;
use super::values::boolean_or_false;
use crate::error::KeyError;
use crate::json::Node;
use crate::keys;

/// What the simulator offers to a balancer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SimulatorFeatures {
    /// Balancers can send each other messages.
    pub gossip: bool,
    /// Clients receive the Retry-After of a rejection.
    pub retry_after: bool,
    /// The endpoint list must be polled.
    pub poll_endpoints: bool,
    /// For each request class, whether its responses are streamed: they may start before they end.
    pub streamed: Vec<bool>,
}

impl SimulatorFeatures {
    /// Reads the features from the settings object.
    ///
    /// # Errors
    /// Names the first key whose value has the wrong type.
    pub fn read(settings_node: &Node) -> Result<Self, KeyError> {
        let permissions = settings_node.at(keys::settings::PERMISSIONS);
        let classes = settings_node.at(keys::settings::REQUEST_CLASSES).items()?;
        let streamed: Result<Vec<bool>, KeyError> = classes
            .iter()
            .map(|class| boolean_or_false(&class.at(keys::request_class::STREAMED)))
            .collect();
        Ok(Self {
            gossip: boolean_or_false(&permissions.at(keys::permissions::GOSSIP))?,
            retry_after: boolean_or_false(&permissions.at(keys::permissions::RETRY_AFTER))?,
            poll_endpoints: MembershipMode::read(settings_node)? == MembershipMode::OnRequest,
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
