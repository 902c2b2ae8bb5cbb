//! A request on its way: first sends and the end.

use super::*;

/// Work that carries no hint is not started with less time than this share of a usual service.
const LEAST_WORK: f64 = 0.5;
/// Share of the objective that a request may wait for a first server to be known.
const HOLD: f64 = 0.5;

impl Balancer {
    pub(super) fn on_request(&mut self, call: IncomingRequest, acts: &mut Actions) {
        let now = self.now;
        let Some(class) = self.settings.classes.get(usize::from(call.class.0)) else {
            acts.push(Action::Reject { request: call.id, retry_after: None });
            return;
        };
        let hint = call.work_hint.unwrap_or(0) as f64;
        if hint > 0.0 {
            let first = if self.mean_size > 0.0 { self.mean_size } else { hint };
            self.mean_size = first + MEAN_WEIGHT * (hint.min(4.0 * first) - first);
        }
        let first = if self.mean_worth > 0.0 { self.mean_worth } else { class.priority_weight };
        self.mean_worth = first + MEAN_WEIGHT * (class.priority_weight - first);
        self.traffic.count(now, TRAFFIC_HALF);
        let size = if hint > 0.0 { hint / self.mean_size } else { 1.0 };
        let objective = class.latency_objective + (class.objective_per_work * hint) as Micros;
        let request = Request {
            class: call.class,
            arrived: now,
            aim: now + objective.min(class.deadline).min(call.time_left),
            give_up: now + call.time_left,
            size,
            ..Request::default()
        };
        let needed = if hint > 0.0 { hint } else { self.unit * LEAST_WORK };
        let hopeless = class.late_value == 0.0 && needed > (request.aim - now) as f64;
        self.requests.insert(call.id, request);
        self.budget = (self.budget + RETRY_EARN).min(RETRY_SAVE);
        if hopeless || call.time_left == 0 {
            self.end(call.id, acts);
            return;
        }
        if self.looks() {
            self.look(call.id, acts);
        } else {
            self.dispatch(call.id, acts);
        }
    }

    pub(super) fn alarm(&mut self, id: RequestId, after: Micros, acts: &mut Actions) {
        let at = self.now + after;
        if let Some(request) = self.requests.get_mut(&id) {
            request.alarm = at;
        }
        self.alarms.insert((at, id));
        acts.push(Action::SetTimer { token: TOKEN_ALARM, after });
    }

    pub(super) fn on_alarm(&mut self, acts: &mut Actions) {
        while let Some(&(at, id)) = self.alarms.first().filter(|a| a.0 <= self.now) {
            self.alarms.remove(&(at, id));
            let held = |r: &&mut Request| r.alarm == at && r.attempts.is_empty();
            if let Some(request) = self.requests.get_mut(&id).filter(held) {
                request.looking.clear();
                self.dispatch(id, acts);
            }
        }
    }

    pub(super) fn dispatch(&mut self, id: RequestId, acts: &mut Actions) {
        let Some(request) = self.requests.get(&id) else { return };
        let (arrived, give_up, asked) = (request.arrived, request.give_up, request.asked.clone());
        let patience = ((request.aim - arrived) as f64 * HOLD) as Micros;
        let picked = self.pick(Reach::Anywhere, &[], &asked, arrived, id);
        let late = picked.is_some_and(|i| self.too_late(i, id));
        let missed = late || self.by_answers() && picked.is_some_and(|i| self.misses(i, id));
        self.turned += MEAN_WEIGHT * (f64::from(u8::from(missed)) - self.turned);
        match picked {
            Some(i) if !late && !self.sheds(id) => self.send(id, i, acts),
            None if self.now + 2 * TICK < give_up.min(arrived + patience) => self.alarm(id, TICK, acts),
            _ => self.end(id, acts),
        }
    }

    pub(super) fn send(&mut self, id: RequestId, i: usize, acts: &mut Actions) {
        let now = self.now;
        let load = self.crowd(&self.servers[i]);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let class = &self.settings.classes[usize::from(request.class.0)];
        let server = &mut self.servers[i];
        // A late answer that is worth nothing is not waited for.
        let aim = request.aim.saturating_sub(2 * self.settings.step);
        let until = if class.late_value == 0.0 { aim.min(request.give_up) } else { request.give_up };
        let timeout = until.saturating_sub(now).max(1);
        acts.push(Action::Send { request: id, server: server.member.server, timeout: Some(timeout) });
        let attempt = request.attempts.len() as u32;
        let (zone, cell, fate) = (server.member.zone, server.member.cell, Fate::Out);
        request.attempts.push(Attempt { server: server.member.server, sent: now, zone, cell, fate });
        let size = request.size;
        self.work.add(size, now, TRAFFIC_HALF);
        if server.cold_since.is_some() {
            server.cold_sent.push_back((now, size));
        }
        server.own.push(Outstanding { request: id, attempt, sent: now, size, load });
    }

    /// Forgets a request that has its final answer and calls off what is still out for it.
    pub(super) fn finish(&mut self, id: RequestId, acts: &mut Actions) {
        let Some(request) = self.requests.remove(&id) else { return };
        if !self.settings.cancellation || request.streaming {
            return;
        }
        let out = request.attempts.iter().zip(0..).filter(|(a, _)| a.fate == Fate::Out);
        acts.extend(out.map(|(_, attempt)| Action::Cancel { request: id, attempt }));
    }
}
