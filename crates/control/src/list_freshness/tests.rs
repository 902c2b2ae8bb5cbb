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

/// The code under test and the reference model after the same steps.
struct History {
    now: Micros,
    freshness: ListFreshness,
    reference: ReferenceModel,
}

impl History {
    /// The start of the program: the first call begins, with a list of unknown age.
    fn new(bounds: StalenessBounds) -> Self {
        let now = 100_000_000;
        let mut freshness = ListFreshness::new(bounds, now);
        freshness.on_poll_started(now);
        let reference = ReferenceModel {
            bounds,
            blind: Some((now, BlindReason::Lost)),
            calls: vec![now],
        };
        Self {
            now,
            freshness,
            reference,
        }
    }

    /// Plays a step; what ends a watch or a call is followed by the next call.
    fn play(&mut self, step: Step) {
        match step {
            Step::Event => {
                self.freshness.on_watch_event();
                self.reference.blind = None;
                return;
            }
            Step::Ended => self.end_watch(),
            Step::Silent if self.reference.blind.is_none() => self.fall_silent(),
            Step::Abandoned if self.reference.blind.is_some() => self.freshness.on_poll_abandoned(),
            Step::Silent | Step::Abandoned => return,
            Step::Relocated => self.relocate(),
        }
        self.freshness.on_poll_started(self.now);
        self.reference.calls.push(self.now);
    }

    fn end_watch(&mut self) {
        self.freshness.on_watch_ended(self.now);
        // A call that fails while blind shows that discovery is down, or replaces the last call.
        let blind = self.reference.blind;
        if blind.is_none_or(|(_, reason)| reason == BlindReason::Lost) {
            self.reference.blind = Some((self.now, BlindReason::Lost));
        }
    }

    fn fall_silent(&mut self) {
        let last_event_at = self.now;
        self.now += SILENCE_TIMEOUT;
        self.freshness.on_watch_silent(last_event_at, self.now);
        self.reference.blind = Some((last_event_at, BlindReason::Silent));
    }

    fn relocate(&mut self) {
        self.freshness.on_discovery_relocated(self.now);
        // Whichever of silence and relocation makes a drain count as notified earlier still does.
        let bounds = &self.reference.bounds;
        let head_start = bounds.watch_silence - bounds.relocation_delay;
        let blind = self.reference.blind;
        if blind.is_none_or(|(since, reason)| {
            reason == BlindReason::Lost || since + head_start > self.now
        }) {
            self.reference.blind = Some((self.now, BlindReason::Relocated));
        }
    }
}

fn bounds(pushed: bool, max_poll_interval: Micros, drain_slack: Micros) -> StalenessBounds {
    StalenessBounds {
        pushed,
        max_poll_interval,
        watch_silence: 6_000_000,
        relocation_delay: 4_000_000,
        drain_slack,
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
        let mut history = History::new(bounds(pushed, poll_interval, grace / 2));
        for (step, after) in steps {
            history.now += after;
            history.play(step);
        }
        let History { freshness, reference, .. } = history;
        let Some((since, _)) = reference.blind else {
            prop_assert_eq!(freshness.trusted_until(None), None, "the list is what discovery has");
            return Ok(());
        };
        let drained_at = since + drained_after;
        let Some(notified_at) = reference.notified_at(drained_at) else {
            return Ok(());
        };
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
    let mut freshness = ListFreshness::new(bounds(true, 10_000_000, 250_000), 0);
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
    let mut freshness = ListFreshness::new(bounds(false, 10_000_000, 500_000), 0);

    freshness.on_watch_silent(1_000_000, 4_000_000);

    assert!(freshness.needs_immediate_poll());
    assert_eq!(freshness.trusted_until(None), Some(7_500_000));
    assert_eq!(
        freshness.trusted_until(Some(4_500_000)),
        Some(7_500_000),
        "a response from before the drain counts proves nothing"
    );
    assert_eq!(freshness.trusted_until(Some(9_000_000)), Some(9_500_000));
}

#[test]
fn a_relocated_discovery_that_refuses_connections_has_nothing_to_hide() {
    let mut freshness = ListFreshness::new(bounds(false, 10_000_000, 500_000), 0);
    freshness.on_watch_silent(1_000_000, 4_000_000);

    freshness.on_discovery_relocated(4_100_000);
    freshness.on_poll_refused(4_200_000);

    assert_eq!(
        freshness.trusted_until(None),
        None,
        "nothing listens there after a relocation"
    );
}
