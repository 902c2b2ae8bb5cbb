use super::FinalResponse;
use crate::fleet::Fleet;
use crate::policy::test_support::{MS, class, fleet, request, settings};
use crate::{DeduplicationScope, Endpoint, Idempotency, Outcome, RequestClass, ServerId, Settings};

fn fleet_of_class(idempotency: Idempotency, scope: DeduplicationScope) -> Fleet {
    let class = RequestClass {
        idempotency,
        deduplication_scope: scope,
        ..class()
    };
    let classes = vec![class];
    fleet(
        Settings {
            classes,
            ..settings()
        },
        1,
    )
}

/// The response to a request whose only attempt ended so.
fn response(fleet: &Fleet, outcome: Outcome) -> FinalResponse {
    let mut request = request(fleet);
    request.on_attempt_sent(&Endpoint::ready(ServerId(0), 0), fleet.now);
    request.on_attempt_ended(0, outcome);
    FinalResponse::decide(fleet, &request, &mut fastrand::Rng::with_seed(1))
}

fn is_rejected(response: FinalResponse) -> bool {
    matches!(response, FinalResponse::Reject { .. })
}

#[test]
fn request_that_never_executed_is_rejected_whatever_its_class() {
    let fleet = fleet_of_class(Idempotency::NonIdempotent, DeduplicationScope::All);
    assert!(is_rejected(response(&fleet, Outcome::Rejected)));
}

#[test]
fn request_that_may_have_executed_is_rejected_only_where_a_retry_is_harmless() {
    use DeduplicationScope::{All, Cell, Zone};
    use Idempotency::{IdempotencyKey, Idempotent, NonIdempotent};
    let table = [
        (Idempotent, Cell, true),
        (IdempotencyKey, All, true),
        (IdempotencyKey, Zone, false),
        (IdempotencyKey, Cell, false),
        (NonIdempotent, All, false),
    ];
    for (idempotency, scope, rejected) in table {
        let fleet = fleet_of_class(idempotency, scope);
        let is_rejected = is_rejected(response(&fleet, Outcome::Reset));
        assert_eq!(is_rejected, rejected, "{idempotency:?} {scope:?}");
    }
}

#[test]
fn retry_after_is_the_mean_service_time_with_jitter_while_the_fleet_has_capacity() {
    let fleet = fleet_of_class(Idempotency::Idempotent, DeduplicationScope::All);
    let FinalResponse::Reject { retry_after } = response(&fleet, Outcome::Rejected) else {
        panic!("not rejected");
    };
    let retry_after = retry_after.expect("passed on");
    // 31.25 ms before any response.
    assert!((23 * MS..40 * MS).contains(&retry_after), "{retry_after}");
}

#[test]
fn retry_after_is_the_longest_one_in_a_full_fleet_and_absent_where_it_is_not_passed_on() {
    let mut fleet = fleet_of_class(Idempotency::Idempotent, DeduplicationScope::All);
    (0..500).for_each(|_| fleet.estimators.utilization.on_load_report(1.0));
    fleet.settings.retries.max_retry_after = 100 * MS;
    let FinalResponse::Reject { retry_after } = response(&fleet, Outcome::Rejected) else {
        panic!("not rejected");
    };
    let retry_after = retry_after.expect("passed on");
    assert!((75 * MS..=100 * MS).contains(&retry_after), "{retry_after}");
    fleet.settings.host.retry_after = false;
    let absent = FinalResponse::Reject { retry_after: None };
    assert_eq!(response(&fleet, Outcome::Rejected), absent);
}
