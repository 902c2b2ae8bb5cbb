//! Asking for load before a send.

use super::*;

/// Most servers asked for their load before a send; fewer while the chance to miss an idle one is low.
const LOOKS: f64 = 8.0;
const LOOKS_MISS: f64 = 0.05;
/// Highest fee for one probe per request at which servers are asked before each send.
const LOOK_FEE: f64 = 0.005;
/// Share of the objective that may pass in asking.
const LOOK_WAIT: f64 = 0.02;

impl Balancer {
    pub(crate) fn reports(&self) -> bool {
        self.looks() && !self.probes_lie()
    }

    /// True where a request may ask for load before it is sent. Guards against trust in reports that nobody
    /// fetches: where probes are dear, what is known of queues is seconds old, and answers have to tell.
    pub(crate) fn looks(&self) -> bool {
        self.settings.load_reports
            && self.settings.health_checks
            && self.settings.health_check_fee <= LOOK_FEE
    }

    /// Asks a few random servers for their load, which own requests tell little of where others send too.
    pub(super) fn look(&mut self, id: RequestId, acts: &mut Actions) {
        let mut open = self.pool(Reach::Anywhere, &[], true);
        self.rng.shuffle(&mut open);
        let looks = LOOKS_MISS.ln() / self.busy.clamp(0.01, 0.99).ln();
        open.truncate(looks.clamp(2.0, LOOKS) as usize);
        let names: Vec<ServerId> = open.iter().map(|&i| self.servers[i].member.server).collect();
        open.into_iter().for_each(|i| self.glance(i, acts));
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.asked = names.clone();
        request.looking = names;
        // Guards against answers that are overdue because the client had less time than the asking takes.
        let wait = ((request.aim - request.arrived) as f64 * LOOK_WAIT) as Micros;
        if request.looking.is_empty() {
            self.dispatch(id, acts);
        } else {
            self.alarm(id, wait, acts);
        }
    }

    pub(super) fn looked_at(&mut self, server: ServerId, acts: &mut Actions) {
        let waiting = self.requests.iter_mut().filter(|(_, r)| r.looking.contains(&server));
        let mut done = Vec::new();
        for (&id, request) in waiting {
            request.looking.retain(|&s| s != server);
            if request.looking.is_empty() {
                done.push(id);
            }
        }
        done.into_iter().for_each(|id| self.dispatch(id, acts));
    }
}
