//! What is done to a machine beside the requests that it is offered.

use super::*;

impl ServerModel {
    /// Nobody waits for a request any more. True if it had not begun and never will.
    pub fn cancel(&mut self, now: Micros, id: u64, events: &mut Vec<Event>) -> bool {
        self.advance(now, events);
        if self.kind.cancel == Cancel::None {
            return false;
        }
        if let Some(at) = self.queue.iter().position(|j| j.id == id) {
            self.queue.remove(at);
            self.done.stopped += 1;
            self.watch_crowd();
            return true;
        }
        if self.kind.cancel == Cancel::All
            && let Some(end) = self.ends.remove(&id)
        {
            self.running.remove(&(end, id));
            self.done.stopped += 1;
            self.fill(events);
            self.watch_crowd();
        }
        false
    }

    /// Work beside the requests: a handshake.
    pub fn handshake(&mut self, now: Micros, events: &mut Vec<Event>) {
        self.advance(now, events);
        self.debt += self.kind.handshake_ms * 1_000.0;
    }

    /// A connection came or went; false if there is no room for one more.
    pub fn connect(&mut self) -> bool {
        let room = self.connections < self.kind.connections;
        self.connections += usize::from(room);
        room
    }

    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Changes how it stands. Going down forgets all that is held; coming up is a cold start.
    pub fn set_state(&mut self, now: Micros, state: State, events: &mut Vec<Event>) {
        self.advance(now, events);
        let was = std::mem::replace(&mut self.state, state);
        match (was, state) {
            (State::Down, State::Up) => {
                self.cold_since = Some(now);
                (self.served_cold, self.debt, self.connections) = (0, 0.0, 0);
                (self.crowded, self.choking) = (None, None);
                self.pressure.clear();
                self.taken.clear();
            }
            (_, State::Down) => {
                self.running.clear();
                self.ends.clear();
                self.queue.clear();
            }
            _ => {}
        }
        self.fill(events);
    }

    /// Makes it so many times slower than usual.
    pub fn set_slower(&mut self, now: Micros, times: f64, events: &mut Vec<Event>) {
        self.advance(now, events);
        self.slower = times.max(1e-3);
    }

    /// Makes it fail this share of its requests; the kind's own share where nothing is said.
    pub fn set_errors(&mut self, share: Option<f64>) {
        self.error_rate = share.unwrap_or(self.kind.error_rate);
    }
}
