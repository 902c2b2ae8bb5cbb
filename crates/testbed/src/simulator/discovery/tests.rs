//! Tests of the endpoint list, of the notifications of its changes, and of the results of polls.

use super::{Availability, Discovery, ListedEndpoint};
use crate::event_log::{ListedStatus, LogRecord};
use crate::index::{ServerIndex, SidecarIndex};
use crate::scenario::{self, Micros, Scenario};
use crate::simulator::context::Context;
use crate::simulator::event::{EndpointPoll, PollResult, SimulatorEvent};
use crate::simulator::process::SidecarProcess;

/// Later than every event that a test schedules.
const END: Micros = 60_000_000;
const SERVER: ServerIndex = ServerIndex::new(0);

fn scenario() -> Scenario {
    Scenario {
        discovery: scenario::Discovery {
            capacity: 4.0,
            timeout_ms: 400.0,
            spread_ms: 300.0,
            ..scenario::Discovery::default()
        },
        ..Scenario::default()
    }
}

/// A discovery service that lists one server, which started before the run.
fn discovery_of_one_server(scenario: &Scenario) -> Discovery {
    Discovery::new(scenario, [(SERVER, 0)].into_iter())
}

fn process(sidecar: u32) -> SidecarProcess {
    SidecarProcess {
        sidecar: SidecarIndex::new(sidecar),
        incarnation: 0,
    }
}

fn gone(incarnation: Micros) -> ListedEndpoint {
    ListedEndpoint {
        server: SERVER,
        status: ListedStatus::Gone,
        incarnation,
    }
}

/// Polls once for each of `count` sidecars and returns when each poll ended and whether it failed.
fn poll_from_each_sidecar(
    discovery: &mut Discovery,
    scenario: &Scenario,
    count: u32,
) -> Vec<(Micros, bool)> {
    let mut log: Vec<LogRecord> = Vec::new();
    let mut context = Context::new(scenario, &mut log);
    for sidecar in 0..count {
        let poll = EndpointPoll {
            process: process(sidecar),
            number: 1,
        };
        discovery.on_poll(poll, &mut context);
    }
    let mut ends = Vec::new();
    while let Some(event) = context.next_event(END) {
        let SimulatorEvent::PollResult(PollResult { failed, .. }) = event else {
            panic!("expected only poll results");
        };
        ends.push((context.now(), failed));
    }
    ends
}

#[test]
fn a_change_increments_the_revision_and_notifies_watching_sidecars() {
    let scenario = scenario();
    let mut log: Vec<LogRecord> = Vec::new();
    let mut context = Context::new(&scenario, &mut log);
    let mut discovery = discovery_of_one_server(&scenario);

    let watching = [process(3), process(5)].into_iter();
    discovery.on_list_change(gone(0), 0, watching, &mut context);

    assert_eq!(discovery.revision(), 2);
    assert_eq!(discovery.current_endpoints().count(), 0);
    let changes = discovery.changes_since(1);
    assert_eq!(changes.len(), 1);
    assert!(changes[0].status == ListedStatus::Gone);
    assert!(discovery.changes_since(2).is_empty());
    let mut notified = Vec::new();
    while let Some(event) = context.next_event(END) {
        let SimulatorEvent::WatchNotification(process) = event else {
            panic!("expected only watch notifications");
        };
        assert!(context.now() < 300_000, "the delay exceeds spread_ms");
        notified.push(process.sidecar.value());
    }
    notified.sort_unstable();
    assert_eq!(notified, [3, 5]);
}

#[test]
fn a_removal_detected_after_the_server_restarted_is_ignored() {
    let scenario = scenario();
    let mut log: Vec<LogRecord> = Vec::new();
    let mut context = Context::new(&scenario, &mut log);
    let mut discovery = discovery_of_one_server(&scenario);

    let restarted_at = 7_000_000;
    let watching = [process(0)].into_iter();
    discovery.on_list_change(gone(0), restarted_at, watching, &mut context);

    assert_eq!(discovery.revision(), 1);
    assert_eq!(discovery.current_endpoints().count(), 1);
    assert!(context.next_event(END).is_none());
}

#[test]
fn a_change_while_discovery_is_down_is_listed_without_notifications() {
    let scenario = scenario();
    let mut log: Vec<LogRecord> = Vec::new();
    let mut context = Context::new(&scenario, &mut log);
    let mut discovery = discovery_of_one_server(&scenario);
    discovery.on_availability_changed(Availability::Down, 0);

    let watching = [process(0)].into_iter();
    discovery.on_list_change(gone(0), 0, watching, &mut context);

    assert_eq!(discovery.revision(), 2);
    assert!(context.next_event(END).is_none());
}

#[test]
fn polls_are_served_in_order_and_fail_after_the_queue_timeout() {
    let scenario = scenario();
    let mut discovery = discovery_of_one_server(&scenario);

    let ends = poll_from_each_sidecar(&mut discovery, &scenario, 4);

    // At four polls a second, the third would begin at 500 ms, after the 400 ms that a poll waits.
    let expected = [
        (250_000, false),
        (400_000, true),
        (400_000, true),
        (500_000, false),
    ];
    assert_eq!(ends, expected);
}

#[test]
fn polls_are_refused_while_discovery_is_down_and_time_out_while_it_is_silent() {
    let scenario = scenario();
    let mut discovery = discovery_of_one_server(&scenario);

    discovery.on_availability_changed(Availability::Down, 0);
    assert_eq!(
        poll_from_each_sidecar(&mut discovery, &scenario, 1),
        [(2_000, true)]
    );
    discovery.on_availability_changed(Availability::Silent, 0);
    assert_eq!(
        poll_from_each_sidecar(&mut discovery, &scenario, 1),
        [(5_000_000, true)]
    );
    discovery.on_availability_changed(Availability::Up, 0);
    assert_eq!(
        poll_from_each_sidecar(&mut discovery, &scenario, 1),
        [(250_000, false)]
    );
}

#[test]
fn watches_end_quickly_when_discovery_goes_down_and_late_when_it_falls_silent() {
    let mut discovery = discovery_of_one_server(&scenario());

    let down = discovery.on_availability_changed(Availability::Down, 0);
    let silent = discovery.on_availability_changed(Availability::Silent, 0);
    let up = discovery.on_availability_changed(Availability::Up, 0);

    assert_eq!((down, silent, up), (Some(1_000), Some(3_000_000), None));
}
