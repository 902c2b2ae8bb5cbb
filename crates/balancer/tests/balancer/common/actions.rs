//! Queries on the actions that the balancer returns.

use arrowstand_balancer::{Action, EjectionCause, ServerEvent, ServerId, StateChange};

/// Returns the server that the first attempt among the actions is sent to, if any.
pub(crate) fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// Returns true if a request is rejected.
pub(crate) fn has_rejection(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { .. }))
}

/// Returns true if a request ends with an error as its final response.
pub(crate) fn has_failure(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Fail { .. }))
}

/// Returns the servers that health checks are sent to.
pub(crate) fn checked_servers(actions: &[Action]) -> Vec<ServerId> {
    let checked_server = |action: &Action| match action {
        Action::HealthCheck { server } => Some(*server),
        _ => None,
    };
    actions.iter().filter_map(checked_server).collect()
}

/// Returns the gossip messages that are sent to other balancers.
pub(crate) fn gossip_messages(actions: &[Action]) -> Vec<Vec<u8>> {
    let message = |action: &Action| match action {
        Action::SendGossip { message, .. } => Some(message.clone()),
        _ => None,
    };
    actions.iter().filter_map(message).collect()
}

/// Returns the reported changes of server states.
pub(crate) fn server_events(actions: &[Action]) -> Vec<ServerEvent> {
    let event = |action: &Action| match action {
        Action::Record(StateChange::Server { event, .. }) => Some(*event),
        _ => None,
    };
    actions.iter().filter_map(event).collect()
}

/// Returns true if a server was ejected, for any cause.
pub(crate) fn has_ejection(actions: &[Action]) -> bool {
    let is_ejection = |event: &ServerEvent| matches!(event, ServerEvent::Ejected { .. });
    server_events(actions).iter().any(is_ejection)
}

/// Returns true if a server was ejected because attempts failed or responses are overdue.
pub(crate) fn has_ejection_for_attempts(actions: &[Action]) -> bool {
    let cause = EjectionCause::Attempts;
    server_events(actions).contains(&ServerEvent::Ejected { cause })
}

/// Returns true if a server was readmitted.
pub(crate) fn has_readmission(actions: &[Action]) -> bool {
    server_events(actions).contains(&ServerEvent::Readmitted)
}
