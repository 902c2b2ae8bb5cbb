use proptest::prelude::*;

use super::*;

/// What may happen to a watch; each is played some time after the one before.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A line or a heartbeat comes.
    Line,
    /// The watch or the call ends.
    Reset,
    /// The watch says nothing more: noticed `SILENCE` later.
    Silence,
    /// A call is given up.
    GiveUp,
    /// A new configuration names another discovery.
    Move,
}

const SILENCE: Micros = 3_000_000;

/// The page's own words on what counts as told, kept apart from the code: since when a change that was made at `made`
/// counts, given all that happened. Nothing where the page names no time.
struct Page {
    terms: StalenessBounds,
    /// Since when nothing has come, and how that began.
    dark: Option<(Micros, Dark)>,
    /// When discovery was last seen to be there, or to be down.
    calls: Vec<Micros>,
}

#[derive(Clone, Copy, PartialEq)]
enum Dark {
    Silent,
    Moved,
    Lost,
}

impl Page {
    /// A drain at `made`, in the dark, counts as told then at the earliest.
    fn told(&self, made: Micros) -> Option<Micros> {
        let (since, how) = self.dark?;
        let last_call = self.calls.last().copied().filter(|&at| at >= since);
        Some(match (how, self.terms.pushed) {
            (Dark::Silent, _) => made.max(since + self.terms.watch_silence),
            (Dark::Moved, _) => made.max(since + self.terms.relocation_delay),
            (Dark::Lost, true) => made.max(since),
            (Dark::Lost, false) => made.max(last_call?) + self.terms.max_poll_interval,
        })
    }
}

fn steps() -> impl Strategy<Value = Vec<(Step, Micros)>> {
    use Step::{GiveUp, Line, Move, Reset, Silence};
    let step = prop_oneof![
        Just(Line),
        Just(Reset),
        Just(Silence),
        Just(GiveUp),
        Just(Move)
    ];
    prop::collection::vec((step, 1..9_000_000_u64), 0..8)
}

proptest! {
    /// Whatever happens to the watch: with a call waiting that nobody answers, no first byte goes out later than a
    /// drain's grace after the drain counts as told, in both modes, at any grace and any time for asking.
    #[test]
    fn a_hidden_drain_is_borne_no_longer_than_its_grace(
        pushed in any::<bool>(),
        ask_every in 500_000..20_000_000_u64,
        grace in 500_000..10_000_000_u64,
        steps in steps(),
        made_after in 0..20_000_000_u64,
        proof in prop::option::of(0..1_000_000_u64),
    ) {
        let terms = StalenessBounds { pushed, max_poll_interval: ask_every, watch_silence: 6_000_000, relocation_delay: 4_000_000, drain_slack: grace / 2 };
        let mut now = 100_000_000;
        let mut list = ListFreshness::new(terms, now);
        let mut page = Page { terms, dark: Some((now, Dark::Lost)), calls: vec![now] };
        list.on_poll_started(now);
        for (step, after) in steps {
            now += after;
            match step {
                Step::Line => {
                    list.on_watch_event();
                    page.dark = None;
                    continue;
                }
                // What breaks in the dark tells that discovery is down, or moves the last call.
                Step::Reset => {
                    list.on_watch_ended(now);
                    if page.dark.is_none_or(|(_, how)| how == Dark::Lost) {
                        page.dark = Some((now, Dark::Lost));
                    }
                }
                Step::Silence if page.dark.is_none() => {
                    let heard = now;
                    now += SILENCE;
                    list.on_watch_silent(heard, now);
                    page.dark = Some((heard, Dark::Silent));
                }
                Step::GiveUp if page.dark.is_some() => list.on_poll_abandoned(),
                Step::Silence | Step::GiveUp => continue,
                Step::Move => {
                    list.on_discovery_relocated(now);
                    // What had counted as told before does so still.
                    if page.dark.is_none_or(|(since, how)| how == Dark::Lost || since + 2_000_000 > now) {
                        page.dark = Some((now, Dark::Moved));
                    }
                }
            }
            list.on_poll_started(now);
            page.calls.push(now);
        }
        let Some((since, _)) = page.dark else {
            prop_assert_eq!(list.trusted_until(None), None, "the list is what discovery has");
            return Ok(());
        };
        let made = since + made_after;
        let Some(told) = page.told(made) else { return Ok(()) };
        let served = proof.map(|ago| made.saturating_sub(ago));
        let until = list.trusted_until(served);
        prop_assert!(
            until.is_some_and(|until| until <= told + grace),
            "made at {made}, told at {told}, bound at {until:?}, {list:?}"
        );
    }
}

#[test]
fn an_outage_stops_no_service_and_a_crowded_discovery_does() {
    let terms = StalenessBounds {
        pushed: true,
        max_poll_interval: 10_000_000,
        watch_silence: 6_000_000,
        relocation_delay: 4_000_000,
        drain_slack: 250_000,
    };
    let mut list = ListFreshness::new(terms, 0);
    for call in (0..8_000_000).step_by(200_000) {
        list.on_poll_started(call);
        list.on_watch_ended(call + 1_000);
        assert_eq!(list.trusted_until(None), None, "down at {call}");
    }
    list.on_poll_started(8_000_000);
    let from = list.trusted_until(None);
    assert!(
        from.is_some_and(|from| from < 8_250_000),
        "waiting: {from:?}"
    );
    list.on_watch_ended(9_000_000);
    assert_eq!(
        list.trusted_until(None),
        from,
        "it waited and failed: discovery is there"
    );
    list.on_watch_event();
    assert_eq!(list.trusted_until(None), None);
}

#[test]
fn only_a_recent_answer_speaks_for_a_server() {
    let terms = StalenessBounds {
        pushed: false,
        max_poll_interval: 10_000_000,
        watch_silence: 6_000_000,
        relocation_delay: 4_000_000,
        drain_slack: 500_000,
    };
    let mut list = ListFreshness::new(terms, 0);
    list.on_watch_silent(1_000_000, 4_000_000);
    assert!(list.needs_immediate_poll());
    assert_eq!(list.trusted_until(None), Some(7_500_000));
    assert_eq!(
        list.trusted_until(Some(4_500_000)),
        Some(7_500_000),
        "an answer before the drain counts is no news"
    );
    assert_eq!(list.trusted_until(Some(9_000_000)), Some(9_500_000));
    list.on_discovery_relocated(4_100_000);
    list.on_poll_refused(4_200_000);
    assert_eq!(
        list.trusted_until(None),
        None,
        "nobody is there after a move"
    );
}
