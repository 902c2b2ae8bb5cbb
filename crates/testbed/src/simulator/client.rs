//! The model's terminals: what they ask for, how long they wait, and when they try again.

use super::*;
use crate::scenario::Effect;

/// A wish of a terminal, with all its tries.
pub struct Ask {
    pub number: u64,
    sidecar: u32,
    class: u16,
    work: f64,
    hint: Option<Micros>,
    deadline: Micros,
    tries: u32,
    honours: bool,
}

impl Simulator<'_> {
    pub(super) fn next_arrival(&mut self, number: u32) {
        if let Some(wish) = self.sidecars[number as usize].wishes.next() {
            self.at(wish.at, Happening::Arrival(number, wish));
        }
    }

    pub(super) fn arrival(&mut self, number: u32, wish: Arrival) {
        let (ask_number, now) = (self.number(), self.now);
        let Arrival {
            class,
            shop,
            work,
            hint,
            honours,
            ..
        } = wish;
        let within = self
            .quotas
            .get_mut(usize::from(shop))
            .is_none_or(|quota| quota.take(now));
        self.note(LogEvent::ArrivalStarted {
            arrival: ask_number,
            sidecar: number,
            class,
            tenant: shop,
            within_share: within,
            work,
        });
        let deadline = now + from_ms(self.day.class[usize::from(class)].deadline_ms);
        let ask = Ask {
            number: ask_number,
            sidecar: number,
            class,
            work,
            hint,
            deadline,
            tries: 0,
            honours,
        };
        let full = self.tries.len() >= self.day.load.max_open_requests;
        let key = self.asks.insert(ask);
        if full {
            self.choked_off += 1;
            self.close_ask(key, RequestOutcome::NotPlayed);
        } else {
            self.attempt(key);
        }
        self.next_arrival(number);
    }

    /// One try, the first or a further one.
    pub(super) fn attempt(&mut self, key: AskKey) {
        let number = self.number();
        let day = self.day;
        let Some(ask) = self.asks.get_mut(key) else {
            return;
        };
        ask.tries += 1;
        let sidecar = &mut self.sidecars[ask.sidecar as usize];
        let [least, most] = day.clients.timeout_share;
        let full = from_ms(day.class[usize::from(ask.class)].deadline_ms) as f64;
        let patience = (full * sidecar.terminals.between(least, most)) as Micros;
        let due = (self.now + patience).min(ask.deadline);
        let leaves = sidecar.terminals.chance(day.clients.disconnect_share);
        let leaves_at = self.now + (sidecar.terminals.unit() * patience as f64) as Micros;
        let (of, life) = (ask.sidecar, sidecar.life);
        let (class, work, hint) = (ask.class, ask.work, ask.hint);
        let new = Try {
            number,
            ask: key,
            sidecar: of,
            life,
            class,
            work,
            hint,
            due,
            tasks: Vec::new(),
            answered: false,
        };
        let new = self.tries.insert(new);
        self.after(from_ms(day.network.client_ms), Happening::Reached(new));
        self.at(due, Happening::GivenUp(new));
        if leaves {
            self.at(leaves_at, Happening::Leaves(new));
        }
    }

    /// The final answer is at the terminal.
    pub(super) fn told(&mut self, key: TryKey, how: RequestOutcome, pause: u32) {
        let Some(of) = self.tries.remove(key) else {
            return;
        };
        if how != RequestOutcome::Unreachable {
            self.note(LogEvent::ResponseReceived {
                request: of.number,
                outcome: how,
            });
        }
        self.ended_try(of.ask, how, Micros::from(pause));
    }

    /// A terminal's patience is over.
    pub(super) fn given_up(&mut self, key: TryKey) {
        // What has been answered is on its way and comes within the grace.
        if self.tries.get(key).is_none_or(|t| t.answered) {
            return;
        }
        self.abandoned(key);
        if let Some(of) = self.tries.remove(key) {
            self.ended_try(of.ask, RequestOutcome::Unanswered, 0);
        }
    }

    pub(super) fn leaves(&mut self, key: TryKey) {
        if self.tries.get(key).is_none_or(|t| t.answered) {
            return;
        }
        let number = self.tries.get(key).map_or(0, |t| t.number);
        self.note(LogEvent::ClientDisconnected { request: number });
        self.abandoned(key);
        if let Some(of) = self.tries.remove(key) {
            self.close_ask(of.ask, RequestOutcome::Disconnected);
        }
    }

    fn ended_try(&mut self, key: AskKey, how: RequestOutcome, pause: Micros) {
        let day = self.day;
        let Some(ask) = self.asks.get(key) else {
            return;
        };
        let class = &day.class[usize::from(ask.class)];
        let anywhere = class.idempotency == Effect::Safe;
        let again = match how {
            RequestOutcome::Rejected | RequestOutcome::Unreachable => true,
            RequestOutcome::Failed
            | RequestOutcome::ConnectionLost
            | RequestOutcome::Unanswered => anywhere,
            _ => false,
        };
        let chance = &mut self.sidecars[ask.sidecar as usize].terminals;
        let [least, most] = day.clients.backoff_ms;
        let backoff = from_ms(chance.between(least, most));
        let wait = if ask.honours && how == RequestOutcome::Rejected {
            pause.max(1)
        } else {
            backoff
        };
        if again && ask.tries <= day.clients.retries && self.now + wait < ask.deadline {
            self.after(wait, Happening::Again(key));
        } else {
            self.close_ask(key, how);
        }
    }

    fn close_ask(&mut self, key: AskKey, how: RequestOutcome) {
        let Some(ask) = self.asks.remove(key) else {
            return;
        };
        self.note(LogEvent::ArrivalEnded {
            arrival: ask.number,
            outcome: how,
            requests: ask.tries,
        });
    }
}
