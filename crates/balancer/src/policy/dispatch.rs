//! A request on its way: first sends and the end.

use super::*;

/// Work that carries no hint is not started with less time than this share of a usual service.
const MIN_WORK_SHARE: f64 = 0.5;
/// Share of the objective that a request may wait for a first server to be known.
const MAX_WAIT_SHARE: f64 = 0.5;

impl Balancer {
    pub(super) fn on_request_arrived(&mut self, call: IncomingRequest, actions: &mut Actions) {
        let now = self.now;
        let Some(class) = self.settings.classes.get(usize::from(call.class.0)) else {
            actions.push(Action::Reject { request: call.id, retry_after: None });
            return;
        };
        let hint = call.work_hint.unwrap_or(0) as f64;
        if hint > 0.0 {
            let first = if self.mean_work > 0.0 { self.mean_work } else { hint };
            self.mean_work = first + FLEET_WEIGHT * (hint.min(4.0 * first) - first);
        }
        let first =
            if self.mean_priority_weight > 0.0 { self.mean_priority_weight } else { class.priority_weight };
        self.mean_priority_weight = first + FLEET_WEIGHT * (class.priority_weight - first);
        self.request_rate.count(now, REQUEST_RATE_HALF_LIFE);
        let size = if hint > 0.0 { hint / self.mean_work } else { 1.0 };
        let objective = class.latency_objective + (class.objective_per_work * hint) as Micros;
        let request = RequestState {
            class: call.class,
            arrived: now,
            objective_at: now + objective.min(class.deadline).min(call.time_left),
            deadline_at: now + call.time_left,
            relative_work: size,
            ..RequestState::default()
        };
        let needed = if hint > 0.0 { hint } else { self.mean_service_time * MIN_WORK_SHARE };
        let hopeless = class.late_value == 0.0 && needed > (request.objective_at - now) as f64;
        self.requests.insert(call.id, request);
        self.retry_budget = (self.retry_budget + RETRY_TOKENS_PER_REQUEST).min(MAX_RETRY_TOKENS);
        if hopeless || call.time_left == 0 {
            self.reject_or_fail(call.id, actions);
            return;
        }
        if self.load_checks_enabled() {
            self.start_load_checks(call.id, actions);
        } else {
            self.dispatch(call.id, actions);
        }
    }

    pub(super) fn set_request_timer(&mut self, id: RequestId, after: Micros, actions: &mut Actions) {
        let at = self.now + after;
        if let Some(request) = self.requests.get_mut(&id) {
            request.wake_at = at;
        }
        self.request_timers.insert((at, id));
        actions.push(Action::SetTimer { token: REQUEST_TIMER_TOKEN, after });
    }

    pub(super) fn on_request_timer(&mut self, actions: &mut Actions) {
        while let Some(&(at, id)) = self.request_timers.first().filter(|a| a.0 <= self.now) {
            self.request_timers.remove(&(at, id));
            let held = |r: &&mut RequestState| r.wake_at == at && r.attempts.is_empty();
            if let Some(request) = self.requests.get_mut(&id).filter(held) {
                request.awaited_load_checks.clear();
                self.dispatch(id, actions);
            }
        }
    }

    pub(super) fn dispatch(&mut self, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.get(&id) else { return };
        let (arrived, give_up, asked) = (request.arrived, request.deadline_at, request.load_checked.clone());
        let patience = ((request.objective_at - arrived) as f64 * MAX_WAIT_SHARE) as Micros;
        let picked = self.pick(RetryScope::Anywhere, &[], &asked, arrived, id);
        let late = picked.is_some_and(|i| self.should_reject_as_late(i, id));
        let missed =
            late || self.load_from_responses() && picked.is_some_and(|i| self.misses_objective(i, id));
        self.missed_objective_rate +=
            FLEET_WEIGHT * (f64::from(u8::from(missed)) - self.missed_objective_rate);
        match picked {
            Some(i) if !late && !self.should_shed(id) => self.send(id, i, actions),
            None if self.now + 2 * TICK_INTERVAL < give_up.min(arrived + patience) => {
                self.set_request_timer(id, TICK_INTERVAL, actions)
            }
            _ => self.reject_or_fail(id, actions),
        }
    }

    pub(super) fn send(&mut self, id: RequestId, i: usize, actions: &mut Actions) {
        let now = self.now;
        let load = self.queue_depth(&self.servers[i]);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let class = &self.settings.classes[usize::from(request.class.0)];
        let server = &mut self.servers[i];
        // A late answer that is worth nothing is not waited for.
        let aim = request.objective_at.saturating_sub(2 * self.settings.step);
        let until = if class.late_value == 0.0 { aim.min(request.deadline_at) } else { request.deadline_at };
        let timeout = until.saturating_sub(now).max(1);
        actions.push(Action::Send { request: id, server: server.endpoint.server, timeout: Some(timeout) });
        let attempt = request.attempts.len() as u32;
        let (zone, cell, state) = (server.endpoint.zone, server.endpoint.cell, AttemptState::InFlight);
        request.attempts.push(Attempt { server: server.endpoint.server, sent: now, zone, cell, state });
        let size = request.relative_work;
        self.work_rate.add(size, now, REQUEST_RATE_HALF_LIFE);
        if server.cold_since.is_some() {
            server.cold_sent.push_back((now, size));
        }
        server.in_flight.push(InFlightAttempt {
            request: id,
            attempt,
            sent: now,
            relative_work: size,
            queue_depth: load,
        });
    }

    /// Forgets a request that has its final answer and calls off what is still out for it.
    pub(super) fn finish(&mut self, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.remove(&id) else { return };
        if !self.settings.cancellation || request.streaming {
            return;
        }
        let out = request.attempts.iter().zip(0..).filter(|(a, _)| a.state == AttemptState::InFlight);
        actions.extend(out.map(|(_, attempt)| Action::Cancel { request: id, attempt }));
    }
}
