//! Following the list.

use super::*;

/// First pause before the list is asked for again, and its growth, up to half the time allowed. Guards
/// against many balancers that keep a full discovery full: it handles a few calls a second, whoever asks.
pub(crate) const INITIAL_POLL_BACKOFF: Micros = 200_000;
pub(crate) const POLL_BACKOFF_GROWTH: Micros = 3;

impl Balancer {
    pub(super) fn poll_endpoints(&mut self, actions: &mut Actions) {
        actions.push(Action::PollEndpoints);
        // Should no answer come at all, ask again in good time.
        self.next_poll_at = Some(self.now + self.settings.max_poll_interval * 3 / 4);
    }

    pub(super) fn on_endpoints_updated(
        &mut self,
        kind: UpdateKind,
        version: u64,
        entries: Vec<Endpoint>,
        actions: &mut Actions,
    ) {
        if kind == UpdateKind::Lost {
            if self.subscribed {
                actions.push(Action::Log { text: "list lost".into(), server: None });
            }
            self.subscribed = false;
            self.next_poll_at = Some(self.now + self.poll_backoff / 2 + self.rng.u64(0..=self.poll_backoff));
            self.poll_backoff =
                (POLL_BACKOFF_GROWTH * self.poll_backoff).min(self.settings.max_poll_interval / 2);
            return;
        }
        if kind != UpdateKind::Cached {
            (self.subscribed, self.poll_backoff, self.next_poll_at) = (true, INITIAL_POLL_BACKOFF, None);
            self.servers.iter_mut().for_each(|s| s.possibly_draining = false);
        }
        if version < self.version {
            return;
        }
        self.version = version;
        if kind != UpdateKind::Incremental {
            let named: BTreeSet<ServerId> = entries.iter().map(|e| e.server).collect();
            for server in self.servers.iter_mut().filter(|s| !named.contains(&s.endpoint.server)) {
                server.endpoint.status = EndpointStatus::Removed;
            }
        }
        for entry in entries {
            self.on_endpoint(entry, actions);
        }
        let keep = self.settings.only_draining_binds;
        let gone = |s: &ServerState| s.endpoint.status == EndpointStatus::Removed && s.in_flight.is_empty();
        self.servers.retain(|s| !gone(s) || (keep && !s.dead && !s.drained));
        self.rebuild_subset_order();
    }

    fn on_endpoint(&mut self, entry: Endpoint, actions: &mut Actions) {
        let now = self.now;
        let Some(i) = self.find(entry.server) else {
            let fresh = entry.incarnation.filter(|&at| now < at + self.settings.slow_start_time);
            let cold_since = fresh.map(|at| at.min(now));
            self.index_by_id.insert(entry.server, self.servers.len());
            self.servers.push(ServerState { cold_since, ..ServerState::new(entry) });
            return;
        };
        let server = &mut self.servers[i];
        let newer = entry.incarnation.unwrap_or(0) > server.incarnation();
        let launched = if newer { entry.incarnation } else { server.endpoint.incarnation };
        server.endpoint = Endpoint { incarnation: launched, ..entry };
        if newer {
            self.on_restart(i, actions);
        }
        // A stale list never restores a drain: only a newer start does.
        self.servers[i].drained |= entry.status == EndpointStatus::Draining;
    }
}
