use arrowstand_balancer::Micros;
use proptest::prelude::*;

use super::{ListFreshness, NextPoll, PollFailure, StalenessBounds};

/// Input of the property test: an event of a watch, applied some time after the previous one.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An event or a heartbeat arrives.
    Event,
    /// The watch ends, or a poll whose watch delivered no event.
    Ended,
    /// The poll fails at once, because discovery cannot be reached.
    Unreachable,
    /// The poll fails at once, because no process listens at the address of discovery.
    Refused,
    /// The poll fails after it has waited for discovery, which accepted it.
    Unanswered,
    /// The poll waits for so long that it is repeated.
    Delayed,
    /// The poll fails for a reason of the sidecar.
    LocalFailure,
    /// The watch stops delivering events, which is detected [`SILENCE_TIMEOUT`] later.
    Silent,
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
    /// When a new configuration last changed the address of discovery, until the next event.
    relocated_at: Option<Micros>,
    /// Start times of the polls.
    poll_starts: Vec<Micros>,
    /// The last poll failed.
    last_poll_failed: bool,
    /// Until when discovery had no change to notify that the list could be missing: the last event,
    /// or the last failed connection before discovery could be reached again.
    nothing_to_notify_until: Micros,
    /// Discovery could be reached since then.
    was_reachable: bool,
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
        if bounds.push_mode {
            return self.notified_after(drained_at, since, cause);
        }
        let by_cause = self.notified_after(drained_at, since, cause);
        // "A change counts as told at the latest 6 s after discovery had it and could be reached."
        let by_reach = drained_at.max(self.nothing_to_notify_until) + bounds.change_notice_delay;
        Some(by_cause.unwrap_or(by_reach).min(by_reach))
    }

    fn notified_after(
        &self,
        drained_at: Micros,
        since: Micros,
        cause: OutageCause,
    ) -> Option<Micros> {
        let bounds = &self.bounds;
        let last_poll = self.poll_starts.last().copied().filter(|&at| at >= since);
        let intervals = if self.last_poll_failed { 4 } else { 1 };
        Some(match (cause, bounds.push_mode) {
            (OutageCause::Silent, _) => drained_at.max(since + bounds.change_notice_delay),
            (OutageCause::Relocated, _) => drained_at.max(since + bounds.relocation_notice_delay),
            (OutageCause::Lost, true) => drained_at.max(since),
            (OutageCause::Lost, false) => {
                drained_at.max(last_poll?) + intervals * bounds.max_poll_interval
            }
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
            relocated_at: None,
            poll_starts: vec![now],
            last_poll_failed: false,
            nothing_to_notify_until: now,
            was_reachable: false,
        };
        Self {
            now,
            freshness,
            reference,
        }
    }

    /// Applies a step. A step that ends a watch or a poll is followed by the next poll.
    fn apply(&mut self, step: Step) {
        let is_poll_pending = self.reference.outage.is_some();
        match step {
            Step::Event => {
                self.freshness.on_watch_event(self.now);
                self.reference.outage = None;
                self.reference.relocated_at = None;
                self.reference.nothing_to_notify_until = self.now;
                self.reference.was_reachable = false;
                return;
            }
            Step::Ended => self.end_watch(),
            Step::Silent if !is_poll_pending => self.fall_silent(),
            Step::Unreachable if is_poll_pending => {
                self.fail_poll_at_once(PollFailure::Unreachable);
            }
            Step::Refused if is_poll_pending => {
                self.end_relocation_without_a_process();
                self.fail_poll_at_once(PollFailure::Refused);
            }
            Step::Unanswered if is_poll_pending => {
                self.fail_poll(PollFailure::Unanswered);
                self.reference.was_reachable = true;
            }
            // It shows nothing, so what counts as notified is what did before.
            Step::LocalFailure if is_poll_pending => self.record_failure(PollFailure::Local),
            Step::Delayed if is_poll_pending => {
                self.freshness.on_poll_delayed();
                self.reference.was_reachable = true;
            }
            Step::Relocated => self.relocate(),
            _ => return,
        }
        self.poll();
    }

    fn poll(&mut self) {
        self.freshness.on_poll_started(self.now);
        self.reference.poll_starts.push(self.now);
        self.reference.last_poll_failed = false;
    }

    fn fail_poll(&mut self, failure: PollFailure) {
        self.record_failure(failure);
        self.lose_list();
    }

    fn record_failure(&mut self, failure: PollFailure) {
        let started_at = self.reference.poll_starts.last().copied();
        let started_at = started_at.expect("a poll is pending");
        self.freshness.on_poll_failed(failure, started_at, self.now);
        self.reference.last_poll_failed = true;
    }

    /// Sends a poll that fails in the same moment.
    fn fail_poll_at_once(&mut self, failure: PollFailure) {
        self.poll();
        self.fail_poll(failure);
        if !self.reference.was_reachable {
            self.reference.nothing_to_notify_until = self.now;
        }
    }

    /// No process listens at the new address: once the changes there count as notified, there are
    /// none.
    fn end_relocation_without_a_process(&mut self) {
        let delay = self.reference.bounds.relocation_notice_delay;
        let relocated_at = self.reference.relocated_at;
        if relocated_at.is_some_and(|at| self.now >= at + delay) {
            self.reference.outage = Some((self.now, OutageCause::Lost));
        }
    }

    fn end_watch(&mut self) {
        self.freshness.on_watch_ended(self.now);
        // A watch that was opened and delivered no event shows that discovery could be reached.
        self.reference.was_reachable |= self.reference.outage.is_some();
        self.lose_list();
    }

    /// A poll that fails while no watch delivers events shows that discovery is down, or replaces
    /// the last poll.
    fn lose_list(&mut self) {
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
        self.reference.relocated_at = Some(self.now);
        // Of silence and relocation, the one that gives the earlier notification time applies.
        let bounds = &self.reference.bounds;
        let delay_difference = bounds.change_notice_delay - bounds.relocation_notice_delay;
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
        change_notice_delay: 6_000_000,
        relocation_notice_delay: 4_000_000,
        drain_slack,
    }
}

fn steps() -> impl Strategy<Value = Vec<(Step, Micros)>> {
    use Step::{
        Delayed, Ended, Event, LocalFailure, Refused, Relocated, Silent, Unanswered, Unreachable,
    };
    let step = prop_oneof![
        Just(Event),
        Just(Ended),
        Just(Silent),
        Just(Unreachable),
        Just(Refused),
        Just(Unanswered),
        Just(Delayed),
        Just(LocalFailure),
        Just(Relocated)
    ];
    prop::collection::vec((step, 1..9_000_000_u64), 0..8)
}

proptest! {
    /// After any sequence of events of watches and polls, with a poll pending that never gets a
    /// response: no attempt starts later than the drain grace period after the drain counts as
    /// notified, in both modes and for any grace period and poll interval.
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
        freshness.on_poll_failed(PollFailure::Unreachable, poll, poll + 1_000);
        assert_eq!(freshness.trusted_until(None), None, "down at {poll}");
    }

    freshness.on_poll_started(8_000_000);

    let expiry = freshness.trusted_until(None);
    assert!(
        expiry.is_some_and(|expiry| expiry < 8_250_000),
        "while the poll is pending: {expiry:?}"
    );

    freshness.on_poll_failed(PollFailure::Unanswered, 8_000_000, 9_000_000);

    assert_eq!(
        freshness.trusted_until(None),
        expiry,
        "the poll failed after its expiry: discovery is up"
    );

    freshness.on_watch_event(9_100_000);

    assert_eq!(freshness.trusted_until(None), None);
}

#[test]
fn only_a_recently_served_attempt_extends_the_trust_in_a_server() {
    let mut freshness = ListFreshness::new(bounds(false, 10_000_000, 500_000), 0);
    freshness.on_watch_event(1_000_000);

    freshness.on_watch_silent(1_000_000, 4_000_000);

    assert_eq!(freshness.next_poll(4_000_000), Some(NextPoll::Soon));
    assert_eq!(freshness.trusted_until(None), Some(7_500_000));
    assert_eq!(
        freshness.trusted_until(Some(4_500_000)),
        Some(7_500_000),
        "a response from before the notification does not extend the trust"
    );
    assert_eq!(freshness.trusted_until(Some(9_000_000)), Some(9_500_000));
}

/// Guards against a drain that a discovery notifies which came up at its new address after it had
/// refused a poll: what it has to tell counts as notified 4 s after the relocation.
#[test]
fn a_refused_connection_clears_the_expiry_of_a_relocation_once_its_notice_delay_is_over() {
    let mut freshness = ListFreshness::new(bounds(false, 10_000_000, 500_000), 0);
    freshness.on_watch_event(4_000_000);
    freshness.on_discovery_relocated(4_100_000);

    freshness.on_poll_failed(PollFailure::Refused, 4_150_000, 4_200_000);

    assert_eq!(freshness.trusted_until(None), Some(8_600_000));
    assert_eq!(freshness.next_poll(4_200_000), Some(NextPoll::Soon));

    freshness.on_poll_failed(PollFailure::Refused, 8_100_000, 8_150_000);

    assert_eq!(
        freshness.trusted_until(None),
        Some(14_600_000),
        "no process listens at the new address: a change counts as notified 6 s later"
    );
}

/// Guards against a list without an expiry: in poll mode each poll that was given up cleared it, so
/// that a discovery which accepted polls and answered none of them hid a drain without end.
#[test]
fn polls_that_discovery_accepts_and_does_not_answer_do_not_renew_the_list() {
    let mut freshness = ListFreshness::new(bounds(false, 10_000_000, 500_000), 0);
    freshness.on_watch_event(1_000_000);
    freshness.on_watch_ended(1_100_000);

    for poll in (2_000_000..40_000_000).step_by(4_000_000) {
        freshness.on_poll_started(poll);
        freshness.on_poll_delayed();
        assert_eq!(freshness.trusted_until(None), Some(7_500_000), "at {poll}");
        freshness.on_poll_failed(PollFailure::Unanswered, poll, poll + 3_900_000);
        assert_eq!(freshness.trusted_until(None), Some(7_500_000), "at {poll}");
    }

    freshness.on_watch_event(41_000_000);

    assert_eq!(freshness.trusted_until(None), None);
}

/// Guards against an outage of discovery that stops all traffic: one that makes polls wait before it
/// fails them looks like a crowded one, but a server that responds has not begun to drain, and a
/// drain that begins later counts as notified later.
#[test]
fn servers_that_respond_stay_in_use_while_polls_fail_after_a_wait() {
    let mut freshness = ListFreshness::new(bounds(false, 10_000_000, 500_000), 0);
    freshness.on_watch_event(1_000_000);
    freshness.on_watch_ended(1_100_000);

    for poll in (8_000_000..60_000_000).step_by(2_000_000) {
        freshness.on_poll_started(poll);
        freshness.on_poll_failed(PollFailure::Unanswered, poll, poll + 1_500_000);
        let now = poll + 1_900_000;
        let until = freshness.trusted_until(Some(now - 5_000_000));
        assert!(until.is_some_and(|until| now < until), "{until:?} at {now}");
    }

    assert_eq!(freshness.trusted_until(None), Some(7_500_000));
    assert_eq!(
        freshness.trusted_until(Some(50_000_000)),
        Some(56_500_000),
        "a drain after the response counts as notified 6 s later"
    );
}

/// Guards against a drain that counts as notified after the shorter poll interval.
#[test]
fn a_response_proves_no_more_than_a_poll_interval_where_that_is_short() {
    let mut freshness = ListFreshness::new(bounds(false, 2_000_000, 500_000), 0);
    freshness.on_watch_event(1_000_000);
    freshness.on_watch_ended(1_100_000);

    assert_eq!(freshness.trusted_until(Some(20_000_000)), Some(22_500_000));
}

/// Guards against a drain that a relocated discovery or one that pushes has told at once.
#[test]
fn a_response_proves_only_the_slack_after_a_relocation_and_where_lists_are_pushed() {
    let mut relocated = ListFreshness::new(bounds(false, 10_000_000, 500_000), 0);
    relocated.on_watch_event(1_000_000);
    relocated.on_discovery_relocated(1_100_000);

    assert_eq!(relocated.trusted_until(Some(20_000_000)), Some(20_500_000));

    let mut pushed = ListFreshness::new(bounds(true, 10_000_000, 500_000), 0);
    pushed.on_watch_event(1_000_000);
    pushed.on_poll_started(2_000_000);

    assert_eq!(pushed.trusted_until(Some(20_000_000)), Some(20_500_000));
}

/// Guards against an outage of discovery that stops all traffic: while it cannot be reached it
/// notifies nothing, and the next poll comes before the list would expire.
#[test]
fn the_list_of_a_sidecar_that_polls_stays_trusted_in_an_outage_of_discovery() {
    let mut freshness = ListFreshness::new(bounds(false, 10_000_000, 500_000), 0);
    freshness.on_watch_event(1_000_000);
    freshness.on_watch_ended(1_100_000);

    let mut now = 1_200_000;
    while now < 60_000_000 {
        let until = freshness.trusted_until(None);
        assert!(until.is_some_and(|until| now < until), "{until:?} at {now}");
        freshness.on_poll_started(now);
        freshness.on_poll_failed(PollFailure::Unreachable, now, now + 1_000);
        let Some(NextPoll::Within(time_left)) = freshness.next_poll(now + 1_000) else {
            panic!("no poll planned at {now}");
        };
        now += time_left;
    }
}

/// Guards against a failure of the sidecar itself, such as a lack of descriptors, that is taken for an
/// outage of discovery.
#[test]
fn a_poll_that_fails_for_a_local_reason_does_not_renew_a_pushed_list() {
    let mut freshness = ListFreshness::new(bounds(true, 10_000_000, 500_000), 0);
    freshness.on_watch_event(1_000_000);
    freshness.on_watch_ended(1_100_000);

    for poll in (1_200_000..9_000_000).step_by(200_000) {
        freshness.on_poll_started(poll);
        freshness.on_poll_failed(PollFailure::Local, poll, poll + 1_000);
        assert_eq!(freshness.trusted_until(None), Some(1_600_000), "at {poll}");
    }
}

/// Guards against a drain in an object that cannot be read, which counts as notified all the same.
#[test]
fn the_list_expires_half_a_grace_after_an_event_that_could_not_be_read() {
    for push_mode in [false, true] {
        let mut freshness = ListFreshness::new(bounds(push_mode, 10_000_000, 500_000), 0);
        freshness.on_watch_event(1_000_000);
        freshness.on_unreadable_event(2_000_000);
        freshness.on_poll_started(2_100_000);
        assert_eq!(freshness.trusted_until(None), Some(2_500_000));
        assert_eq!(freshness.next_poll(2_100_000), Some(NextPoll::Soon));
    }
}
