//! The settings of hosts that open connections: timeouts, the drain grace period and how the
//! endpoint list is received.

use std::time::Duration;

use super::values::duration_or;
use crate::error::{KeyError, KeyProblem};
use crate::json::Node;
use crate::keys;

/// Time for establishing a connection if the settings have none, in milliseconds; an attempt that
/// takes longer has failed to connect. The value in the example of the wire format's documentation.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 200.0;
/// Time after which servers close an idle connection if the settings have none, in milliseconds;
/// a request that is written to it later fails with a reset. The value in the example of the wire
/// format's documentation.
const DEFAULT_IDLE_TIMEOUT_MS: f64 = 5_000.0;
/// How long a draining server still accepts requests if the settings have none, in milliseconds; a
/// request sent later breaks the rule on draining. The value in the example of the wire format's
/// documentation.
const DEFAULT_DRAIN_GRACE_MS: f64 = 2_000.0;

/// The settings value for [`MembershipMode::OnRequest`].
const ON_REQUEST: &str = "on_request";
/// The settings value for [`MembershipMode::Pushed`].
const PUSHED: &str = "pushed";

/// How changes of the endpoint list reach a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipMode {
    /// Discovery sends the list only in response to a poll.
    OnRequest,
    /// Discovery pushes changes: a change counts as notified even if no watch is open.
    Pushed,
    /// The settings have no mode, or an unknown one.
    Unspecified,
}

impl MembershipMode {
    /// Reads the mode from the settings object.
    ///
    /// # Errors
    /// The value is not a string.
    pub fn read(settings_node: &Node) -> Result<Self, KeyError> {
        Ok(
            match settings_node
                .at(keys::settings::MEMBERSHIP_MODE)
                .optional_string()?
                .as_deref()
            {
                Some(ON_REQUEST) => Self::OnRequest,
                Some(PUSHED) => Self::Pushed,
                _ => Self::Unspecified,
            },
        )
    }

    /// The settings value for the mode; `None` if no mode is specified.
    pub(super) fn name(self) -> Option<&'static str> {
        match self {
            Self::OnRequest => Some(ON_REQUEST),
            Self::Pushed => Some(PUSHED),
            Self::Unspecified => None,
        }
    }
}

/// Settings of the connections to servers and to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransportSettings {
    /// Time allowed for establishing a connection.
    pub connect_timeout: Duration,
    /// Time after which servers close an idle connection.
    pub idle_timeout: Duration,
    /// How long a draining server still accepts requests.
    pub drain_grace: Duration,
    /// How the balancer learns of changes to the endpoint list.
    pub membership: MembershipMode,
}

impl TransportSettings {
    /// Reads the settings object.
    ///
    /// # Errors
    /// Names the first key whose value is invalid.
    pub fn read(settings_node: &Node) -> Result<Self, KeyError> {
        let drain_grace = settings_node
            .at(keys::settings::SAFETY)
            .at(keys::safety::DRAIN_GRACE_MS);
        Ok(Self {
            connect_timeout: duration_or(
                &connect_timeout_node(settings_node),
                DEFAULT_CONNECT_TIMEOUT_MS,
            )?,
            idle_timeout: duration_or(&idle_timeout_node(settings_node), DEFAULT_IDLE_TIMEOUT_MS)?,
            drain_grace: duration_or(&drain_grace, DEFAULT_DRAIN_GRACE_MS)?,
            membership: MembershipMode::read(settings_node)?,
        })
    }

    /// Checks that no timeout is zero. `settings_node` is the object that was read; it gives the
    /// path in the error.
    ///
    /// # Errors
    /// Names the first key whose value is zero.
    pub fn check_timeouts(&self, settings_node: &Node) -> Result<(), KeyError> {
        if self.connect_timeout.is_zero() {
            return Err(connect_timeout_node(settings_node).error(KeyProblem::Zero));
        }
        if self.idle_timeout.is_zero() {
            return Err(idle_timeout_node(settings_node).error(KeyProblem::Zero));
        }
        Ok(())
    }
}

fn connect_timeout_node<'a>(settings_node: &Node<'a>) -> Node<'a> {
    settings_node
        .at(keys::settings::PERMISSIONS)
        .at(keys::permissions::CONNECT_TIMEOUT_MS)
}

/// The idle timeout, which the balancer's settings have too.
pub(super) fn idle_timeout_node<'a>(settings_node: &Node<'a>) -> Node<'a> {
    settings_node
        .at(keys::settings::PERMISSIONS)
        .at(keys::permissions::IDLE_TIMEOUT_MS)
}

#[cfg(test)]
mod tests;
