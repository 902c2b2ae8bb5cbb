use futures_util::FutureExt as _;

use super::*;

#[tokio::test(flavor = "current_thread")]
async fn due_timers_fire_in_order_of_their_due_times() {
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
async fn a_timer_that_is_not_due_does_not_fire() {
    const HOUR: Micros = 3_600_000_000;
    let clock = BalancerClock::start();
    let timers = TimerQueue::default();
    timers.schedule(clock.now() + HOUR, 1);
    assert_eq!(timers.next_due(&clock).now_or_never(), None);
    timers.schedule(clock.now(), 2);
    assert_eq!(timers.next_due(&clock).await, 2);
}

#[tokio::test(flavor = "current_thread")]
async fn a_timer_added_during_a_wait_fires_before_a_later_one() {
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
