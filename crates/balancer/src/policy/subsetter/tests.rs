use super::{CandidateFilter, Subsetter};
use crate::fleet::Fleet;
use crate::policy::test_support::{FIRST, NOW, SECOND, fleet, settings};
use crate::state::{RetryScope, ServerIndex, Suspicion};
use crate::{EjectionCause, Endpoint, EndpointStatus, ServerId};

fn subsetter(fleet: &Fleet) -> Subsetter {
    let mut subsetter = Subsetter::default();
    subsetter.on_endpoints_updated(fleet);
    subsetter
}

fn candidates(fleet: &Fleet, tried: &[ServerId], filter: CandidateFilter) -> Vec<ServerIndex> {
    let subsetter = subsetter(fleet);
    let mut candidates = subsetter.candidates(fleet, RetryScope::Anywhere, tried, filter);
    candidates.sort_unstable();
    candidates
}

fn suspect(fleet: &mut Fleet, server: ServerIndex) {
    let suspicion = Suspicion {
        cause: EjectionCause::Attempts,
        since: NOW,
        ejection_time: 1,
    };
    fleet.servers[server].suspicion.on_ejected(suspicion, 0);
}

#[test]
fn suspected_server_is_a_candidate_only_as_the_last_resort() {
    let mut fleet = fleet(settings(), 2);
    suspect(&mut fleet, FIRST);
    let trusted = candidates(&fleet, &[], CandidateFilter::TrustedOnly);
    let any = candidates(&fleet, &[], CandidateFilter::AnyReady);
    assert_eq!(trusted, [SECOND]);
    assert_eq!(any, [FIRST, SECOND]);
}

#[test]
fn possibly_draining_server_is_a_candidate_only_as_the_last_resort() {
    let mut fleet = fleet(settings(), 2);
    fleet.servers[FIRST].on_possible_drain();
    let trusted = candidates(&fleet, &[], CandidateFilter::TrustedOnly);
    let any = candidates(&fleet, &[], CandidateFilter::AnyReady);
    assert_eq!(trusted, [SECOND]);
    assert_eq!(any, [FIRST, SECOND]);
}

#[test]
fn draining_and_tried_servers_are_never_candidates() {
    let mut fleet = fleet(settings(), 3);
    fleet.servers[FIRST].on_status_listed(EndpointStatus::Draining);
    let left = candidates(&fleet, &[ServerId(1)], CandidateFilter::AnyReady);
    assert_eq!(left, [ServerIndex(2)]);
}

#[test]
fn retry_scope_limits_the_candidates_to_its_cell() {
    let mut fleet = fleet(settings(), 2);
    let elsewhere = Endpoint {
        cell: 7,
        ..Endpoint::ready(ServerId(1), 1)
    };
    fleet.servers.merge(elsewhere, NOW, 0);
    let subsetter = subsetter(&fleet);
    let scope = RetryScope::Cell(7);
    let candidates = subsetter.candidates(&fleet, scope, &[], CandidateFilter::TrustedOnly);
    assert_eq!(candidates, [SECOND]);
}

#[test]
fn subset_goes_further_down_the_order_where_its_servers_are_suspected() {
    let mut fleet = fleet(settings(), 40);
    let size = fleet.subset_size();
    let first = candidates(&fleet, &[], CandidateFilter::TrustedOnly);
    suspect(&mut fleet, first[0]);
    let next = candidates(&fleet, &[], CandidateFilter::TrustedOnly);
    assert_eq!((first.len(), next.len()), (size, size));
    assert!(!next.contains(&first[0]));
}
