//! The balancer's timers, in the order in which they come due. Does not know what a timer is for.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use arrowstand_balancer::Micros;
use tokio::sync::Notify;

use super::clock::BalancerClock;

/// Timers by the time at which they are due and the token by which the balancer knows them.
#[derive(Default)]
pub(super) struct TimerQueue {
    timers: RefCell<BinaryHeap<Reverse<(Micros, u64)>>>,
    timer_added: Notify,
}

impl TimerQueue {
    /// Adds a timer that is due at a time of the balancer's clock.
    pub(super) fn schedule(&self, due: Micros, token: u64) {
        self.timers.borrow_mut().push(Reverse((due, token)));
        self.timer_added.notify_one();
    }

    /// Waits for the next timer that is due, removes it and gives its token.
    pub(super) async fn next_due(&self, clock: &BalancerClock) -> u64 {
        loop {
            let first = self.first();
            let now = clock.now();
            match first {
                Some((due, token)) if due <= now => {
                    self.timers.borrow_mut().pop();
                    return token;
                }
                Some((due, _)) => {
                    let sleep = tokio::time::sleep(Duration::from_micros(due - now));
                    tokio::select! { () = sleep => {}, () = self.timer_added.notified() => {} }
                }
                None => self.timer_added.notified().await,
            }
        }
    }

    fn first(&self) -> Option<(Micros, u64)> {
        self.timers.borrow().peek().map(|Reverse(timer)| *timer)
    }
}

#[cfg(test)]
mod tests;
