//! Which server is probed, when, and what its answer tells.

use super::*;

/// How often the balancer looks around, in microseconds: well under any time an answer is wanted in.
pub(crate) const TICK_INTERVAL: Micros = 25_000;
/// Time between random probes: what keeps their fee under the last figure at own traffic, within these two;
/// while a server is suspected they come so many times as often, every other one for a suspect.
pub(crate) const MIN_HEALTH_CHECK_INTERVAL: Micros = 1_000_000;
pub(crate) const MAX_HEALTH_CHECK_INTERVAL: Micros = 5_000_000;
pub(crate) const SUSPECTED_SPEEDUP: Micros = 4;
pub(crate) const MAX_HEALTH_CHECK_COST: f64 = 0.001;
/// Pause before a failed probe is confirmed, by a second probe or by what intermediates say.
const CONFIRMATION_DELAY: Micros = 150_000;
/// Where more than this share of the servers in use fail their probes, the trouble is with the probes.
const UNRELIABLE_CHECK_SHARE: f64 = 0.3;

impl Balancer {
    pub(super) fn on_tick(&mut self, actions: &mut Actions) {
        let now = self.now;
        actions.push(Action::SetTimer { token: TICK_TOKEN, after: TICK_INTERVAL });
        self.update_warm_server_quota();
        for i in 0..self.servers.len() {
            self.check_suspicion(i, actions);
        }
        if self.settings.health_checks && now >= self.next_health_check_at {
            self.next_health_check_at = now + self.health_check_interval();
            self.last_health_check_at = now;
            if let Some(i) = self.next_server_to_check() {
                self.start_health_check(i, actions);
                self.servers[i].load_only = false;
            }
            self.send_gossip(actions);
        }
        if self.next_poll_at.is_some_and(|at| now >= at) {
            self.poll_endpoints(actions);
        }
    }

    /// Own requests a microsecond, above zero.
    pub(super) fn own_request_rate(&self) -> f64 {
        self.request_rate.get(self.now, REQUEST_RATE_HALF_LIFE).max(f64::MIN_POSITIVE)
    }

    /// Guards against probes that together cost more than they tell: one schedule serves them all.
    fn health_check_interval(&self) -> Micros {
        let affordable =
            (self.settings.health_check_fee / (MAX_HEALTH_CHECK_COST * self.own_request_rate())) as Micros;
        let period = affordable.clamp(MIN_HEALTH_CHECK_INTERVAL, MAX_HEALTH_CHECK_INTERVAL);
        let suspected = self.servers.iter().any(|s| s.suspicion.is_some());
        if suspected { period / SUSPECTED_SPEEDUP } else { period }
    }

    /// By turns the suspect that waits longest and one whose attempt failed, else a random ready one.
    fn next_server_to_check(&mut self) -> Option<usize> {
        let due = |s: &ServerState| {
            s.suspicion.is_some() && self.now >= s.last_health_check_at + SUSPECT_CHECK_INTERVAL
        };
        let suspects = (0..self.servers.len()).filter(|&i| due(&self.servers[i]));
        let suspect = suspects.min_by_key(|&i| self.servers[i].last_health_check_at);
        // Guards against suspects that wait for ever where attempts fail all the time.
        self.suspect_is_next = !self.suspect_is_next;
        if suspect.is_some() && self.suspect_is_next {
            return suspect;
        }
        if let Some(i) = self.health_check_queue.pop().and_then(|id| self.find(id)) {
            return Some(i);
        }
        let pool = self.candidates(RetryScope::Anywhere, &[], true);
        self.rng.choice(pool)
    }

    /// Makes a server the next to be probed, and soon.
    pub(super) fn check_soon(&mut self, id: ServerId) {
        if !self.health_check_queue.contains(&id) {
            self.health_check_queue.push(id);
            let soon = self.last_health_check_at + MIN_HEALTH_CHECK_INTERVAL / SUSPECTED_SPEEDUP;
            self.next_health_check_at = self.next_health_check_at.min(soon.max(self.now));
        }
    }

    pub(super) fn start_health_check(&mut self, i: usize, actions: &mut Actions) {
        let server = &mut self.servers[i];
        if self.settings.health_checks && server.health_check_started_at.is_none() {
            server.health_check_started_at = Some(self.now);
            server.last_health_check_at = self.now;
            actions.push(Action::HealthCheck { server: server.endpoint.server });
        }
    }

    /// A probe out of turn. Guards against floods: its failure is not confirmed, the server waits its turn.
    pub(super) fn check_load(&mut self, i: usize, actions: &mut Actions) {
        self.servers[i].load_only |= self.servers[i].health_check_started_at.is_none();
        self.start_health_check(i, actions);
    }

    pub(super) fn on_health_check_ended(
        &mut self,
        id: ServerId,
        good: bool,
        report: Option<LoadReport>,
        actions: &mut Actions,
    ) {
        let Some(i) = self.find(id) else { return };
        self.on_load_report(i, report);
        let (now, server) = (self.now, &mut self.servers[i]);
        server.health_check_started_at = None;
        let was_mute = std::mem::replace(&mut server.last_health_check_failed, !good);
        self.failed_health_checks = self.failed_health_checks + usize::from(!good) - usize::from(was_mute);
        let glance = std::mem::take(&mut server.load_only);
        for asker in std::mem::take(&mut server.indirect_check_requesters).into_iter().filter(|_| good) {
            actions.push(Action::SendGossip { to: Some(asker), message: say(SAY_REACHED, server) });
        }
        if good {
            (server.confirm_at, server.confirmed_alive) = (None, true);
            if let Some(suspicion) = server.suspicion {
                // A good probe proves little where work raised the suspicion: it must age first.
                if suspicion.cause != SuspicionCause::Attempts
                    || now >= suspicion.since + suspicion.ejection_time
                {
                    self.readmit(i, actions);
                }
            }
        } else if glance {
            self.check_soon(id);
        } else if server.suspicion.is_none() && server.confirm_at.is_none() {
            let confirming = std::mem::replace(&mut server.confirmed_alive, false);
            if self.settings.has_peers() || confirming {
                server.confirm_at = Some(now + CONFIRMATION_DELAY);
                self.request_indirect_checks(i, actions);
            } else {
                self.eject(i, SuspicionCause::HealthChecks, actions);
            }
        }
        self.on_load_check_ended(id, actions);
    }

    /// Guards against probes that fail while servers serve: then work alone is believed, and a deployment
    /// with reports does as one without. Servers that are really gone fail work as well.
    pub(super) fn health_checks_unreliable(&self) -> bool {
        let mute = self.failed_health_checks as f64;
        mute > 0.0 && mute > UNRELIABLE_CHECK_SHARE * (self.subset_size() as f64 + mute)
    }
}
