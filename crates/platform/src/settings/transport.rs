//! The settings of a host that opens connections: time-outs, the drain grace and the way in which
//! the endpoint list arrives.
//!
//! Owns these keys, their defaults and the check of time-outs; the connections belong to the host.

use std::time::Duration;

use super::values::duration_or;
use crate::error::{KeyError, KeyProblem};
use crate::json::Node;
use crate::keys;

/// Milliseconds for a connection to be established, where the settings name none; an attempt that
/// takes longer has failed to connect. The value in the wire page's example.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 200.0;
/// Milliseconds after which servers close an idle connection, where the settings name none; from
/// then on a request written to it ends as a reset. The value in the wire page's example.
const DEFAULT_IDLE_TIMEOUT_MS: f64 = 5_000.0;
/// Milliseconds for which a draining server still accepts requests, where the settings name none; a
/// request sent later breaks the rule on draining. The value in the wire page's example.
const DEFAULT_DRAIN_GRACE_MS: f64 = 2_000.0;

/// The settings' word for [`MembershipMode::OnRequest`].
const ON_REQUEST: &str = "on_request";
/// The settings' word for [`MembershipMode::Pushed`].
const PUSHED: &str = "pushed";

/// How changes of the endpoint list reach a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipMode {
    /// Discovery answers only when polled.
    OnRequest,
    /// Discovery pushes its changes: they count as notified whether or not a watch is open.
    Pushed,
    /// The settings name no mode, or one that has no meaning here.
    Unspecified,
}

impl MembershipMode {
    /// Reads the mode from the settings object.
    ///
    /// # Errors
    /// The value is not a text.
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

    /// The settings' word for the mode; `None` where no mode is named.
    pub(super) fn name(self) -> Option<&'static str> {
        match self {
            Self::OnRequest => Some(ON_REQUEST),
            Self::Pushed => Some(PUSHED),
            Self::Unspecified => None,
        }
    }
}

/// Times and modes of connections to servers and to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransportSettings {
    /// Time for a connection to be established.
    pub connect_timeout: Duration,
    /// Time after which servers close an idle connection.
    pub idle_timeout: Duration,
    /// Time for which a draining server still accepts requests.
    pub drain_grace: Duration,
    /// How changes of the endpoint list arrive.
    pub membership: MembershipMode,
}

impl TransportSettings {
    /// Reads the settings object.
    ///
    /// # Errors
    /// Names the first key whose value cannot be used.
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

/// The key of the idle timeout, which the balancer's settings hold too.
pub(super) fn idle_timeout_node<'a>(settings_node: &Node<'a>) -> Node<'a> {
    settings_node
        .at(keys::settings::PERMISSIONS)
        .at(keys::permissions::IDLE_TIMEOUT_MS)
}

#[cfg(test)]
mod tests;
