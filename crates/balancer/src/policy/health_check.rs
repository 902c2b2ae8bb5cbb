//! Which server is probed, when, and what its answer tells.

use super::*;

/// Pause before a failed probe is confirmed, by a second probe or by what intermediates say.
const CONFIRM_PAUSE: Micros = 150_000;
/// Where more than this share of the servers in use fail their probes, the trouble is with the probes.
const PROBES_LIE: f64 = 0.3;

impl Balancer {
    pub(super) fn on_tick(&mut self, acts: &mut Actions) {
        let now = self.now;
        acts.push(Action::SetTimer { token: TOKEN_TICK, after: TICK });
        self.measure_part();
        for i in 0..self.servers.len() {
            self.watch(i, acts);
        }
        if self.settings.health_checks && now >= self.next_probe {
            self.next_probe = now + self.probe_pause();
            self.last_probe = now;
            if let Some(i) = self.next_to_probe() {
                self.probe(i, acts);
                self.servers[i].glance = false;
            }
            self.send_gossip(acts);
        }
        if self.ask_at.is_some_and(|at| now >= at) {
            self.ask(acts);
        }
    }

    /// Own requests a microsecond, above zero.
    pub(super) fn rate(&self) -> f64 {
        self.traffic.get(self.now, TRAFFIC_HALF).max(f64::MIN_POSITIVE)
    }

    /// Guards against probes that together cost more than they tell: one schedule serves them all.
    fn probe_pause(&self) -> Micros {
        let affordable = (self.settings.health_check_fee / (PROBE_COST * self.rate())) as Micros;
        let period = affordable.clamp(PROBE_PERIOD, PROBE_PERIOD_MOST);
        let suspected = self.servers.iter().any(|s| s.suspicion.is_some());
        if suspected { period / PROBE_HASTE } else { period }
    }

    /// By turns the suspect that waits longest and one whose attempt failed, else a random ready one.
    fn next_to_probe(&mut self) -> Option<usize> {
        let due = |s: &Server| s.suspicion.is_some() && self.now >= s.probed + SUSPECT_PROBE;
        let suspects = (0..self.servers.len()).filter(|&i| due(&self.servers[i]));
        let suspect = suspects.min_by_key(|&i| self.servers[i].probed);
        // Guards against suspects that wait for ever where attempts fail all the time.
        self.suspects_turn = !self.suspects_turn;
        if suspect.is_some() && self.suspects_turn {
            return suspect;
        }
        if let Some(i) = self.probe_next.pop().and_then(|id| self.find(id)) {
            return Some(i);
        }
        let pool = self.pool(Reach::Anywhere, &[], true);
        self.rng.choice(pool)
    }

    /// Makes a server the next to be probed, and soon.
    pub(super) fn probe_soon(&mut self, id: ServerId) {
        if !self.probe_next.contains(&id) {
            self.probe_next.push(id);
            let soon = self.last_probe + PROBE_PERIOD / PROBE_HASTE;
            self.next_probe = self.next_probe.min(soon.max(self.now));
        }
    }

    pub(super) fn probe(&mut self, i: usize, acts: &mut Actions) {
        let server = &mut self.servers[i];
        if self.settings.health_checks && server.probing.is_none() {
            server.probing = Some(self.now);
            server.probed = self.now;
            acts.push(Action::HealthCheck { server: server.member.server });
        }
    }

    /// A probe out of turn. Guards against floods: its failure is not confirmed, the server waits its turn.
    pub(super) fn glance(&mut self, i: usize, acts: &mut Actions) {
        self.servers[i].glance |= self.servers[i].probing.is_none();
        self.probe(i, acts);
    }

    pub(super) fn on_probed(
        &mut self,
        id: ServerId,
        good: bool,
        report: Option<LoadReport>,
        acts: &mut Actions,
    ) {
        let Some(i) = self.find(id) else { return };
        self.take_report(i, report);
        let (now, server) = (self.now, &mut self.servers[i]);
        server.probing = None;
        let was_mute = std::mem::replace(&mut server.mute, !good);
        self.mute = self.mute + usize::from(!good) - usize::from(was_mute);
        let glance = std::mem::take(&mut server.glance);
        for asker in std::mem::take(&mut server.askers).into_iter().filter(|_| good) {
            acts.push(Action::SendGossip { to: Some(asker), message: say(SAY_REACHED, server) });
        }
        if good {
            (server.confirm, server.reached) = (None, true);
            if let Some(suspicion) = server.suspicion {
                // A good probe proves little where work raised the suspicion: it must age first.
                if suspicion.cause != Cause::Work || now >= suspicion.since + suspicion.hold {
                    self.clear(i, acts);
                }
            }
        } else if glance {
            self.probe_soon(id);
        } else if server.suspicion.is_none() && server.confirm.is_none() {
            let confirming = std::mem::replace(&mut server.reached, false);
            if self.settings.has_peers() || confirming {
                server.confirm = Some(now + CONFIRM_PAUSE);
                self.ask_peers(i, acts);
            } else {
                self.suspect(i, Cause::Probe, acts);
            }
        }
        self.looked_at(id, acts);
    }

    /// Guards against probes that fail while servers serve: then work alone is believed, and a deployment
    /// with reports does as one without. Servers that are really gone fail work as well.
    pub(super) fn probes_lie(&self) -> bool {
        let mute = self.mute as f64;
        mute > 0.0 && mute > PROBES_LIE * (self.subset() as f64 + mute)
    }
}
