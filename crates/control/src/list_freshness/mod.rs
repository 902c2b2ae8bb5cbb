//! How long the endpoint list may be trusted: until when an attempt may be sent although the list
//! may hide that its server is draining. Owns that one instant; the endpoints themselves are owned
//! by the balancer, the watch and its time-outs by the sidecar's discovery.
//!
//! A drain counts as notified at a time that the platform states, whether or not the notification
//! arrived. From then on the server accepts requests for the drain grace only, of which attempts
//! may use the slack. With the bounds of [`StalenessBounds`] the law is
//!
//! ```text
//! trusted until   = max(min(silent from, unanswered from), last served attempt's begin + slack)
//!
//! silent from     = last event   + watch silence     + slack   the watch fell silent
//!                 = relocation   + relocation delay  + slack   discovery was relocated
//!                                                              (the earlier, where both hold)
//! unanswered from = known until                      + slack   lists are pushed, a poll pending
//!                 = poll's begin + max poll interval + slack   lists are polled, a poll pending
//! ```
//!
//! A term whose condition does not hold is absent; without both of the first two the list is what
//! discovery has and is trusted without bound. A watch event clears both.

use arrowstand_balancer::Micros;

/// The bounds that follow from the settings; all in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StalenessBounds {
    /// Discovery pushes its changes: a change counts as notified whether or not a watch is open.
    pub pushed: bool,
    /// Without a push, a list is valid for this long from the last poll.
    pub max_poll_interval: Micros,
    /// What a silent watch misses counts as notified this long after its last event.
    pub watch_silence: Micros,
    /// What a relocated discovery has to say counts as notified this long after the relocation was
    /// configured.
    pub relocation_delay: Micros,
    /// The part of the drain grace that may pass before an attempt's first byte; the rest is for
    /// bytes that are on their way.
    pub drain_slack: Micros,
}

/// Follows the state of the watch on discovery. Each event carries its time; times never fall.
#[derive(Clone, Copy, Debug)]
pub struct ListFreshness {
    bounds: StalenessBounds,
    /// Where lists are pushed: until then only what the list shows counts as notified.
    known_until: Micros,
    /// Set when a watch falls silent or discovery is relocated, cleared by the next watch event:
    /// the earliest time at which a drain that the list hides may forbid attempts.
    silent_from: Option<Micros>,
    /// The same for a poll that is not answered yet.
    unanswered_from: Option<Micros>,
    /// Discovery was relocated, and nothing has come from the new address yet: until then a refused
    /// connection means that nothing listens there.
    relocated: bool,
}

impl ListFreshness {
    /// The state at the start of the program, with a list of unknown age.
    pub fn new(bounds: StalenessBounds, now: Micros) -> Self {
        Self {
            bounds,
            known_until: now,
            silent_from: None,
            unanswered_from: None,
            relocated: false,
        }
    }

    /// An event or a heartbeat came on the watch: the list is now what discovery has.
    pub fn on_watch_event(&mut self) {
        self.silent_from = None;
        self.unanswered_from = None;
        self.relocated = false;
    }

    /// A call that opens a watch begins.
    pub fn on_poll_started(&mut self, now: Micros) {
        let valid_until = if self.bounds.pushed {
            self.known_until
        } else {
            now + self.bounds.max_poll_interval
        };
        self.unanswered_from
            .get_or_insert(valid_until + self.bounds.drain_slack);
    }

    /// A watch or a call ended, other than by silence.
    pub fn on_watch_ended(&mut self, now: Micros) {
        // A call that fails at once shows that discovery is down, and then there is nothing to be
        // notified of: an outage of discovery must not stop all service. One that failed after its
        // time shows that discovery is there and overloaded. Where lists are polled, a failed call
        // keeps the old list valid for four times as long (`safety.ask-every-ms`).
        if !self.bounds.pushed || self.unanswered_from.is_some_and(|from| now < from) {
            self.unanswered_from = None;
        }
        self.known_until = self.known_until.max(now);
    }

    /// A call was abandoned unanswered. Where lists are pushed that proves nothing: discovery may
    /// be there.
    pub fn on_poll_abandoned(&mut self) {
        if !self.bounds.pushed {
            self.unanswered_from = None;
        }
    }

    /// A watch ended because nothing came after `last_event_at`.
    pub fn on_watch_silent(&mut self, last_event_at: Micros, now: Micros) {
        let from = last_event_at + self.bounds.watch_silence + self.bounds.drain_slack;
        self.limit_silence(from);
        self.on_watch_ended(now);
    }

    /// A new configuration names another address for discovery.
    pub fn on_discovery_relocated(&mut self, now: Micros) {
        self.relocated = true;
        self.known_until = now + self.bounds.relocation_delay;
        self.unanswered_from = None;
        self.limit_silence(self.known_until + self.bounds.drain_slack);
    }

    /// The connection to discovery was refused: a process that is absent after a relocation has
    /// nothing to say.
    pub fn on_poll_refused(&mut self, now: Micros) {
        if self.relocated {
            self.silent_from = None;
        }
        self.on_watch_ended(now);
    }

    /// True while the list may hide a drain, now or later: polls are then repeated without the
    /// balancer's backoff.
    pub fn needs_immediate_poll(&self) -> bool {
        self.bounds.pushed || self.silent_from.is_some()
    }

    /// The time from which no attempt may be sent to a server, or `None` while the list is what
    /// discovery has. `last_served_begin` is when the latest attempt began that the server served,
    /// which proves that it was not draining then.
    pub fn trusted_until(&self, last_served_begin: Option<Micros>) -> Option<Micros> {
        let from = [self.silent_from, self.unanswered_from]
            .into_iter()
            .flatten()
            .min()?;
        Some(last_served_begin.map_or(from, |begin| from.max(begin + self.bounds.drain_slack)))
    }

    fn limit_silence(&mut self, from: Micros) {
        self.silent_from = Some(self.silent_from.map_or(from, |earlier| earlier.min(from)));
    }
}

#[cfg(test)]
mod tests;
