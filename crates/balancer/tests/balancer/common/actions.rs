//! What a list of actions holds.

use arrowstand_balancer::{Action, EjectionCause, ServerEvent, ServerId, StateChange};

/// The server of the first send.
pub(crate) fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// True where some request is rejected.
pub(crate) fn is_rejected(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { .. }))
}

/// True where some request is failed.
pub(crate) fn is_failed(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Fail { .. }))
}

/// The servers that are checked.
pub(crate) fn health_checks(actions: &[Action]) -> Vec<ServerId> {
    let checked = |action: &Action| match action {
        Action::HealthCheck { server } => Some(*server),
        _ => None,
    };
    actions.iter().filter_map(checked).collect()
}

/// The messages to other balancers.
pub(crate) fn gossip_messages(actions: &[Action]) -> Vec<Vec<u8>> {
    let message = |action: &Action| match action {
        Action::SendGossip { message, .. } => Some(message.clone()),
        _ => None,
    };
    actions.iter().filter_map(message).collect()
}

/// What happened to servers, as the balancer records it.
pub(crate) fn server_events(actions: &[Action]) -> Vec<ServerEvent> {
    let event = |action: &Action| match action {
        Action::Record(StateChange::Server { event, .. }) => Some(*event),
        _ => None,
    };
    actions.iter().filter_map(event).collect()
}

/// True where a server was ejected, for whatever cause.
pub(crate) fn has_ejection(actions: &[Action]) -> bool {
    let is_ejection = |event: &ServerEvent| matches!(event, ServerEvent::Ejected { .. });
    server_events(actions).iter().any(is_ejection)
}

/// True where a server was ejected because its attempts failed or are overdue.
pub(crate) fn has_ejection_by_attempts(actions: &[Action]) -> bool {
    let cause = EjectionCause::Attempts;
    server_events(actions).contains(&ServerEvent::Ejected { cause })
}

/// True where a server was readmitted.
pub(crate) fn has_readmission(actions: &[Action]) -> bool {
    server_events(actions).contains(&ServerEvent::Readmitted)
}
