//! Tests of the clients in isolation: requests, retries and the end of an arrival.

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

/// Clients with one request class, which all retry once, honour Retry-After and never disconnect.
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

/// Runs events until a request is at the sidecar, and returns it.
fn next_request(context: &mut Context<'_>) -> RequestKey {
    while let Some(event) = context.next_event(END) {
        if let SimulatorEvent::RequestAtSidecar(key) = event {
            return key;
        }
    }
    panic!("no request was sent");
}

/// Runs events until a retry is due, and returns its time; `None` if there is none.
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

/// Outcomes of the arrivals that have ended.
fn arrival_outcomes(log: &[LogRecord]) -> Vec<RequestOutcome> {
    let outcome = |record: &LogRecord| match record.event {
        LogEvent::ArrivalEnded { outcome, .. } => Some(outcome),
        _ => None,
    };
    log.iter().filter_map(outcome).collect()
}

/// Responds to the first request of an arrival. Returns the delay of the retry, and the outcome of
/// the arrival if it has ended.
fn respond_to_first_request(
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

    let responded_at = context.now();
    let retry_after = next_retry(&mut context).map(|at| at - responded_at);
    assert_eq!(clients.is_idle(), retry_after.is_none());
    (retry_after, arrival_outcomes(&log))
}

#[test]
fn a_served_arrival_ends() {
    let (retry_after, outcomes) =
        respond_to_first_request(Idempotency::Idempotent, RequestOutcome::Served);
    assert_eq!(retry_after, None);
    assert_eq!(outcomes, [RequestOutcome::Served]);
}

#[test]
fn a_rejected_request_is_retried_after_the_retry_after_time() {
    let (retry_after, outcomes) =
        respond_to_first_request(Idempotency::NonIdempotent, RequestOutcome::Rejected);
    assert_eq!(retry_after, Some(250_000));
    assert_eq!(outcomes, []);
}

#[test]
fn a_failed_request_is_retried_after_the_backoff_if_idempotent() {
    let (retry_after, outcomes) =
        respond_to_first_request(Idempotency::Idempotent, RequestOutcome::Failed);
    assert_eq!(retry_after, Some(100_000));
    assert_eq!(outcomes, []);
    let (retry_after, outcomes) =
        respond_to_first_request(Idempotency::NonIdempotent, RequestOutcome::Failed);
    assert_eq!(retry_after, None);
    assert_eq!(outcomes, [RequestOutcome::Failed]);
}

#[test]
fn a_request_without_a_response_times_out_at_the_clients_share_of_the_deadline() {
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
    assert_eq!(arrival_outcomes(&log), [RequestOutcome::Unanswered]);
}

#[test]
fn an_arrival_over_the_limit_of_open_requests_is_skipped() {
    let mut scenario = scenario(Idempotency::Idempotent);
    scenario.load.max_open_requests = 1;
    let mut log: Vec<LogRecord> = Vec::new();
    let mut context = Context::new(&scenario, &mut log);
    let mut clients = Clients::new(&scenario);

    clients.on_arrival(&arrival(), PROCESS, &mut context);
    clients.on_arrival(&arrival(), PROCESS, &mut context);

    assert_eq!(clients.not_played(), 1);
    assert_eq!(arrival_outcomes(&log), [RequestOutcome::NotPlayed]);
}
