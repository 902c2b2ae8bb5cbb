//! The time from which no attempt may be sent to a server, derived from the state of the list and
//! the server's last response.

use arrowstand_balancer::Micros;

use super::{ListFreshness, WatchState};

/// A time from which a drain that the list is missing may forbid attempts.
#[derive(Clone, Copy)]
struct Expiry {
    /// The time, for a server of which nothing else is known.
    at: Micros,
    /// How long after a drain that is made later that one counts as notified at the earliest.
    notice_delay: Micros,
}

impl Expiry {
    /// The time for a server that was not draining at `served_at`.
    fn for_server(self, served_at: Option<Micros>, drain_slack: Micros) -> Micros {
        let proven_until = served_at.map_or(0, |at| at + self.notice_delay + drain_slack);
        self.at.max(proven_until)
    }
}

impl ListFreshness {
    /// Time from which no attempt may be sent to a server, or `None` while the list is current.
    /// `last_served_sent_at` is the latest send time of the attempts that the server has served,
    /// which proves that the server was not draining at that time.
    pub fn trusted_until(&self, last_served_sent_at: Option<Micros>) -> Option<Micros> {
        let slack = self.bounds.drain_slack;
        [self.after_silence(), self.after_poll(), self.after_notice()]
            .into_iter()
            .flatten()
            .map(|expiry| expiry.for_server(last_served_sent_at, slack))
            .min()
    }

    /// Set by a silent watch, an unreadable event or a relocation. A later drain may count as
    /// notified at once.
    fn after_silence(&self) -> Option<Expiry> {
        let notice_delay = 0;
        self.silence_expiry.map(|at| Expiry { at, notice_delay })
    }

    /// Set by the polls. In poll mode a drain counts as notified a poll interval after it is made.
    fn after_poll(&self) -> Option<Expiry> {
        let bounds = &self.bounds;
        let notice_delay = if bounds.push_mode {
            0
        } else {
            bounds.max_poll_interval
        };
        self.poll_expiry.map(|at| Expiry { at, notice_delay })
    }

    /// Set by the time without a watch in poll mode: a drain that discovery had and could tell
    /// counts as notified after the notice delay.
    fn after_notice(&self) -> Option<Expiry> {
        let bounds = &self.bounds;
        let is_missing_changes = !bounds.push_mode && self.watch != WatchState::Open;
        is_missing_changes.then_some(Expiry {
            at: self.complete_until + bounds.change_notice_delay + bounds.drain_slack,
            notice_delay: bounds.change_notice_delay,
        })
    }
}
