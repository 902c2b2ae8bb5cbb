use super::{EndpointTable, ServerIndex};
use crate::{Endpoint, EndpointStatus, Micros, Outcome, ServerId};

const SLOW_START_DURATION: Micros = 10;

fn table(servers: u32) -> EndpointTable {
    let mut table = EndpointTable::default();
    for n in 0..servers {
        table.merge(
            Endpoint::ready(ServerId(n), u64::from(n)),
            1_000,
            SLOW_START_DURATION,
        );
    }
    table
}

#[test]
fn merge_reports_a_restart_only_for_a_newer_incarnation() {
    let mut table = table(2);
    for (incarnation, restarted) in [
        (None, false),
        (Some(5), true),
        (Some(5), false),
        (Some(4), false),
    ] {
        let endpoint = Endpoint {
            incarnation,
            ..Endpoint::ready(ServerId(1), 1)
        };
        let merged = table.merge(endpoint, 1_000, SLOW_START_DURATION);
        assert_eq!(
            (merged.server_index, merged.restarted),
            (ServerIndex(1), restarted),
            "{incarnation:?}"
        );
    }
    assert_eq!(table[ServerIndex(1)].incarnation(), 5);
}

#[test]
fn older_version_of_the_list_is_not_accepted() {
    let mut table = EndpointTable::default();
    assert!(table.accept_version(7) && table.accept_version(7) && !table.accept_version(6));
    assert!(table.accept_version(8));
}

#[test]
fn full_list_marks_servers_it_omits_as_removed() {
    let mut table = table(3);
    table.mark_unlisted_as_removed(&[Endpoint::ready(ServerId(1), 1)]);
    let removed: Vec<bool> = table
        .iter()
        .map(super::super::server_state::ServerState::is_removed)
        .collect();
    assert_eq!(removed, [true, false, true]);
}

#[test]
fn retain_renumbers_servers_and_recounts_failed_health_checks() {
    let mut table = table(3);
    table.on_health_check_ended(ServerIndex(0), Outcome::TimedOut);
    table.on_health_check_ended(ServerIndex(2), Outcome::TimedOut);
    table.on_health_check_ended(ServerIndex(2), Outcome::TimedOut);
    assert_eq!(table.servers_with_failed_check(), 2);
    table.retain(|server| server.id() != ServerId(0));
    assert_eq!(table.servers_with_failed_check(), 1);
    assert_eq!(
        [0, 1, 2].map(|n| table.find(ServerId(n))),
        [None, Some(ServerIndex(0)), Some(ServerIndex(1))]
    );
    table.on_health_check_ended(ServerIndex(1), Outcome::Served);
    assert_eq!(table.servers_with_failed_check(), 0);
}

#[test]
fn listed_drain_lasts_until_a_restart() {
    let mut table = table(1);
    table[ServerIndex(0)].on_status_listed(EndpointStatus::Draining);
    table[ServerIndex(0)].on_status_listed(EndpointStatus::Ready);
    assert!(table[ServerIndex(0)].is_listed_as_draining());
    table[ServerIndex(0)].on_restarted(1_000, SLOW_START_DURATION);
    assert!(!table[ServerIndex(0)].is_listed_as_draining());
}

/// Guards against sorting a large fleet anew for each drain: many of them in a row hold the thread.
#[test]
fn order_revision_changes_with_the_servers_and_not_with_their_status() {
    let mut table = table(3);
    let mut has_changed = |change: &dyn Fn(&mut EndpointTable)| {
        let before = table.order_revision();
        change(&mut table);
        table.order_revision() != before
    };
    let list = |endpoint: Endpoint| {
        move |table: &mut EndpointTable| {
            table.merge(endpoint, 1_000, SLOW_START_DURATION);
        }
    };
    let listed = Endpoint::ready(ServerId(1), 1);
    let status = EndpointStatus::Draining;
    assert!(!has_changed(&list(Endpoint { status, ..listed })));
    assert!(!has_changed(&|table| table.retain(|_| true)));
    assert!(has_changed(&list(Endpoint { cell: 7, ..listed })));
    assert!(has_changed(&list(Endpoint::ready(ServerId(9), 9))));
    assert!(has_changed(
        &|table| table.retain(|server| server.id() != ServerId(9))
    ));
}
