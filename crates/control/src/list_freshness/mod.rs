//! Expiry of the endpoint list: the time until which attempts may be sent to a server although the
//! list may be missing the server's drain. This module computes only that time. The balancer owns
//! the endpoints; the sidecar's discovery client owns the watch and its timeouts.
//!
//! The platform defines when a drain counts as notified, whether or not the notification arrived.
//! From that time on the server accepts requests only for the drain grace period. Attempts may use
//! the part of it called the slack. With the bounds of [`StalenessBounds`]:
//!
//! ```text
//! trusted until  = max(min(silence expiry, poll expiry), start of last served attempt + slack)
//!
//! silence expiry = last event    + silence notice delay    + slack   the watch was silent
//!                = relocation    + relocation notice delay + slack   discovery was relocated
//!                                                                    (minimum if both apply)
//! poll expiry    = complete until                          + slack   push mode, poll pending
//!                = start of poll + max poll interval       + slack   poll mode, poll pending
//! ```
//!
//! A term whose condition does not apply is absent. If both the silence expiry and the poll expiry
//! are absent, the list is current and is trusted without limit. A watch event clears both.

use arrowstand_balancer::Micros;

/// Limits on the age of the endpoint list, derived from the settings. Times are in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StalenessBounds {
    /// Discovery pushes changes: a change counts as notified whether or not a watch is open.
    pub push_mode: bool,
    /// In poll mode, how long a list is valid after the last poll.
    pub max_poll_interval: Micros,
    /// Time after the last event of a silent watch at which the changes that it missed count as
    /// notified.
    pub silence_notice_delay: Micros,
    /// Time after a change of discovery's configured address at which changes at the new address
    /// count as notified.
    pub relocation_notice_delay: Micros,
    /// Part of the drain grace period that may pass before an attempt's first byte is sent. The
    /// rest covers bytes in transit.
    pub drain_slack: Micros,
}

/// Tracks the watch on discovery and computes when its endpoint list expires. The times passed in
/// must not decrease.
#[derive(Clone, Copy, Debug)]
pub struct ListFreshness {
    bounds: StalenessBounds,
    /// In push mode, no drain that is missing from the list counts as notified before this time.
    complete_until: Micros,
    /// Earliest time at which a drain missing from the list may forbid attempts, after a silent
    /// watch or a relocation of discovery. Cleared by the next watch event.
    silence_expiry: Option<Micros>,
    /// The same for a pending poll.
    poll_expiry: Option<Micros>,
    /// Discovery was relocated and the new address has not sent an event yet. Until it does, a
    /// refused connection means that no process listens there.
    relocated: bool,
}

impl ListFreshness {
    /// Creates the state at process start, with a list of unknown age.
    pub fn new(bounds: StalenessBounds, now: Micros) -> Self {
        Self {
            bounds,
            complete_until: now,
            silence_expiry: None,
            poll_expiry: None,
            relocated: false,
        }
    }

    /// Records an event or a heartbeat on the watch, which makes the list current.
    pub fn on_watch_event(&mut self) {
        self.silence_expiry = None;
        self.poll_expiry = None;
        self.relocated = false;
    }

    /// Records the start of a poll: a call that opens a watch.
    pub fn on_poll_started(&mut self, now: Micros) {
        let valid_until = if self.bounds.push_mode {
            self.complete_until
        } else {
            now + self.bounds.max_poll_interval
        };
        self.poll_expiry
            .get_or_insert(valid_until + self.bounds.drain_slack);
    }

    /// Records that a watch or a poll ended for a reason other than silence.
    pub fn on_watch_ended(&mut self, now: Micros) {
        // A poll that fails before its expiry shows that discovery is down and cannot notify
        // changes: an outage of discovery must not stop all traffic. A poll that fails after its
        // expiry shows that discovery is up but overloaded. In poll mode, a failed poll keeps the
        // old list valid for four times as long (`safety.ask-every-ms`).
        if !self.bounds.push_mode || self.poll_expiry.is_some_and(|expiry| now < expiry) {
            self.poll_expiry = None;
        }
        self.complete_until = self.complete_until.max(now);
    }

    /// Records that a poll was abandoned without a response. In push mode the poll expiry stays,
    /// because discovery may be up.
    pub fn on_poll_abandoned(&mut self) {
        if !self.bounds.push_mode {
            self.poll_expiry = None;
        }
    }

    /// Records that a watch was closed because no event came after `last_event_at`.
    pub fn on_watch_silent(&mut self, last_event_at: Micros, now: Micros) {
        let bounds = &self.bounds;
        let expiry = last_event_at + bounds.silence_notice_delay + bounds.drain_slack;
        self.lower_silence_expiry(expiry);
        self.on_watch_ended(now);
    }

    /// Records that a new configuration changed the address of discovery.
    pub fn on_discovery_relocated(&mut self, now: Micros) {
        self.relocated = true;
        self.complete_until = now + self.bounds.relocation_notice_delay;
        self.poll_expiry = None;
        self.lower_silence_expiry(self.complete_until + self.bounds.drain_slack);
    }

    /// Records that discovery refused the connection. After a relocation this means that no process
    /// is running at the new address, so the list cannot be missing a notified change.
    pub fn on_poll_refused(&mut self, now: Micros) {
        if self.relocated {
            self.silence_expiry = None;
        }
        self.on_watch_ended(now);
    }

    /// True while the list may be missing a drain, now or later. Discovery is then polled before the
    /// balancer's backoff ends.
    pub fn needs_early_poll(&self) -> bool {
        self.bounds.push_mode || self.silence_expiry.is_some()
    }

    /// Time from which no attempt may be sent to a server, or `None` while the list is current.
    /// `last_served_sent_at` is the latest send time of the attempts that the server has served,
    /// which proves that the server was not draining at that time.
    pub fn trusted_until(&self, last_served_sent_at: Option<Micros>) -> Option<Micros> {
        let expiry = [self.silence_expiry, self.poll_expiry]
            .into_iter()
            .flatten()
            .min()?;
        Some(last_served_sent_at.map_or(expiry, |at| expiry.max(at + self.bounds.drain_slack)))
    }

    fn lower_silence_expiry(&mut self, expiry: Micros) {
        self.silence_expiry = Some(self.silence_expiry.map_or(expiry, |old| old.min(expiry)));
    }
}

#[cfg(test)]
mod tests;
