//! Whether a server is suspected, and its record of ejections.

#[cfg(test)]
mod tests;

use crate::{EjectionCause, Micros};

/// A suspicion that stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Suspicion {
    /// What raised it.
    pub(crate) cause: EjectionCause,
    /// When it was raised.
    pub(crate) since: Micros,
    /// How long successful health checks do not end it, where attempts raised it.
    pub(crate) ejection_time: Micros,
}

impl Suspicion {
    /// True once its ejection time is over.
    pub(crate) fn ejection_time_elapsed(&self, now: Micros) -> bool {
        now >= self.since + self.ejection_time
    }
}

/// The suspicion of one server, past and present.
#[derive(Default)]
pub(crate) struct SuspicionRecord {
    current: Option<Suspicion>,
    dead: bool,
    ejections: u32,
    last_ejected_at: Micros,
}

impl SuspicionRecord {
    /// The suspicion that stands, if any.
    pub(crate) fn current(&self) -> Option<Suspicion> {
        self.current
    }

    /// True where a suspicion stands.
    pub(crate) fn is_suspected(&self) -> bool {
        self.current.is_some()
    }

    /// True where a suspicion stood for so long that the server is taken for gone.
    pub(crate) fn is_dead(&self) -> bool {
        self.dead
    }

    /// Earlier ejections that count for one at this moment: none where the last is older than
    /// `memory`.
    pub(crate) fn ejections_before(&self, now: Micros, memory: Micros) -> u32 {
        if now > self.last_ejected_at + memory {
            0
        } else {
            self.ejections + 1
        }
    }

    /// True where it was ejected repeatedly, and last within `memory`.
    pub(crate) fn is_flapping(&self, now: Micros, memory: Micros) -> bool {
        self.ejections > 0 && now < self.last_ejected_at + memory
    }

    /// The server is suspected from now on; `ejections` earlier ones count.
    pub(crate) fn on_ejected(&mut self, suspicion: Suspicion, ejections: u32) {
        self.ejections = ejections;
        self.last_ejected_at = suspicion.since;
        self.current = Some(suspicion);
    }

    /// The suspicion stood for so long that the server is taken for gone.
    pub(crate) fn on_declared_dead(&mut self) {
        self.dead = true;
    }

    /// The suspicion ended; returns it.
    pub(crate) fn on_readmitted(&mut self) -> Option<Suspicion> {
        let ended = self.current.take()?;
        self.dead = false;
        Some(ended)
    }
}
