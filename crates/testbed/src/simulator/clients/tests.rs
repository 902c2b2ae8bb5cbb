//! Clients alone: what they send, when they retry, and how an arrival ends.

use super::Clients;
use crate::event_log::{LogEvent, LogRecord, RequestOutcome};
use crate::index::{ClassIndex, SidecarIndex, TenantIndex};
use crate::scenario::{Class, Idempotency, Micros, Scenario};
use crate::simulator::context::Context;
use crate::simulator::event::{ClientResponse, SimulatorEvent};
use crate::simulator::process::SidecarProcess;
use crate::simulator::request::RequestKey;
use crate::workload::Arrival;

const END: Micros = 60_000_000;
const PROCESS: SidecarProcess = SidecarProcess {
    sidecar: SidecarIndex::new(0),
    incarnation: 0,
};

/// Clients of one class of requests, who all retry, keep to a Retry-After and never disconnect.
fn scenario(idempotency: Idempotency) -> Scenario {
    let class = Class {
        idempotency,
        deadline_ms: 1_500.0,
        ..Class::default()
    };
    let mut scenario = Scenario {
        class: vec![class],
        ..Scenario::default()
    };
    scenario.clients.retries = 1;
    scenario.clients.backoff_ms = [100.0, 100.0];
    scenario.clients.timeout_share = [0.9, 0.9];
    scenario.clients.disconnect_share = 0.0;
    scenario
}

fn arrival() -> Arrival {
    Arrival {
        at: 0,
        class: ClassIndex::new(0),
        tenant: TenantIndex::new(0),
        work: 1_000.0,
        work_hint: None,
        honours_retry_after: true,
    }
}

/// The request that is on its way to the sidecar.
fn next_request(context: &mut Context<'_>) -> RequestKey {
    while let Some(event) = context.next_event(END) {
        if let SimulatorEvent::RequestAtSidecar(key) = event {
            return key;
        }
    }
    panic!("no request is sent");
}

/// When a retry is due; nothing where there is none.
fn next_retry(context: &mut Context<'_>) -> Option<Micros> {
    while let Some(event) = context.next_event(END) {
        if let SimulatorEvent::RetryDue(..) = event {
            return Some(context.now());
        }
    }
    None
}

fn response(request: RequestKey, outcome: RequestOutcome) -> ClientResponse {
    ClientResponse {
        request,
        outcome,
        retry_after: 250_000,
    }
}

/// How the one arrival of a run ended.
fn ended(log: &[LogRecord]) -> Vec<RequestOutcome> {
    let outcome = |record: &LogRecord| match record.event {
        LogEvent::ArrivalEnded { outcome, .. } => Some(outcome),
        _ => None,
    };
    log.iter().filter_map(outcome).collect()
}

/// Answers the first request of an arrival: when its retry is due, and how the arrival ended.
fn answer(
    idempotency: Idempotency,
    outcome: RequestOutcome,
) -> (Option<Micros>, Vec<RequestOutcome>) {
    let scenario = scenario(idempotency);
    let mut log: Vec<LogRecord> = Vec::new();
    let mut context = Context::new(&scenario, &mut log);
    let mut clients = Clients::new(&scenario);
    clients.on_arrival(&arrival(), PROCESS, &mut context);
    let request = next_request(&mut context);

    clients.on_response(&response(request, outcome), &mut context);

    let answered_at = context.now();
    let retry_after = next_retry(&mut context).map(|at| at - answered_at);
    assert_eq!(clients.is_idle(), retry_after.is_none());
    (retry_after, ended(&log))
}

#[test]
fn a_served_arrival_ends() {
    let (retry_after, ended) = answer(Idempotency::Idempotent, RequestOutcome::Served);
    assert_eq!(retry_after, None);
    assert_eq!(ended, [RequestOutcome::Served]);
}

#[test]
fn a_rejected_request_is_retried_after_the_time_that_the_sidecar_asks_for() {
    let (retry_after, ended) = answer(Idempotency::NonIdempotent, RequestOutcome::Rejected);
    assert_eq!(retry_after, Some(250_000));
    assert_eq!(ended, []);
}

#[test]
fn a_failed_request_is_retried_after_the_backoff_where_it_may_run_twice() {
    let (retry_after, ended) = answer(Idempotency::Idempotent, RequestOutcome::Failed);
    assert_eq!(retry_after, Some(100_000));
    assert_eq!(ended, []);
    let (retry_after, ended) = answer(Idempotency::NonIdempotent, RequestOutcome::Failed);
    assert_eq!(retry_after, None);
    assert_eq!(ended, [RequestOutcome::Failed]);
}

#[test]
fn a_request_without_a_response_times_out_at_its_clients_share_of_the_deadline() {
    let scenario = scenario(Idempotency::NonIdempotent);
    let mut log: Vec<LogRecord> = Vec::new();
    let mut context = Context::new(&scenario, &mut log);
    let mut clients = Clients::new(&scenario);
    clients.on_arrival(&arrival(), PROCESS, &mut context);
    let request = next_request(&mut context);

    while let Some(event) = context.next_event(END) {
        if let SimulatorEvent::ClientTimeout(key) = event {
            assert_eq!(context.now(), 1_350_000);
            clients.on_timed_out(key, &mut context);
            break;
        }
    }

    assert!(clients.is_idle());
    assert!(clients.request(request).is_none());
    assert_eq!(ended(&log), [RequestOutcome::Unanswered]);
}

#[test]
fn an_arrival_beyond_the_open_requests_is_not_played() {
    let mut scenario = scenario(Idempotency::Idempotent);
    scenario.load.max_open_requests = 1;
    let mut log: Vec<LogRecord> = Vec::new();
    let mut context = Context::new(&scenario, &mut log);
    let mut clients = Clients::new(&scenario);

    clients.on_arrival(&arrival(), PROCESS, &mut context);
    clients.on_arrival(&arrival(), PROCESS, &mut context);

    assert_eq!(clients.not_played(), 1);
    assert_eq!(ended(&log), [RequestOutcome::NotPlayed]);
}
