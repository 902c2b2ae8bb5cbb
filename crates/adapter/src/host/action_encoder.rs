//! Encodes the balancer's actions in the simulator's line protocol.
//!
//! This module defines the protocol names of the actions, their fields and the events in the
//! simulator's journal; [`Reply`] defines the syntax.

use arrowstand_balancer::{Action, EjectionCause, ServerEvent, StateChange};

use super::instance::NameInterner;
use crate::reply::Reply;

/// Recipient of a gossip message to all peers, used in place of a balancer's number.
const ALL_PEERS: i64 = -1;

/// Appends an action of the named instance to the reply.
pub(super) fn encode(action: &Action, instance: &str, names: &NameInterner, reply: &mut Reply) {
    reply.begin_action(action_name(action), instance);
    encode_fields(action, names, reply);
    reply.end_action();
}

/// Protocol name of an action.
fn action_name(action: &Action) -> &'static str {
    match action {
        Action::Send { .. } => "transmit",
        Action::Cancel { .. } => "revoke",
        Action::Reject { .. } => "turn-away",
        Action::Fail { .. } => "give-up",
        Action::SetTimer { .. } => "wake-at",
        Action::HealthCheck { .. } => "sound-out",
        Action::SendGossip { .. } => "share",
        Action::PollEndpoints => "observe",
        Action::Record(_) => "journal-line",
    }
}

/// Appends the fields of an action. The function is longer than others because it has an arm for
/// each action.
fn encode_fields(action: &Action, names: &NameInterner, reply: &mut Reply) {
    match action {
        Action::Send {
            request,
            server,
            timeout,
        } => {
            reply.request_id(request.0);
            reply.string("server", names.server_name(*server));
            reply.optional_millis("within-ms", *timeout);
        }
        Action::Cancel { request, attempt } => {
            reply.request_id(request.0).scalar("n", attempt);
        }
        Action::Reject {
            request,
            retry_after,
        } => {
            reply.request_id(request.0);
            reply.optional_millis("pause-ms", *retry_after);
        }
        Action::Fail { request } => {
            reply.request_id(request.0);
        }
        Action::SetTimer { token, after } => {
            reply.scalar("cookie", token).millis("from-now-ms", *after);
        }
        Action::HealthCheck { server } => {
            reply.string("server", names.server_name(*server));
        }
        Action::SendGossip { to, message } => {
            let to = to.map_or(ALL_PEERS, i64::from);
            reply.scalar("to", to).payload(message);
        }
        Action::PollEndpoints => {
            reply.scalar("want", true);
        }
        Action::Record(change) => encode_state_change(*change, names, reply),
    }
}

/// Appends a line of the simulator's journal: the event, and the name of the server if it is known.
fn encode_state_change(change: StateChange, names: &NameInterner, reply: &mut Reply) {
    let line = match change {
        StateChange::EndpointListLost => "list lost".to_owned(),
        StateChange::Server { server, event } => {
            let description = describe_server_event(event);
            format!("{description} {}", names.server_name(server))
        }
    };
    reply.string("what", line.trim_end());
}

fn describe_server_event(event: ServerEvent) -> &'static str {
    match event {
        ServerEvent::Ejected { cause } => match cause {
            EjectionCause::HealthChecks => "suspected: probes fail",
            EjectionCause::Attempts => "suspected: work fails or is overdue",
            EjectionCause::Gossip => "suspected: a peer says so",
        },
        ServerEvent::DeclaredDead => "dead",
        ServerEvent::Readmitted => "cleared",
    }
}

#[cfg(test)]
mod tests;
