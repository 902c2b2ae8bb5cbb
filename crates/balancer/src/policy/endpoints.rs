//! Following the list.

use super::*;

impl Balancer {
    pub(super) fn ask(&mut self, acts: &mut Actions) {
        acts.push(Action::PollEndpoints);
        // Should no answer come at all, ask again in good time.
        self.ask_at = Some(self.now + self.settings.max_poll_interval * 3 / 4);
    }

    pub(super) fn on_list(
        &mut self,
        kind: UpdateKind,
        version: u64,
        entries: Vec<Endpoint>,
        acts: &mut Actions,
    ) {
        if kind == UpdateKind::Lost {
            if self.subscribed {
                acts.push(Action::Log { text: "list lost".into(), server: None });
            }
            self.subscribed = false;
            self.ask_at = Some(self.now + self.reask / 2 + self.rng.u64(0..=self.reask));
            self.reask = (REASK_GROWTH * self.reask).min(self.settings.max_poll_interval / 2);
            return;
        }
        if kind != UpdateKind::Cached {
            (self.subscribed, self.reask, self.ask_at) = (true, REASK, None);
            self.servers.iter_mut().for_each(|s| s.doubted = false);
        }
        if version < self.version {
            return;
        }
        self.version = version;
        if kind != UpdateKind::Incremental {
            let named: BTreeSet<ServerId> = entries.iter().map(|e| e.server).collect();
            for server in self.servers.iter_mut().filter(|s| !named.contains(&s.member.server)) {
                server.member.status = EndpointStatus::Removed;
            }
        }
        for entry in entries {
            self.on_entry(entry, acts);
        }
        let keep = self.settings.only_draining_binds;
        let gone = |s: &Server| s.member.status == EndpointStatus::Removed && s.own.is_empty();
        self.servers.retain(|s| !gone(s) || (keep && !s.dead && !s.drained));
        self.arrange();
    }

    fn on_entry(&mut self, entry: Endpoint, acts: &mut Actions) {
        let now = self.now;
        let Some(i) = self.find(entry.server) else {
            let fresh = entry.incarnation.filter(|&at| now < at + self.settings.slow_start_time);
            let cold_since = fresh.map(|at| at.min(now));
            self.places.insert(entry.server, self.servers.len());
            self.servers.push(Server { cold_since, ..Server::new(entry) });
            return;
        };
        let server = &mut self.servers[i];
        let newer = entry.incarnation.unwrap_or(0) > server.incarnation();
        let launched = if newer { entry.incarnation } else { server.member.incarnation };
        server.member = Endpoint { incarnation: launched, ..entry };
        if newer {
            self.reborn(i, acts);
        }
        // A stale list never restores a drain: only a newer start does.
        self.servers[i].drained |= entry.status == EndpointStatus::Draining;
    }
}
