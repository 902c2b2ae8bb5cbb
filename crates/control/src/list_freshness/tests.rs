use arrowstand_balancer::Micros;
use proptest::prelude::*;

use super::{ListFreshness, StalenessBounds};

/// Input of the property test: an event of a watch, applied some time after the previous one.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An event or a heartbeat arrives.
    Event,
    /// The watch or the poll ends.
    Ended,
    /// The watch stops delivering events, which is detected [`SILENCE_TIMEOUT`] later.
    Silent,
    /// A poll is abandoned without a response.
    Abandoned,
    /// A new configuration changes the address of discovery.
    Relocated,
}

const SILENCE_TIMEOUT: Micros = 3_000_000;

/// Reference model of when a drain counts as notified. It follows the platform's protocol and
/// shares no code with the module under test.
struct ReferenceModel {
    bounds: StalenessBounds,
    /// Since when no events have arrived, and why; `None` while a watch is delivering them.
    outage: Option<(Micros, OutageCause)>,
    /// Start times of the polls.
    poll_starts: Vec<Micros>,
}

#[derive(Clone, Copy, PartialEq)]
enum OutageCause {
    Silent,
    Relocated,
    Lost,
}

impl ReferenceModel {
    /// Earliest time at which an unobserved drain that started at `drained_at` counts as notified;
    /// `None` where the protocol defines no time.
    fn notified_at(&self, drained_at: Micros) -> Option<Micros> {
        let bounds = &self.bounds;
        let (since, cause) = self.outage?;
        let last_poll = self.poll_starts.last().copied().filter(|&at| at >= since);
        Some(match (cause, bounds.push_mode) {
            (OutageCause::Silent, _) => drained_at.max(since + bounds.silence_notice_delay),
            (OutageCause::Relocated, _) => drained_at.max(since + bounds.relocation_notice_delay),
            (OutageCause::Lost, true) => drained_at.max(since),
            (OutageCause::Lost, false) => drained_at.max(last_poll?) + bounds.max_poll_interval,
        })
    }
}

/// The code under test and the reference model, driven by the same steps.
struct WatchHarness {
    now: Micros,
    freshness: ListFreshness,
    reference: ReferenceModel,
}

impl WatchHarness {
    /// Starts the first poll with a list of unknown age, as at process start.
    fn new(bounds: StalenessBounds) -> Self {
        let now = 100_000_000;
        let mut freshness = ListFreshness::new(bounds, now);
        freshness.on_poll_started(now);
        let reference = ReferenceModel {
            bounds,
            outage: Some((now, OutageCause::Lost)),
            poll_starts: vec![now],
        };
        Self {
            now,
            freshness,
            reference,
        }
    }

    /// Applies a step. A step that ends a watch or a poll is followed by the next poll.
    fn apply(&mut self, step: Step) {
        match step {
            Step::Event => {
                self.freshness.on_watch_event();
                self.reference.outage = None;
                return;
            }
            Step::Ended => self.end_watch(),
            Step::Silent if self.reference.outage.is_none() => self.fall_silent(),
            Step::Abandoned if self.reference.outage.is_some() => {
                self.freshness.on_poll_abandoned();
            }
            Step::Silent | Step::Abandoned => return,
            Step::Relocated => self.relocate(),
        }
        self.freshness.on_poll_started(self.now);
        self.reference.poll_starts.push(self.now);
    }

    fn end_watch(&mut self) {
        self.freshness.on_watch_ended(self.now);
        // A poll that fails while no watch delivers events shows that discovery is down, or
        // replaces the last poll.
        let outage = self.reference.outage;
        if outage.is_none_or(|(_, cause)| cause == OutageCause::Lost) {
            self.reference.outage = Some((self.now, OutageCause::Lost));
        }
    }

    fn fall_silent(&mut self) {
        let last_event_at = self.now;
        self.now += SILENCE_TIMEOUT;
        self.freshness.on_watch_silent(last_event_at, self.now);
        self.reference.outage = Some((last_event_at, OutageCause::Silent));
    }

    fn relocate(&mut self) {
        self.freshness.on_discovery_relocated(self.now);
        // Of silence and relocation, the one that gives the earlier notification time applies.
        let bounds = &self.reference.bounds;
        let delay_difference = bounds.silence_notice_delay - bounds.relocation_notice_delay;
        let outage = self.reference.outage;
        if outage.is_none_or(|(since, cause)| {
            cause == OutageCause::Lost || since + delay_difference > self.now
        }) {
            self.reference.outage = Some((self.now, OutageCause::Relocated));
        }
    }
}

fn bounds(push_mode: bool, max_poll_interval: Micros, drain_slack: Micros) -> StalenessBounds {
    StalenessBounds {
        push_mode,
        max_poll_interval,
        silence_notice_delay: 6_000_000,
        relocation_notice_delay: 4_000_000,
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
    /// After any sequence of watch events, with a poll pending that never gets a response: no
    /// attempt starts later than the drain grace period after the drain counts as notified, in both
    /// modes and for any grace period and poll interval.
    #[test]
    fn no_attempt_starts_after_the_grace_period_of_an_unobserved_drain(
        push_mode in any::<bool>(),
        poll_interval in 500_000..20_000_000_u64,
        grace in 500_000..10_000_000_u64,
        steps in steps(),
        drained_after in 0..20_000_000_u64,
        served_before in prop::option::of(0..1_000_000_u64),
    ) {
        let mut harness = WatchHarness::new(bounds(push_mode, poll_interval, grace / 2));
        for (step, after) in steps {
            harness.now += after;
            harness.apply(step);
        }
        let WatchHarness { freshness, reference, .. } = harness;
        let Some((since, _)) = reference.outage else {
            prop_assert_eq!(freshness.trusted_until(None), None, "the list is current");
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
            "drained {drained_at}, notified {notified_at}, trusted until {until:?}, {freshness:?}"
        );
    }
}

#[test]
fn the_list_stays_trusted_in_an_outage_of_discovery_but_not_under_its_overload() {
    let mut freshness = ListFreshness::new(bounds(true, 10_000_000, 250_000), 0);
    for poll in (0..8_000_000).step_by(200_000) {
        freshness.on_poll_started(poll);
        freshness.on_watch_ended(poll + 1_000);
        assert_eq!(freshness.trusted_until(None), None, "down at {poll}");
    }

    freshness.on_poll_started(8_000_000);

    let expiry = freshness.trusted_until(None);
    assert!(
        expiry.is_some_and(|expiry| expiry < 8_250_000),
        "while the poll is pending: {expiry:?}"
    );

    freshness.on_watch_ended(9_000_000);

    assert_eq!(
        freshness.trusted_until(None),
        expiry,
        "the poll failed after its expiry: discovery is up"
    );

    freshness.on_watch_event();

    assert_eq!(freshness.trusted_until(None), None);
}

#[test]
fn only_a_recently_served_attempt_extends_the_trust_in_a_server() {
    let mut freshness = ListFreshness::new(bounds(false, 10_000_000, 500_000), 0);

    freshness.on_watch_silent(1_000_000, 4_000_000);

    assert!(freshness.needs_early_poll());
    assert_eq!(freshness.trusted_until(None), Some(7_500_000));
    assert_eq!(
        freshness.trusted_until(Some(4_500_000)),
        Some(7_500_000),
        "a response from before the notification does not extend the trust"
    );
    assert_eq!(freshness.trusted_until(Some(9_000_000)), Some(9_500_000));
}

#[test]
fn a_refused_connection_after_a_relocation_clears_the_expiry() {
    let mut freshness = ListFreshness::new(bounds(false, 10_000_000, 500_000), 0);
    freshness.on_watch_silent(1_000_000, 4_000_000);

    freshness.on_discovery_relocated(4_100_000);
    freshness.on_poll_refused(4_200_000);

    assert_eq!(
        freshness.trusted_until(None),
        None,
        "no process listens at the new address"
    );
}
