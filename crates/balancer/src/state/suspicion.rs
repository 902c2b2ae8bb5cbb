//! Suspicion of a server and its history of ejections.

#[cfg(test)]
mod tests;

use crate::{EjectionCause, Micros};

/// An active suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Suspicion {
    /// Cause of the suspicion.
    pub(crate) cause: EjectionCause,
    /// When the suspicion was raised.
    pub(crate) since: Micros,
    /// Time for which successful health checks do not end the suspicion, if attempts raised it.
    pub(crate) ejection_time: Micros,
}

impl Suspicion {
    /// Returns true once the ejection time has elapsed.
    pub(crate) fn ejection_time_elapsed(&self, now: Micros) -> bool {
        now >= self.since + self.ejection_time
    }
}

/// Suspicion of one server and its history of ejections.
#[derive(Default)]
pub(crate) struct SuspicionRecord {
    current: Option<Suspicion>,
    dead: bool,
    ejections_before_last: u32,
    last_ejected_at: Micros,
}

impl SuspicionRecord {
    /// Returns the active suspicion, if any.
    pub(crate) fn current(&self) -> Option<Suspicion> {
        self.current
    }

    /// Returns true if the server is suspected.
    pub(crate) fn is_suspected(&self) -> bool {
        self.current.is_some()
    }

    /// Returns true if the server has been suspected for so long that it was declared dead.
    pub(crate) fn is_dead(&self) -> bool {
        self.dead
    }

    /// Returns how many earlier ejections count at this moment: none if the last one is older than
    /// `window`.
    pub(crate) fn earlier_ejections(&self, now: Micros, window: Micros) -> u32 {
        if now > self.last_ejected_at + window {
            0
        } else {
            self.ejections_before_last + 1
        }
    }

    /// Returns true if the server was ejected repeatedly, the last time within `window`.
    pub(crate) fn is_flapping(&self, now: Micros, window: Micros) -> bool {
        self.ejections_before_last > 0 && now < self.last_ejected_at + window
    }

    /// Records an ejection, after the given number of earlier ones that count.
    pub(crate) fn on_ejected(&mut self, suspicion: Suspicion, earlier_ejections: u32) {
        self.ejections_before_last = earlier_ejections;
        self.last_ejected_at = suspicion.since;
        self.current = Some(suspicion);
    }

    /// Declares the server dead.
    pub(crate) fn on_declared_dead(&mut self) {
        self.dead = true;
    }

    /// Ends the active suspicion and returns it.
    pub(crate) fn on_readmitted(&mut self) -> Option<Suspicion> {
        let ended = self.current.take()?;
        self.dead = false;
        Some(ended)
    }
}
