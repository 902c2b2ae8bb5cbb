use futures_util::FutureExt as _;

use super::*;

#[tokio::test(flavor = "current_thread")]
async fn timers_that_are_due_come_in_the_order_of_their_times() {
    let clock = BalancerClock::start();
    let timers = TimerQueue::default();
    let start = clock.unix_time_at_start();
    timers.schedule(start - 1, 7);
    timers.schedule(start - 3, 9);
    timers.schedule(start - 2, 8);
    let mut tokens = Vec::new();
    for _ in 0..3 {
        tokens.push(timers.next_due(&clock).await);
    }
    assert_eq!(tokens, [9, 8, 7]);
}

#[tokio::test(flavor = "current_thread")]
async fn a_timer_that_is_not_due_is_kept() {
    const HOUR: Micros = 3_600_000_000;
    let clock = BalancerClock::start();
    let timers = TimerQueue::default();
    timers.schedule(clock.now() + HOUR, 1);
    assert_eq!(timers.next_due(&clock).now_or_never(), None);
    timers.schedule(clock.now(), 2);
    assert_eq!(timers.next_due(&clock).await, 2);
}

#[tokio::test(flavor = "current_thread")]
async fn a_timer_that_is_added_ends_the_wait_for_a_later_one() {
    const HOUR: Micros = 3_600_000_000;
    let clock = BalancerClock::start();
    let timers = TimerQueue::default();
    timers.schedule(clock.now() + HOUR, 1);
    let (token, ()) = tokio::join!(timers.next_due(&clock), async {
        tokio::task::yield_now().await;
        timers.schedule(clock.now(), 2);
    });
    assert_eq!(token, 2);
}
