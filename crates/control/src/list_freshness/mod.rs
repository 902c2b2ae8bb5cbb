//! How long a list may be trusted: from when on a first byte to a server could break its drain's grace, because the
//! drain counts as told though no list has shown it. Owns that one instant; what is listed is the module's.

use arrowstand_balancer::Micros;

/// What follows from the settings, derived in one place by whoever reads them. `slack` is what of a drain's grace may
/// pass before a first byte; the rest is for what is on its way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StalenessBounds {
    /// What discovery has counts as told whether or not a watch is open.
    pub pushed: bool,
    /// Without a watch, a list is good for this long from the last call.
    pub max_poll_interval: Micros,
    /// What a silent watch misses counts as told so long after its last word.
    pub watch_silence: Micros,
    /// What a new discovery has counts as told so long after the program was told of it.
    pub relocation_delay: Micros,
    /// What of a drain's grace may pass before a first byte.
    pub drain_slack: Micros,
}

/// Follows the state of discovery's watch. Each event names its time; times only rise.
#[derive(Clone, Copy, Debug)]
pub struct ListFreshness {
    bounds: StalenessBounds,
    /// Until then nothing counts as told that the list does not show, where lists are pushed.
    known_until: Micros,
    /// From a watch that fell silent or a discovery that moved, until a list is heard.
    silent_from: Option<Micros>,
    /// From a call that is not answered yet.
    unanswered_from: Option<Micros>,
    /// Discovery has moved, and nothing has come from there yet.
    relocated: bool,
}

impl ListFreshness {
    /// A program that starts at `now`, with a list of which the age is not known.
    pub fn new(terms: StalenessBounds, now: Micros) -> Self {
        Self {
            bounds: terms,
            known_until: now,
            silent_from: None,
            unanswered_from: None,
            relocated: false,
        }
    }

    /// A line has come on a watch: from here the list is what discovery has.
    pub fn on_watch_event(&mut self) {
        (self.silent_from, self.unanswered_from, self.relocated) = (None, None, false);
    }

    /// A call for a watch begins.
    pub fn on_poll_started(&mut self, now: Micros) {
        let bounds = &self.bounds;
        let good = if bounds.pushed {
            self.known_until
        } else {
            now + bounds.max_poll_interval
        };
        self.unanswered_from
            .get_or_insert(good + bounds.drain_slack);
    }

    /// A watch or a call has ended, and not by silence.
    pub fn on_watch_ended(&mut self, now: Micros) {
        // Guards against an outage that stops all service: a call that fails at once tells that discovery is down, and
        // then it has nothing to tell. One that has waited beyond its time tells that it is there, and crowded; where
        // lists are asked for, a failed call makes the old list good for four times as long.
        if !self.bounds.pushed || self.unanswered_from.is_some_and(|from| now < from) {
            self.unanswered_from = None;
        }
        self.known_until = self.known_until.max(now);
    }

    /// A call was given up unanswered. Where lists are pushed that tells nothing: what is not heard may be there.
    pub fn on_poll_abandoned(&mut self) {
        if !self.bounds.pushed {
            self.unanswered_from = None;
        }
    }

    /// A watch has ended that said nothing more after `heard`.
    pub fn on_watch_silent(&mut self, heard: Micros, now: Micros) {
        let from = heard + self.bounds.watch_silence + self.bounds.drain_slack;
        self.silent_from = Some(self.silent_from.map_or(from, |old| old.min(from)));
        self.on_watch_ended(now);
    }

    /// The program was told that discovery is elsewhere.
    pub fn on_discovery_relocated(&mut self, now: Micros) {
        self.relocated = true;
        self.known_until = now + self.bounds.relocation_delay;
        let from = self.known_until + self.bounds.drain_slack;
        self.unanswered_from = None;
        self.silent_from = Some(self.silent_from.map_or(from, |old| old.min(from)));
    }

    /// Nobody listens at discovery's address: who is not there after a move has nothing to tell.
    pub fn on_poll_refused(&mut self, now: Micros) {
        if self.relocated {
            self.silent_from = None;
        }
        self.on_watch_ended(now);
    }

    /// True while a drain may be hidden sooner or later: calls are made without a pause of the module's.
    pub fn needs_immediate_poll(&self) -> bool {
        self.bounds.pushed || self.silent_from.is_some()
    }

    /// From when on no first byte goes to a server; `served` is when the last request was begun that it served, which
    /// shows that it did not drain then. Nothing while the list is what discovery has.
    pub fn trusted_until(&self, served: Option<Micros>) -> Option<Micros> {
        let from = [self.silent_from, self.unanswered_from]
            .into_iter()
            .flatten()
            .min()?;
        Some(served.map_or(from, |begun| from.max(begun + self.bounds.drain_slack)))
    }
}

#[cfg(test)]
mod tests;
