//! The queue of the balancer's timers, ordered by due time.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use arrowstand_balancer::Micros;
use tokio::sync::Notify;

use super::clock::BalancerClock;

/// A timer that fires this late shows that a task has occupied the thread. It is longer than the
/// platform holds up a process.
const EVENT_LOOP_DELAY_WARNING: Duration = Duration::from_millis(200);

/// Pending timers, ordered by due time and then by the balancer's token. What a token stands for is
/// known only to the balancer.
#[derive(Default)]
pub(super) struct TimerQueue {
    timers: RefCell<BinaryHeap<Reverse<(Micros, u64)>>>,
    timer_added: Notify,
}

impl TimerQueue {
    /// Adds a timer that is due at `due` on the balancer's clock.
    pub(super) fn schedule(&self, due: Micros, token: u64) {
        self.timers.borrow_mut().push(Reverse((due, token)));
        self.timer_added.notify_one();
    }

    /// Waits until a timer is due, removes it and returns its token.
    pub(super) async fn next_due(&self, clock: &BalancerClock) -> u64 {
        loop {
            let first = self.peek();
            let now = clock.now();
            match first {
                Some((due, token)) if due <= now => {
                    self.timers.borrow_mut().pop();
                    warn_if_late(Duration::from_micros(now - due));
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

    fn peek(&self) -> Option<(Micros, u64)> {
        self.timers.borrow().peek().map(|Reverse(timer)| *timer)
    }
}

/// Logs that requests, timers and signals have waited for the thread.
fn warn_if_late(delay: Duration) {
    if delay >= EVENT_LOOP_DELAY_WARNING {
        let delay_ms = delay.as_millis();
        tracing::warn!(delay_ms, "event loop was blocked");
    }
}

#[cfg(test)]
mod tests;
