//! How long a list may be trusted: from when on a first byte to a server could break its drain's grace, because the
//! drain counts as told though no list has shown it. Owns that one instant; what is listed is the module's.

use arrowstand_balancer::Micros;

/// What follows from the settings, derived in one place by whoever reads them. `slack` is what of a drain's grace may
/// pass before a first byte; the rest is for what is on its way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Terms {
    /// What discovery has counts as told whether or not a watch is open.
    pub pushed: bool,
    /// Without a watch, a list is good for this long from the last call.
    pub ask_every: Micros,
    /// What a silent watch misses counts as told so long after its last word.
    pub silent: Micros,
    /// What a new discovery has counts as told so long after the program was told of it.
    pub moved: Micros,
    /// What of a drain's grace may pass before a first byte.
    pub slack: Micros,
}

/// Follows the state of discovery's watch. Each event names its time; times only rise.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    terms: Terms,
    /// Until then nothing counts as told that the list does not show, where lists are pushed.
    told: Micros,
    /// From a watch that fell silent or a discovery that moved, until a list is heard.
    silent: Option<Micros>,
    /// From a call that is not answered yet.
    pending: Option<Micros>,
    /// Discovery has moved, and nothing has come from there yet.
    moved: bool,
}

impl Freshness {
    /// A program that starts at `now`, with a list of which the age is not known.
    pub fn new(terms: Terms, now: Micros) -> Self {
        Self {
            terms,
            told: now,
            silent: None,
            pending: None,
            moved: false,
        }
    }

    /// A line has come on a watch: from here the list is what discovery has.
    pub fn heard(&mut self) {
        (self.silent, self.pending, self.moved) = (None, None, false);
    }

    /// A call for a watch begins.
    pub fn calling(&mut self, now: Micros) {
        let terms = &self.terms;
        let good = if terms.pushed {
            self.told
        } else {
            now + terms.ask_every
        };
        self.pending.get_or_insert(good + terms.slack);
    }

    /// A watch or a call has ended, and not by silence.
    pub fn lost(&mut self, now: Micros) {
        // Guards against an outage that stops all service: a call that fails at once tells that discovery is down, and
        // then it has nothing to tell. One that has waited beyond its time tells that it is there, and crowded; where
        // lists are asked for, a failed call makes the old list good for four times as long.
        if !self.terms.pushed || self.pending.is_some_and(|from| now < from) {
            self.pending = None;
        }
        self.told = self.told.max(now);
    }

    /// A call was given up unanswered. Where lists are pushed that tells nothing: what is not heard may be there.
    pub fn unanswered(&mut self) {
        if !self.terms.pushed {
            self.pending = None;
        }
    }

    /// A watch has ended that said nothing more after `heard`.
    pub fn fell_silent(&mut self, heard: Micros, now: Micros) {
        let from = heard + self.terms.silent + self.terms.slack;
        self.silent = Some(self.silent.map_or(from, |old| old.min(from)));
        self.lost(now);
    }

    /// The program was told that discovery is elsewhere.
    pub fn moved(&mut self, now: Micros) {
        self.moved = true;
        self.told = now + self.terms.moved;
        let from = self.told + self.terms.slack;
        self.pending = None;
        self.silent = Some(self.silent.map_or(from, |old| old.min(from)));
    }

    /// Nobody listens at discovery's address: who is not there after a move has nothing to tell.
    pub fn refused(&mut self, now: Micros) {
        if self.moved {
            self.silent = None;
        }
        self.lost(now);
    }

    /// True while a drain may be hidden sooner or later: calls are made without a pause of the module's.
    pub fn urgent(&self) -> bool {
        self.terms.pushed || self.silent.is_some()
    }

    /// From when on no first byte goes to a server; `served` is when the last request was begun that it served, which
    /// shows that it did not drain then. Nothing while the list is what discovery has.
    pub fn until(&self, served: Option<Micros>) -> Option<Micros> {
        let from = [self.silent, self.pending].into_iter().flatten().min()?;
        Some(served.map_or(from, |begun| from.max(begun + self.terms.slack)))
    }
}

#[cfg(test)]
mod tests;
