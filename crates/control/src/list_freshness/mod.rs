//! Expiry of the endpoint list: the time until which attempts may be sent to a server although the
//! list may be missing the server's drain. This module computes only that time. The balancer owns
//! the endpoints; the sidecar's discovery client owns the watch and its timeouts.
//!
//! The platform defines when a drain counts as notified, whether or not the notification arrived.
//! From that time on the server accepts requests only for the drain grace period. Attempts may use
//! the part of it called the slack. With the bounds of [`StalenessBounds`]:
//!
//! ```text
//! trusted until  = min(max(silence expiry, served + slack),
//!                      max(poll expiry,    served + slack [+ max poll interval]),
//!                      max(notice expiry,  served + slack + change notice delay))
//!
//! served         = start of the last attempt that the server has served
//! silence expiry = last event     + change notice delay     + slack  the watch was silent
//!                = event                                    + slack  it could not be read
//!                = relocation     + relocation notice delay + slack  discovery was relocated
//!                                                                    (minimum of those that apply)
//! poll expiry    = complete until                           + slack  push mode, poll pending
//!                = last poll      + max poll interval       + slack  poll mode, no watch
//!                = last poll      + 4 * max poll interval   + slack  poll mode, the poll failed
//! notice expiry  = complete until + change notice delay     + slack  poll mode, no watch
//! ```
//!
//! A server that has served an attempt was not draining when that began, so the drain that the list
//! may be missing is later. In poll mode without a watch it counts as notified only some time after
//! it was made: the maximum poll interval or the change notice delay, whichever is shorter. Thus
//! servers that respond stay in use while discovery does not. In push mode, and what a silent watch
//! or a relocated discovery has missed, it may count as notified at once.
//!
//! A term whose condition does not apply is absent. If all are absent, the list is current and is
//! trusted without limit. A watch event clears all of them.
//!
//! In poll mode the list is complete until the last event of a watch. An outage of discovery must
//! not stop all traffic, so a poll that finds discovery unreachable moves that time to the start of
//! the poll: nothing was notified in between. It no longer does once discovery could be reached
//! without telling its changes, because a change may have been made then.

mod bounds;
mod expiry;
mod polls;
#[cfg(test)]
mod tests;

use arrowstand_balancer::Micros;

pub use bounds::StalenessBounds;
pub use polls::{NextPoll, PollFailure};

/// How much longer than the maximum poll interval a list is valid after a poll that failed
/// (`safety.ask-every-ms`).
const FAILED_POLL_FACTOR: Micros = 4;

/// Whether a watch keeps the list current in poll mode.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchState {
    /// The last poll has delivered an event, and its watch is open.
    Open,
    /// There is no watch that has delivered an event.
    Lost {
        /// Discovery could be reached since the list was last complete.
        was_reachable: bool,
    },
}

/// Tracks the watch on discovery and computes when its endpoint list expires. The times passed in
/// must not decrease.
#[derive(Clone, Copy, Debug)]
pub struct ListFreshness {
    bounds: StalenessBounds,
    /// No drain that is missing from the list counts as notified before this time in push mode, or
    /// was made before it in poll mode.
    complete_until: Micros,
    watch: WatchState,
    /// Earliest time at which a drain missing from the list may forbid attempts, after a silent
    /// watch, an unreadable event or a relocation of discovery. Cleared by the next watch event.
    silence_expiry: Option<Micros>,
    /// The same for a pending poll in push mode, and for the time since the last poll in poll mode.
    poll_expiry: Option<Micros>,
    /// When changes at the new address of a relocated discovery count as notified, until that has
    /// sent an event.
    relocation_notified_at: Option<Micros>,
}

impl ListFreshness {
    /// Creates the state at process start, with a list of unknown age.
    pub fn new(bounds: StalenessBounds, now: Micros) -> Self {
        Self {
            bounds,
            complete_until: now,
            watch: WatchState::Lost {
                was_reachable: false,
            },
            silence_expiry: None,
            poll_expiry: None,
            relocation_notified_at: None,
        }
    }

    /// Records an event or a heartbeat on the watch, which makes the list current.
    pub fn on_watch_event(&mut self, now: Micros) {
        self.complete_until = self.complete_until.max(now);
        self.watch = WatchState::Open;
        self.silence_expiry = None;
        self.poll_expiry = None;
        self.relocation_notified_at = None;
    }

    /// Records the start of a poll: a call that opens a watch.
    pub fn on_poll_started(&mut self, now: Micros) {
        if self.bounds.push_mode {
            self.poll_expiry
                .get_or_insert(self.complete_until + self.bounds.drain_slack);
        } else {
            self.limit_age_from_poll(now, 1);
        }
    }

    /// Records that a poll has waited for so long that discovery, which accepted it, must be busy.
    pub fn on_poll_delayed(&mut self) {
        self.mark_reachable();
    }

    /// Records that the poll that started at `started_at` failed.
    pub fn on_poll_failed(&mut self, failure: PollFailure, started_at: Micros, now: Micros) {
        // A process that comes up at the new address later than that has notified nothing by then.
        let is_after_relocation_notice = self
            .relocation_notified_at
            .is_some_and(|notified_at| started_at >= notified_at);
        if failure == PollFailure::Refused && is_after_relocation_notice {
            self.silence_expiry = None;
        }
        if self.bounds.push_mode {
            if failure != PollFailure::Local {
                self.on_push_lost(now);
            }
            return;
        }
        match failure {
            PollFailure::Refused | PollFailure::Unreachable => self.on_unreachable_at(started_at),
            PollFailure::Unanswered => self.mark_reachable(),
            PollFailure::Local => {}
        }
        self.limit_age_from_poll(started_at, FAILED_POLL_FACTOR);
    }

    /// Records that an open watch ended for a reason other than silence.
    pub fn on_watch_ended(&mut self, now: Micros) {
        if self.bounds.push_mode {
            self.on_push_lost(now);
        } else {
            self.lose_watch();
            self.limit_age_from_poll(now, 1);
        }
    }

    /// Records that an open watch ended because what it delivered could not be read: the changes in it
    /// count as notified, and the list is missing them.
    pub fn on_unreadable_event(&mut self, now: Micros) {
        self.lower_silence_expiry(now + self.bounds.drain_slack);
        self.on_watch_ended(now);
    }

    /// Records that a watch was closed because no event came after `last_event_at`.
    pub fn on_watch_silent(&mut self, last_event_at: Micros, now: Micros) {
        let bounds = &self.bounds;
        let expiry = last_event_at + bounds.change_notice_delay + bounds.drain_slack;
        self.lower_silence_expiry(expiry);
        self.on_watch_ended(now);
    }

    /// Records that a new configuration changed the address of discovery, and that the watch or
    /// poll on the old address was given up.
    pub fn on_discovery_relocated(&mut self, now: Micros) {
        let notified_at = now + self.bounds.relocation_notice_delay;
        self.relocation_notified_at = Some(notified_at);
        self.lower_silence_expiry(notified_at + self.bounds.drain_slack);
        if self.bounds.push_mode {
            self.complete_until = notified_at;
            self.poll_expiry = None;
        } else if self.watch == WatchState::Open {
            self.lose_watch();
        }
    }

    /// When discovery must be polled again if there is no watch; `None` if that is left to the
    /// balancer, whose backoff limits the load on discovery.
    pub fn next_poll(&self, now: Micros) -> Option<NextPoll> {
        if self.bounds.push_mode || self.silence_expiry.is_some() {
            return Some(NextPoll::Soon);
        }
        let notified_at = self.complete_until + self.bounds.change_notice_delay;
        (now < notified_at).then(|| NextPoll::Within(notified_at - now))
    }

    /// In push mode, records that a watch or a poll ended. A poll that fails before its expiry
    /// shows that discovery is down and cannot notify changes. A poll that fails after its expiry
    /// shows that discovery is up but overloaded.
    fn on_push_lost(&mut self, now: Micros) {
        if self.poll_expiry.is_some_and(|expiry| now < expiry) {
            self.poll_expiry = None;
        }
        self.complete_until = self.complete_until.max(now);
    }

    /// Records that discovery could not be reached at this time.
    fn on_unreachable_at(&mut self, at: Micros) {
        let was_reachable = WatchState::Lost {
            was_reachable: true,
        };
        if self.watch != was_reachable {
            self.complete_until = self.complete_until.max(at);
        }
    }

    fn mark_reachable(&mut self) {
        self.watch = WatchState::Lost {
            was_reachable: true,
        };
    }

    /// Records that there is no watch any more. One that delivered no event has missed the changes
    /// that discovery could have told.
    fn lose_watch(&mut self) {
        self.watch = WatchState::Lost {
            was_reachable: self.watch != WatchState::Open,
        };
    }

    /// In poll mode, limits the age of the list to a number of poll intervals after a poll.
    fn limit_age_from_poll(&mut self, polled_at: Micros, intervals: Micros) {
        let valid_until = polled_at + intervals * self.bounds.max_poll_interval;
        self.poll_expiry = Some(valid_until + self.bounds.drain_slack);
    }

    fn lower_silence_expiry(&mut self, expiry: Micros) {
        self.silence_expiry = Some(self.silence_expiry.map_or(expiry, |old| old.min(expiry)));
    }
}
