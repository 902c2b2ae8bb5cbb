use super::FinalResponse;
use crate::fleet::Fleet;
use crate::policy::test_support::{MS, class, fleet_with_class, request};
use crate::{DeduplicationScope, Endpoint, Idempotency, Micros, Outcome, ServerId};

fn fleet(idempotency: Idempotency, scope: DeduplicationScope) -> Fleet {
    let mut class = class();
    class.idempotency = idempotency;
    class.deduplication_scope = scope;
    fleet_with_class(class, 1)
}

/// The response to a request whose only attempt ended with `outcome`.
fn response(fleet: &Fleet, outcome: Outcome) -> FinalResponse {
    let mut request = request(fleet);
    request.on_attempt_sent(&Endpoint::ready(ServerId(0), 0), fleet.now);
    request.on_attempt_ended(0, outcome);
    FinalResponse::decide(fleet, &request, &mut fastrand::Rng::with_seed(1))
}

fn retry_after(fleet: &Fleet) -> Option<Micros> {
    match response(fleet, Outcome::Rejected) {
        FinalResponse::Reject { retry_after } => retry_after,
        FinalResponse::Fail => panic!("not rejected"),
    }
}

#[test]
fn request_is_rejected_only_if_it_never_executed_or_a_retry_is_safe() {
    use DeduplicationScope::{All, Cell, Zone};
    use Idempotency::{IdempotencyKey, Idempotent, NonIdempotent};
    let table = [
        (Idempotent, Cell, true),
        (IdempotencyKey, All, true),
        (IdempotencyKey, Zone, false),
        (IdempotencyKey, Cell, false),
        (NonIdempotent, All, false),
    ];
    for (idempotency, scope, is_safe_to_retry) in table {
        let fleet = fleet(idempotency, scope);
        let unknown_outcome = response(&fleet, Outcome::Reset);
        assert_eq!(
            unknown_outcome != FinalResponse::Fail,
            is_safe_to_retry,
            "{idempotency:?} {scope:?}"
        );
        assert_ne!(response(&fleet, Outcome::Rejected), FinalResponse::Fail);
    }
}

#[test]
fn retry_after_grows_from_the_mean_service_time_to_the_maximum_with_utilization() {
    let mut fleet = fleet(Idempotency::Idempotent, DeduplicationScope::All);
    fleet.settings.retries.max_retry_after = 100 * MS;
    // The initial mean service time is 31.25 ms; the jitter is at most 25 %.
    let idle = retry_after(&fleet).expect("Retry-After is forwarded");
    assert!((23 * MS..40 * MS).contains(&idle), "{idle}");
    (0..500).for_each(|_| fleet.estimators.utilization.on_load_report(1.0));
    let full = retry_after(&fleet).expect("Retry-After is forwarded");
    assert!((75 * MS..=100 * MS).contains(&full), "{full}");
    fleet.settings.host.retry_after = false;
    assert_eq!(retry_after(&fleet), None);
}
