//! What a server holds, as far as its reports and own requests tell.

use super::*;

/// Reports that come with answers were taken some hundred milliseconds before, and what came and went since is
/// unknown: only a mean over many of them tells what others have at a server.
const HELD_HALF: f64 = 3_000_000.0;
/// What others have at a server is forgotten by half in this time.
const FOREIGN_HALF: f64 = 4_000_000.0;
/// A fleet of which more than this share is busy is full.
const BUSY: f64 = 0.8;

impl Balancer {
    /// True where answers tell of load and nobody asks before a send.
    pub(crate) fn by_answers(&self) -> bool {
        self.settings.load_reports_in_responses && !self.looks()
    }

    pub(crate) fn take_report(&mut self, i: usize, report: Option<LoadReport>) {
        let by_answers = self.by_answers();
        let (now, server) = (self.now, &mut self.servers[i]);
        // Guards against reports that are frozen or wrong: one that owns up to less than we know to be there.
        let known = server.own.iter().filter(|o| Some(o.sent) < server.probing).count() as f64;
        let sound = |h: &f64| h.is_finite() && *h >= 0.0 && (by_answers || *h + 0.5 >= known);
        let Some(held) = report.map(|r| r.in_flight).filter(sound) else { return };
        let own = server.own.len() as f64;
        if by_answers {
            // Guards against old reports set against own requests of now: means are compared over the same time.
            let weight = 1.0 - 0.5_f64.powf(now.saturating_sub(server.foreign_at) as f64 / HELD_HALF);
            server.held += weight * (held - server.held);
            server.held_own += weight * (own - server.held_own);
            server.foreign = (server.held - server.held_own).max(0.0);
        } else {
            server.foreign = (held - own).max(0.0);
        }
        server.foreign_at = now;
        self.busy += MEAN_WEIGHT * (held.min(1.0) - self.busy);
    }

    /// Requests at a server with one more: own ones and what was last seen of others'.
    pub(crate) fn crowd(&self, server: &Server) -> f64 {
        if self.by_answers() {
            let foreign = server.foreign * self.fade(server.foreign_at, FOREIGN_HALF);
            return server.own.len() as f64 + foreign + 1.0;
        }
        let age = self.now.saturating_sub(server.foreign_at) as f64;
        let fresh = (1.0 - age / (2.0 * self.unit)).max(0.0);
        let own: f64 = server.own.iter().map(|o| o.size).sum();
        own + server.foreign * fresh + 1.0
    }

    /// Requests in flight, in the time that this server takes.
    pub(crate) fn load(&self, server: &Server) -> f64 {
        self.crowd(server) * self.slowness(server)
    }

    /// Time that a server is expected to take for one more request. Where several run at a time each slows all
    /// others, so what a server holds multiplies the request's own work.
    pub(crate) fn expected(&self, server: &Server, size: f64) -> f64 {
        if self.by_answers() {
            return self.load(server) * size * self.unit;
        }
        (self.load(server) + (size - 1.0) * self.slowness(server)) * self.unit
    }

    /// How much longer than the fleet a server takes for the same load. Where nothing tells the queue of a
    /// cold one, it is spared by how seldom it is drawn, and not twice over.
    pub(crate) fn slowness(&self, server: &Server) -> f64 {
        let told = self.reports() || self.by_answers();
        let warmth = if told { self.warmth(server) } else { 1.0 };
        self.pace(server) / warmth / (1.0 - server.failing)
    }

    /// From 0 to 1 as the fleet fills up.
    pub(crate) fn strictness(&self) -> f64 {
        ((self.busy - BUSY) / (1.0 - BUSY)).clamp(0.0, 1.0)
    }

    /// Guards against an estimate that refuses all and so is never corrected: what is idle takes a request. A cold
    /// one does not, as one large request may be all that it bears; those like it correct its estimate.
    pub(crate) fn crowded(&self, server: &Server) -> bool {
        server.cold_since.is_some() || self.crowd(server) >= 1.5
    }
}
