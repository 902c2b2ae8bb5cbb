//! Writes the balancer's actions in the simulator's form.
//!
//! Owns the names of the actions, of their fields and of the events in the simulator's journal; the
//! syntax is owned by [`Reply`].

use arrowstand_balancer::{Action, EjectionCause, ServerEvent, StateChange};

use super::instance::Names;
use crate::reply::Reply;

/// The receiver of a gossip message that is for all peers, in place of a balancer's number.
const ALL_PEERS: i64 = -1;

/// Appends an action of the instance of that name to the reply.
pub(super) fn encode(action: &Action, instance: &str, names: &Names, reply: &mut Reply) {
    reply.begin(message(action), instance);
    encode_fields(action, names, reply);
    reply.end();
}

/// The simulator's name for the kind of action.
fn message(action: &Action) -> &'static str {
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

/// Writes what an action carries. A table with an arm for each action, and so longer than other
/// functions here.
fn encode_fields(action: &Action, names: &Names, reply: &mut Reply) {
    match action {
        Action::Send {
            request,
            server,
            timeout,
        } => {
            reply.id(request.0);
            reply.text("server", names.server_name(*server));
            reply.optional_millis("within-ms", *timeout);
        }
        Action::Cancel { request, attempt } => {
            reply.id(request.0).number("n", attempt);
        }
        Action::Reject {
            request,
            retry_after,
        } => {
            reply.id(request.0);
            reply.optional_millis("pause-ms", *retry_after);
        }
        Action::Fail { request } => {
            reply.id(request.0);
        }
        Action::SetTimer { token, after } => {
            reply.number("cookie", token).millis("from-now-ms", *after);
        }
        Action::HealthCheck { server } => {
            reply.text("server", names.server_name(*server));
        }
        Action::SendGossip { to, message } => {
            let to = to.map_or(ALL_PEERS, i64::from);
            reply.number("to", to).payload(message);
        }
        Action::PollEndpoints => {
            reply.number("want", true);
        }
        Action::Record(change) => encode_state_change(*change, names, reply),
    }
}

/// A line of the simulator's journal: what happened, and the name of the server where it is known.
fn encode_state_change(change: StateChange, names: &Names, reply: &mut Reply) {
    let line = match change {
        StateChange::EndpointListLost => "list lost".to_owned(),
        StateChange::Server { server, event } => {
            let text = server_event_text(event);
            format!("{text} {}", names.server_name(server))
        }
    };
    reply.text("what", line.trim_end());
}

fn server_event_text(event: ServerEvent) -> &'static str {
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
