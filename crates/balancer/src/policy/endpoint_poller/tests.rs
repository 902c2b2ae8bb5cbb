use super::{EndpointPoller, ListLoss};
use crate::policy::test_support::NOW;
use crate::{Micros, PollingSettings};

const MAX_INTERVAL: Micros = 10_000_000;

fn settings() -> PollingSettings {
    PollingSettings {
        required: true,
        max_interval: MAX_INTERVAL,
    }
}

/// The pause before the next poll, to the microsecond.
fn pause(poller: &EndpointPoller) -> Micros {
    (0..MAX_INTERVAL)
        .find(|after| poller.is_due(NOW + after))
        .expect("due within the longest interval")
}

#[test]
fn poll_without_any_response_is_repeated_within_the_longest_interval() {
    let mut poller = EndpointPoller::default();
    poller.on_polled(NOW, &settings());
    assert!(!poller.is_due(NOW + 7_499_999));
    assert!(poller.is_due(NOW + 7_500_000));
}

#[test]
fn subscription_ends_polling_and_a_received_list_forgets_the_backoff() {
    let mut poller = EndpointPoller::default();
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..5 {
        poller.on_list_lost(NOW, &settings(), &mut rng);
    }
    poller.on_list_received();
    assert!(!poller.is_due(Micros::MAX));
    poller.on_list_lost(NOW, &settings(), &mut rng);
    assert!(pause(&poller) <= 300_000);
}

#[test]
fn pauses_grow_threefold_up_to_half_the_longest_interval() {
    let mut poller = EndpointPoller::default();
    let mut rng = fastrand::Rng::with_seed(1);
    for backoff in [200_000, 600_000, 1_800_000, 5_000_000, 5_000_000] {
        poller.on_list_lost(NOW, &settings(), &mut rng);
        let pause = pause(&poller);
        let jitter = backoff / 2..=backoff / 2 + backoff;
        assert!(jitter.contains(&pause), "{pause} of {backoff}");
    }
}

#[test]
fn loss_of_a_subscription_is_told_from_another_failed_poll() {
    let mut poller = EndpointPoller::default();
    let mut rng = fastrand::Rng::with_seed(1);
    poller.on_list_received();
    let first = poller.on_list_lost(NOW, &settings(), &mut rng);
    let second = poller.on_list_lost(NOW, &settings(), &mut rng);
    assert_eq!(first, ListLoss::SubscriptionBroke);
    assert_eq!(second, ListLoss::PollFailed);
}

#[test]
fn drains_may_be_missed_only_where_the_list_is_polled_without_a_subscription() {
    let mut poller = EndpointPoller::default();
    let pushed = PollingSettings {
        required: false,
        ..settings()
    };
    assert!(poller.may_miss_drains(&settings()));
    assert!(!poller.may_miss_drains(&pushed));
    poller.on_list_received();
    assert!(!poller.may_miss_drains(&settings()));
}
