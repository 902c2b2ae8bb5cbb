use super::{CandidateFilter, Subsetter};
use crate::fleet::Fleet;
use crate::policy::test_support::{FIRST, NOW, SECOND, eject, fleet, settings};
use crate::state::{RetryScope, ServerIndex};
use crate::{EjectionCause, Endpoint, EndpointStatus, ServerId};

fn candidates_in(fleet: &Fleet, scope: RetryScope, filter: CandidateFilter) -> Vec<ServerIndex> {
    let mut subsetter = Subsetter::default();
    subsetter.on_endpoints_updated(fleet);
    let mut candidates = subsetter.candidates(fleet, scope, &[ServerId(9)], filter);
    candidates.sort_unstable();
    candidates
}

fn candidates(fleet: &Fleet, filter: CandidateFilter) -> Vec<ServerIndex> {
    candidates_in(fleet, RetryScope::Anywhere, filter)
}

#[test]
fn suspected_and_possibly_draining_servers_are_candidates_only_as_the_last_resort() {
    let mut fleet = fleet(settings(), 3);
    eject(&mut fleet, FIRST, EjectionCause::Attempts);
    fleet.servers[SECOND].on_possible_drain();
    let third = ServerIndex(2);
    assert_eq!(candidates(&fleet, CandidateFilter::TrustedOnly), [third]);
    let any = candidates(&fleet, CandidateFilter::AnyReady);
    assert_eq!(any, [FIRST, SECOND, third]);
}

#[test]
fn draining_and_tried_servers_are_never_candidates() {
    let mut fleet = fleet(settings(), 10);
    fleet.servers[FIRST].on_status_listed(EndpointStatus::Draining);
    let expected: Vec<ServerIndex> = (1..9).map(ServerIndex).collect();
    assert_eq!(candidates(&fleet, CandidateFilter::AnyReady), expected);
}

#[test]
fn retry_scope_limits_the_candidates_to_its_cell() {
    let mut fleet = fleet(settings(), 2);
    let mut in_other_cell = Endpoint::ready(ServerId(1), 1);
    in_other_cell.cell = 7;
    fleet.servers.merge(in_other_cell, NOW, 0);
    let in_cell = candidates_in(&fleet, RetryScope::Cell(7), CandidateFilter::TrustedOnly);
    assert_eq!(in_cell, [SECOND]);
}

#[test]
fn suspected_servers_are_replaced_by_the_next_ones_in_the_order() {
    let mut fleet = fleet(settings(), 40);
    let first = candidates(&fleet, CandidateFilter::TrustedOnly);
    eject(&mut fleet, first[0], EjectionCause::Attempts);
    let next = candidates(&fleet, CandidateFilter::TrustedOnly);
    let size = fleet.subset_size();
    assert_eq!((first.len(), next.len()), (size, size));
    assert!(!next.contains(&first[0]));
}

/// Guards against an order that is kept although servers were added, removed or moved.
#[test]
fn order_after_each_change_is_the_one_computed_from_scratch() {
    let mut fleet = fleet(settings(), 4);
    let mut subsetter = Subsetter::default();
    let mut rng = fastrand::Rng::with_seed(42);
    let statuses = [
        EndpointStatus::Ready,
        EndpointStatus::Draining,
        EndpointStatus::Removed,
    ];
    for _ in 0..2_000 {
        let id = rng.u32(0..12);
        let endpoint = Endpoint {
            cell: rng.u32(0..3),
            status: statuses[rng.usize(0..3)],
            ..Endpoint::ready(ServerId(id), u64::from(id))
        };
        fleet.servers.merge(endpoint, NOW, 0);
        if rng.bool() {
            fleet.remove_obsolete_servers();
        }
        subsetter.on_endpoints_updated(&fleet);
        let mut from_scratch = Subsetter::default();
        from_scratch.on_endpoints_updated(&fleet);
        assert!(subsetter.order.iter().eq(from_scratch.order.iter()));
    }
}
