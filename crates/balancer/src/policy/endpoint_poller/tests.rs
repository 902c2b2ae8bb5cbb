use super::{EndpointPoller, UpdateFailure};
use crate::policy::test_support::NOW;
use crate::{Micros, PollingSettings};

const SETTINGS: PollingSettings = PollingSettings {
    required: true,
    max_interval: 10_000_000,
};

fn fail_update(poller: &mut EndpointPoller) -> UpdateFailure {
    poller.on_update_failed(NOW, &SETTINGS, &mut fastrand::Rng::with_seed(1))
}

fn is_due_after(poller: &EndpointPoller, delay: Micros) -> bool {
    poller.is_due(NOW + delay)
}

#[test]
fn poll_without_a_response_is_repeated_within_the_maximum_interval() {
    let mut poller = EndpointPoller::default();
    poller.on_polled(NOW, &SETTINGS);
    assert!(!is_due_after(&poller, 7_499_999));
    assert!(is_due_after(&poller, 7_500_000));
}

#[test]
fn backoff_triples_up_to_half_the_maximum_interval_and_resets_on_a_received_list() {
    let mut poller = EndpointPoller::default();
    for backoff in [200_000, 600_000, 1_800_000, 5_000_000, 5_000_000] {
        fail_update(&mut poller);
        assert!(!is_due_after(&poller, backoff / 2 - 1), "{backoff}");
        assert!(is_due_after(&poller, backoff / 2 + backoff), "{backoff}");
    }
    poller.on_list_received();
    assert!(!poller.is_due(Micros::MAX), "a subscription ends polling");
    fail_update(&mut poller);
    assert!(is_due_after(&poller, 300_000));
}

#[test]
fn lost_subscription_is_distinguished_from_a_failed_poll() {
    let mut poller = EndpointPoller::default();
    poller.on_list_received();
    assert_eq!(fail_update(&mut poller), UpdateFailure::SubscriptionLost);
    assert_eq!(fail_update(&mut poller), UpdateFailure::PollFailed);
}

#[test]
fn drains_may_be_missed_only_if_polling_is_required_and_no_subscription_is_active() {
    let mut poller = EndpointPoller::default();
    let mut pushed = SETTINGS;
    pushed.required = false;
    assert!(poller.may_miss_drains(&SETTINGS));
    assert!(!poller.may_miss_drains(&pushed));
    poller.on_list_received();
    assert!(!poller.may_miss_drains(&SETTINGS));
}
