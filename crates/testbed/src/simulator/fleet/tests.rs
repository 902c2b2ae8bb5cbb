//! Tests of the fleet in isolation: attempts and health checks at a server, also during faults.

use arrowstand_balancer::Outcome;

use super::Fleet;
use crate::event_log::{ListedStatus, LogRecord};
use crate::index::{RequestNumber, ServerIndex, SidecarIndex};
use crate::scenario::{Fault, FaultKind, MachineType, Micros, Scenario, ServerGroup};
use crate::simulator::attempts::{AttemptDetails, AttemptKey, Attempts};
use crate::simulator::context::Context;
use crate::simulator::event::{HealthCheck, SimulatorEvent};
use crate::simulator::process::SidecarProcess;

const END: Micros = 60_000_000;
const SERVER: ServerIndex = ServerIndex::new(0);
const SIDECAR: SidecarIndex = SidecarIndex::new(0);
/// One-way network delay to the server.
const DELAY: Micros = 500;

/// One server that started before the run.
fn scenario() -> Scenario {
    Scenario {
        machine_type: vec![MachineType::default()],
        servers: vec![ServerGroup::default()],
        ..Scenario::default()
    }
}

/// Starts an attempt on a kept connection with this start number, or on a new one if `None`.
fn start_attempt(attempts: &mut Attempts, kept_connection: Option<u32>) -> AttemptKey {
    let details = AttemptDetails {
        request: RequestNumber::new(1),
        index: 0,
        sidecar: SIDECAR,
        server: SERVER,
        sent_at: 0,
        deadline: 1_000_000,
        work: 20_000.0,
        delay: DELAY,
    };
    attempts.start(details, kept_connection)
}

fn fault(kind: FaultKind) -> Fault {
    Fault {
        kind,
        ..Fault::default()
    }
}

/// Runs events until the result of an attempt is at its sidecar, and returns its time and outcome;
/// `None` if there is none. Server events are applied.
fn result(
    fleet: &mut Fleet,
    attempts: &mut Attempts,
    context: &mut Context<'_>,
) -> Option<(Micros, Outcome)> {
    while let Some(event) = context.next_event(END) {
        match event {
            SimulatorEvent::AttemptResultAtSidecar(_, _, outcome) => {
                return Some((context.now(), outcome));
            }
            SimulatorEvent::ServerTimer(server, generation) => {
                fleet.on_server_timer(server, generation, attempts, context);
            }
            _ => {}
        }
    }
    None
}

#[test]
fn an_accepted_attempt_is_served_once_its_work_is_done() {
    let scenario = scenario();
    let mut log: Vec<LogRecord> = Vec::new();
    let mut context = Context::new(&scenario, &mut log);
    let mut fleet = Fleet::new(&mut context);
    let mut attempts = Attempts::new();
    let attempt = start_attempt(&mut attempts, Some(0));

    fleet.on_attempt(attempt, &mut attempts, &mut context);

    let job = attempts.get(attempt).expect("open").job();
    assert!(fleet.has_job(SERVER, job));
    let (at, outcome) = result(&mut fleet, &mut attempts, &mut context).expect("ends");
    assert_eq!(outcome, Outcome::Served);
    assert!(
        at > DELAY,
        "the result came before the work and the way back: {at}"
    );
    assert!(!fleet.has_job(SERVER, job));
}

#[test]
fn a_connection_to_a_crashed_server_is_refused() {
    let scenario = scenario();
    let mut log: Vec<LogRecord> = Vec::new();
    let mut context = Context::new(&scenario, &mut log);
    let mut fleet = Fleet::new(&mut context);
    let mut attempts = Attempts::new();
    let attempt = start_attempt(&mut attempts, None);
    let crash = fault(FaultKind::Crash);
    fleet.on_fault(SERVER, &crash, true, &mut attempts, &mut context);

    fleet.on_connect(attempt, &mut attempts, &mut context);

    assert!(fleet.start_number_unless_refusing(SERVER).is_none());
    let expected = (DELAY, Outcome::ConnectFailed);
    let ended = result(&mut fleet, &mut attempts, &mut context);
    assert_eq!(ended, Some(expected));
}

#[test]
fn a_crash_resets_the_attempts_in_flight() {
    let scenario = scenario();
    let mut log: Vec<LogRecord> = Vec::new();
    let mut context = Context::new(&scenario, &mut log);
    let mut fleet = Fleet::new(&mut context);
    let mut attempts = Attempts::new();
    let attempt = start_attempt(&mut attempts, Some(0));
    fleet.on_attempt(attempt, &mut attempts, &mut context);

    let crash = fault(FaultKind::Crash);
    fleet.on_fault(SERVER, &crash, true, &mut attempts, &mut context);

    let ended = result(&mut fleet, &mut attempts, &mut context);
    assert_eq!(ended, Some((DELAY, Outcome::Reset)));
}

#[test]
fn a_kept_connection_of_an_earlier_start_is_reset_on_use() {
    let scenario = scenario();
    let mut log: Vec<LogRecord> = Vec::new();
    let mut context = Context::new(&scenario, &mut log);
    let mut fleet = Fleet::new(&mut context);
    let mut attempts = Attempts::new();
    let attempt = start_attempt(&mut attempts, Some(0));
    let crash = fault(FaultKind::Crash);
    fleet.on_fault(SERVER, &crash, true, &mut attempts, &mut context);
    fleet.on_fault(SERVER, &crash, false, &mut attempts, &mut context);

    fleet.on_attempt(attempt, &mut attempts, &mut context);

    let ended = result(&mut fleet, &mut attempts, &mut context);
    assert_eq!(ended, Some((DELAY, Outcome::Reset)));
}

#[test]
fn an_attempt_to_a_silent_server_is_reset_once_the_server_is_back() {
    let scenario = scenario();
    let mut log: Vec<LogRecord> = Vec::new();
    let mut context = Context::new(&scenario, &mut log);
    let mut fleet = Fleet::new(&mut context);
    let mut attempts = Attempts::new();
    let attempt = start_attempt(&mut attempts, Some(0));
    let silence = fault(FaultKind::Silence);
    fleet.on_fault(SERVER, &silence, true, &mut attempts, &mut context);
    fleet.on_attempt(attempt, &mut attempts, &mut context);
    assert_eq!(result(&mut fleet, &mut attempts, &mut context), None);

    let back_at = context.now();
    fleet.on_fault(SERVER, &silence, false, &mut attempts, &mut context);

    let ended = result(&mut fleet, &mut attempts, &mut context);
    assert_eq!(ended, Some((back_at + DELAY, Outcome::Reset)));
}

#[test]
fn a_draining_server_rejects_new_attempts_and_is_listed_as_draining_after_the_notice_time() {
    let scenario = scenario();
    let mut log: Vec<LogRecord> = Vec::new();
    let mut context = Context::new(&scenario, &mut log);
    let mut fleet = Fleet::new(&mut context);
    let mut attempts = Attempts::new();
    let attempt = start_attempt(&mut attempts, Some(0));
    let drain = fault(FaultKind::Drain);
    fleet.on_fault(SERVER, &drain, true, &mut attempts, &mut context);

    fleet.on_attempt(attempt, &mut attempts, &mut context);

    let ended = result(&mut fleet, &mut attempts, &mut context);
    assert_eq!(ended, Some((DELAY, Outcome::Rejected)));
    let Some(SimulatorEvent::ListChange(endpoint)) = context.next_event(END) else {
        panic!("no change of the list was scheduled");
    };
    assert!(endpoint.status == ListedStatus::Draining);
    assert_eq!(context.now(), 1_500_000);
}

#[test]
fn the_connection_of_a_health_check_is_kept_only_for_a_running_process() {
    let scenario = scenario();
    let mut log: Vec<LogRecord> = Vec::new();
    let mut context = Context::new(&scenario, &mut log);
    let mut fleet = Fleet::new(&mut context);
    let mut attempts = Attempts::new();
    let check = HealthCheck {
        process: SidecarProcess {
            sidecar: SIDECAR,
            incarnation: 0,
        },
        server: SERVER,
        delay: DELAY,
        new_connection: true,
    };

    let kept = fleet.on_health_check(&check, true, &mut attempts, &mut context);
    let closed = fleet.on_health_check(&check, false, &mut attempts, &mut context);

    assert_eq!(kept, Some(0));
    assert_eq!(closed, None);
    assert_eq!(fleet.server(SERVER).model.connections(), 1);
}
