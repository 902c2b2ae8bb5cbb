use arrowstand_balancer::Micros;
use proptest::prelude::*;

use super::{ListFreshness, StalenessBounds};

/// What may happen to a watch; each step follows some time after the one before.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An event or a heartbeat comes.
    Event,
    /// The watch or the call ends.
    Ended,
    /// Nothing more comes on the watch: noticed [`SILENCE_TIMEOUT`] later.
    Silent,
    /// A call is abandoned.
    Abandoned,
    /// A new configuration names another address for discovery.
    Relocated,
}

const SILENCE_TIMEOUT: Micros = 3_000_000;

/// The platform's protocol page on when a drain counts as notified, written down a second time: a
/// reference model that shares nothing with the code under test.
struct ReferenceModel {
    bounds: StalenessBounds,
    /// Since when nothing has come, and why.
    blind: Option<(Micros, BlindReason)>,
    /// When calls to discovery began.
    calls: Vec<Micros>,
}

#[derive(Clone, Copy, PartialEq)]
enum BlindReason {
    Silent,
    Relocated,
    Lost,
}

impl ReferenceModel {
    /// When a drain that began at `drained_at`, unseen, counts as notified at the earliest; `None`
    /// where the page names no time.
    fn notified_at(&self, drained_at: Micros) -> Option<Micros> {
        let (since, reason) = self.blind?;
        let last_call = self.calls.last().copied().filter(|&at| at >= since);
        Some(match (reason, self.bounds.pushed) {
            (BlindReason::Silent, _) => drained_at.max(since + self.bounds.watch_silence),
            (BlindReason::Relocated, _) => drained_at.max(since + self.bounds.relocation_delay),
            (BlindReason::Lost, true) => drained_at.max(since),
            (BlindReason::Lost, false) => {
                drained_at.max(last_call?) + self.bounds.max_poll_interval
            }
        })
    }
}

fn steps() -> impl Strategy<Value = Vec<(Step, Micros)>> {
    use Step::{Abandoned, Ended, Event, Relocated, Silent};
    let step = prop_oneof![
        Just(Event),
        Just(Ended),
        Just(Silent),
        Just(Abandoned),
        Just(Relocated)
    ];
    prop::collection::vec((step, 1..9_000_000_u64), 0..8)
}

proptest! {
    /// Whatever happens to the watch: with a call pending that nobody answers, no attempt begins
    /// later than the drain grace after the drain counts as notified, in both modes, at any grace
    /// and any poll interval.
    #[test]
    fn no_attempt_begins_after_the_grace_of_a_hidden_drain(
        pushed in any::<bool>(),
        poll_interval in 500_000..20_000_000_u64,
        grace in 500_000..10_000_000_u64,
        steps in steps(),
        drained_after in 0..20_000_000_u64,
        served_before in prop::option::of(0..1_000_000_u64),
    ) {
        let bounds = StalenessBounds { pushed, max_poll_interval: poll_interval, watch_silence: 6_000_000, relocation_delay: 4_000_000, drain_slack: grace / 2 };
        let mut now = 100_000_000;
        let mut freshness = ListFreshness::new(bounds, now);
        let mut reference = ReferenceModel { bounds, blind: Some((now, BlindReason::Lost)), calls: vec![now] };
        freshness.on_poll_started(now);
        for (step, after) in steps {
            now += after;
            match step {
                Step::Event => {
                    freshness.on_watch_event();
                    reference.blind = None;
                    continue;
                }
                // A call that fails while blind shows that discovery is down, or replaces the last
                // call.
                Step::Ended => {
                    freshness.on_watch_ended(now);
                    if reference.blind.is_none_or(|(_, reason)| reason == BlindReason::Lost) {
                        reference.blind = Some((now, BlindReason::Lost));
                    }
                }
                Step::Silent if reference.blind.is_none() => {
                    let last_event_at = now;
                    now += SILENCE_TIMEOUT;
                    freshness.on_watch_silent(last_event_at, now);
                    reference.blind = Some((last_event_at, BlindReason::Silent));
                }
                Step::Abandoned if reference.blind.is_some() => freshness.on_poll_abandoned(),
                Step::Silent | Step::Abandoned => continue,
                Step::Relocated => {
                    freshness.on_discovery_relocated(now);
                    // What counted as notified before still does.
                    if reference.blind.is_none_or(|(since, reason)| reason == BlindReason::Lost || since + 2_000_000 > now) {
                        reference.blind = Some((now, BlindReason::Relocated));
                    }
                }
            }
            freshness.on_poll_started(now);
            reference.calls.push(now);
        }
        let Some((since, _)) = reference.blind else {
            prop_assert_eq!(freshness.trusted_until(None), None, "the list is what discovery has");
            return Ok(());
        };
        let drained_at = since + drained_after;
        let Some(notified_at) = reference.notified_at(drained_at) else { return Ok(()) };
        let served = served_before.map(|ago| drained_at.saturating_sub(ago));
        let until = freshness.trusted_until(served);
        prop_assert!(
            until.is_some_and(|until| until <= notified_at + grace),
            "drained at {drained_at}, notified at {notified_at}, bound at {until:?}, {freshness:?}"
        );
    }
}

#[test]
fn an_outage_keeps_the_list_trusted_and_an_overloaded_discovery_does_not() {
    let bounds = StalenessBounds {
        pushed: true,
        max_poll_interval: 10_000_000,
        watch_silence: 6_000_000,
        relocation_delay: 4_000_000,
        drain_slack: 250_000,
    };
    let mut freshness = ListFreshness::new(bounds, 0);
    for call in (0..8_000_000).step_by(200_000) {
        freshness.on_poll_started(call);
        freshness.on_watch_ended(call + 1_000);
        assert_eq!(freshness.trusted_until(None), None, "down at {call}");
    }
    freshness.on_poll_started(8_000_000);
    let from = freshness.trusted_until(None);
    assert!(
        from.is_some_and(|from| from < 8_250_000),
        "waiting: {from:?}"
    );
    freshness.on_watch_ended(9_000_000);
    assert_eq!(
        freshness.trusted_until(None),
        from,
        "it waited and failed: discovery is there"
    );
    freshness.on_watch_event();
    assert_eq!(freshness.trusted_until(None), None);
}

#[test]
fn only_an_attempt_served_recently_extends_the_trust_in_a_server() {
    let bounds = StalenessBounds {
        pushed: false,
        max_poll_interval: 10_000_000,
        watch_silence: 6_000_000,
        relocation_delay: 4_000_000,
        drain_slack: 500_000,
    };
    let mut freshness = ListFreshness::new(bounds, 0);
    freshness.on_watch_silent(1_000_000, 4_000_000);
    assert!(freshness.needs_immediate_poll());
    assert_eq!(freshness.trusted_until(None), Some(7_500_000));
    assert_eq!(
        freshness.trusted_until(Some(4_500_000)),
        Some(7_500_000),
        "a response from before the drain counts proves nothing"
    );
    assert_eq!(freshness.trusted_until(Some(9_000_000)), Some(9_500_000));
    freshness.on_discovery_relocated(4_100_000);
    freshness.on_poll_refused(4_200_000);
    assert_eq!(
        freshness.trusted_until(None),
        None,
        "nothing listens there after a relocation"
    );
}
