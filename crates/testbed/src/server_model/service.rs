//! How requests progress on a machine.

use super::*;

/// How finely a speed that changes by itself is followed.
const STEP: Micros = 50_000;

impl ServerModel {
    /// Requests that run at a time.
    pub(super) fn slots(&self) -> usize {
        self.kind.slots.max(if self.kind.slots == 0 {
            self.kind.cores
        } else {
            1
        }) as usize
    }

    /// Growth of `progress` in a microsecond: requests beyond the cores share them.
    pub(super) fn pace(&self, now: Micros) -> f64 {
        let sharing = f64::from(self.kind.cores) / (self.running.len().max(1) as f64);
        self.core_pace(now) * sharing.min(1.0)
    }

    /// What a core does in a microsecond.
    pub(super) fn core_pace(&self, now: Micros) -> f64 {
        if self.state != State::Up {
            return 0.0;
        }
        let full = self.connections as f64 / self.kind.connections.max(1) as f64;
        let tax = 1.0 - self.kind.full_tax * full.min(1.0);
        let choke = self
            .kind
            .choke
            .as_ref()
            .filter(|_| self.choking.is_some())
            .map_or(1.0, |c| c.slower);
        let beyond =
            (self.held() as f64 / f64::from(self.kind.cores) - self.kind.thrash_at).max(0.0);
        let thrash = 1.0 + self.kind.thrash * beyond;
        self.speed * self.warmth(now) * tax / choke / self.slower / thrash
    }

    pub(super) fn changes_by_itself(&self, now: Micros) -> bool {
        self.is_cold(now) || self.crowded.is_some() || self.choking.is_some()
    }

    /// When something will happen here by itself; nothing while it idles or stands still.
    pub fn next(&self) -> Option<Micros> {
        if self.state != State::Up {
            return None;
        }
        let pace = self.pace(self.at);
        let end = self.running.first_key_value().map(|(&(bits, _), _)| {
            let rest = (f64::from_bits(bits) - self.progress).max(0.0);
            let debt = self.debt / f64::from(self.kind.cores) / self.core_pace(self.at).max(1e-9);
            self.at + ((rest / pace.max(1e-9) + debt).ceil() as Micros).max(1)
        });
        let step = (self.changes_by_itself(self.at) && self.held() > 0 || self.choking.is_some())
            .then_some(self.at + STEP);
        match (end, step) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Lets time pass up to `now` and tells what happened.
    pub fn advance(&mut self, now: Micros, events: &mut Vec<Event>) {
        while self.at < now {
            let pace = self.pace(self.at);
            let step = if self.changes_by_itself(self.at) {
                (self.at + STEP).min(now)
            } else {
                now
            };
            let mut span = (step - self.at) as f64;
            if pace <= 0.0 {
                self.at = step;
                continue;
            }
            // Debt is paid by all cores together before requests go on.
            let cores = f64::from(self.kind.cores);
            let core = self.core_pace(self.at);
            let paid = self.debt.min(span * core * cores);
            self.debt -= paid;
            span -= paid / core / cores;
            let first = self
                .running
                .first_key_value()
                .map(|(&(bits, _), _)| f64::from_bits(bits));
            let reach = self.progress + span * pace;
            match first.filter(|&end| end <= reach + 1e-6) {
                Some(end) => {
                    let used = ((end - self.progress) / pace).max(0.0);
                    let idle = span - used;
                    let at = (step - (idle.max(0.0) as Micros).min(step - self.at)).max(self.at);
                    self.done.work += (end - self.progress).max(0.0) * self.running.len() as f64;
                    self.progress = end;
                    self.at = at;
                    self.end_first(events);
                }
                None => {
                    self.done.work += (reach - self.progress) * self.running.len() as f64;
                    self.progress = reach;
                    self.at = step;
                }
            }
            self.watch_crowd();
        }
    }

    pub(super) fn end_first(&mut self, events: &mut Vec<Event>) {
        let Some(((_, id), _)) = self.running.pop_first() else {
            return;
        };
        self.ends.remove(&id);
        let error = self.chance.chance(self.error_rate);
        if error {
            self.done.errors += 1;
            self.errors.push_back(self.at);
        } else {
            self.done.served += 1;
        }
        self.served_cold += 1;
        events.push(Event::Ended { id, error });
        self.fill(events);
    }

    pub(super) fn fill(&mut self, events: &mut Vec<Event>) {
        if self.state != State::Up {
            return;
        }
        while self.running.len() < self.slots() {
            let Some(job) = self.queue.pop_front() else {
                return;
            };
            if self.kind.drops_expired && job.until <= self.at {
                self.done.dropped += 1;
                events.push(Event::Dropped(job.id));
                continue;
            }
            let end = (self.progress + job.work.max(1.0)).to_bits();
            self.running.insert((end, job.id), self.at);
            self.ends.insert(job.id, end);
            events.push(Event::Began(job.id));
        }
    }
}
