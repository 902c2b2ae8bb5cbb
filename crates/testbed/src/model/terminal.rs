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

impl Model<'_> {
    pub(super) fn next_arrival(&mut self, number: u32) {
        if let Some(wish) = self.sidecars[number as usize].wishes.next() {
            self.at(wish.at, Happening::Arrival(number, wish));
        }
    }

    pub(super) fn arrival(&mut self, number: u32, wish: Wish) {
        let (ask_number, now) = (self.number(), self.now);
        let Wish {
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
        self.note(Entry::Asked {
            ask: ask_number,
            sidecar: number,
            class,
            shop,
            within,
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
        let full = self.tries.len() >= self.day.load.open_most;
        let key = self.asks.insert(ask);
        if full {
            self.choked_off += 1;
            self.close_ask(key, How::ChokedOff);
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
        let [least, most] = day.terminals.patience;
        let full = from_ms(day.class[usize::from(ask.class)].deadline_ms) as f64;
        let patience = (full * sidecar.terminals.between(least, most)) as Micros;
        let due = (self.now + patience).min(ask.deadline);
        let leaves = sidecar.terminals.chance(day.terminals.leave);
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
    pub(super) fn told(&mut self, key: TryKey, how: How, pause: u32) {
        let Some(of) = self.tries.remove(key) else {
            return;
        };
        if how != How::Unreached {
            self.note(Entry::Answered { tx: of.number, how });
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
            self.ended_try(of.ask, How::Unanswered, 0);
        }
    }

    pub(super) fn leaves(&mut self, key: TryKey) {
        if self.tries.get(key).is_none_or(|t| t.answered) {
            return;
        }
        let number = self.tries.get(key).map_or(0, |t| t.number);
        self.note(Entry::Left { tx: number });
        self.abandoned(key);
        if let Some(of) = self.tries.remove(key) {
            self.close_ask(of.ask, How::Left);
        }
    }

    fn ended_try(&mut self, key: AskKey, how: How, pause: Micros) {
        let day = self.day;
        let Some(ask) = self.asks.get(key) else {
            return;
        };
        let class = &day.class[usize::from(ask.class)];
        let anywhere = class.effect == Effect::Safe;
        let again = match how {
            How::Refused | How::Unreached => true,
            How::Failed | How::Cut | How::Unanswered => anywhere,
            _ => false,
        };
        let chance = &mut self.sidecars[ask.sidecar as usize].terminals;
        let [least, most] = day.terminals.backoff_ms;
        let backoff = from_ms(chance.between(least, most));
        let wait = if ask.honours && how == How::Refused {
            pause.max(1)
        } else {
            backoff
        };
        if again && ask.tries <= day.terminals.retries && self.now + wait < ask.deadline {
            self.after(wait, Happening::Again(key));
        } else {
            self.close_ask(key, how);
        }
    }

    fn close_ask(&mut self, key: AskKey, how: How) {
        let Some(ask) = self.asks.remove(key) else {
            return;
        };
        self.note(Entry::Closed {
            ask: ask.number,
            how,
            tries: ask.tries,
        });
    }
}
