use std::time::Duration;

use super::discovery::{CHANGE_NOTICE_DELAY, MAX_POLL_BACKOFF};
use super::{LimitInputs, Limits};

#[test]
fn silence_and_next_poll_fit_into_notice_delay_and_drain_grace() {
    for ms in (500..10_000).step_by(100) {
        let grace = Duration::from_millis(ms);
        let limits = Limits::derive(&LimitInputs {
            sockets: 256,
            drain_grace: grace,
            max_poll_interval: Duration::from_secs(10),
            ..Default::default()
        });
        let longest = limits.discovery.watch_silence_timeout
            + MAX_POLL_BACKOFF
            + limits.discovery.poll_repeat_delay;
        assert!(
            longest <= CHANGE_NOTICE_DELAY + grace,
            "{ms} ms: {longest:?}"
        );
        assert!(
            limits.discovery.poll_repeat_delay >= Duration::from_secs(3),
            "{ms} ms: repeated too soon for a poll that discovery queues"
        );
    }
}

/// Guards against a poll that counts as accepted, and so as delayed by discovery, before it has a
/// connection, and against one that outlasts the time that the settings give for polling.
#[test]
fn polls_have_a_connection_and_are_within_the_poll_interval_when_they_are_repeated() {
    for ms in (1_000..60_000).step_by(500) {
        let max_poll_interval = Duration::from_millis(ms);
        let limits = Limits::derive(&LimitInputs {
            sockets: 256,
            drain_grace: Duration::from_secs(2),
            max_poll_interval,
            ..Default::default()
        });
        let discovery = limits.discovery;
        assert!(discovery.connect_timeout < discovery.poll_repeat_delay);
        assert!(discovery.poll_repeat_delay < max_poll_interval);
        assert!(discovery.max_poll_wait > discovery.poll_repeat_delay);
    }
}

#[test]
fn idle_connection_is_not_reused_once_its_server_may_have_closed_it() {
    for ms in 1..10_000 {
        let idle_timeout = Duration::from_millis(ms);
        let limits = Limits::derive(&LimitInputs {
            sockets: 256,
            idle_timeout,
            ..Default::default()
        });
        let is_minimum = limits.upstream.idle_reuse_timeout <= Duration::from_millis(1);
        assert!(
            is_minimum
                || limits.upstream.reuse_delay + limits.upstream.idle_reuse_timeout < idle_timeout,
            "{ms} ms: {:?}",
            limits.upstream.idle_reuse_timeout
        );
        assert!(
            !limits.upstream.idle_reuse_timeout.is_zero(),
            "the pool sweep would not sleep"
        );
    }
}

/// Guards against responses that are forced so late that SIGKILL comes before they are written,
/// and against requests that end before their deadline.
#[test]
fn shutdown_forces_responses_before_sigkill_and_after_the_last_request_deadline() {
    const LONGEST_HOLD_UP: Duration = Duration::from_millis(150);
    const TIME_TO_WRITE: Duration = Duration::from_millis(40);
    for ms in (50..30_000).step_by(50) {
        let deadline = Duration::from_millis(ms);
        let limits = Limits::derive(&LimitInputs {
            sockets: 256,
            longest_deadline: deadline,
            ..Default::default()
        });
        let sigkill_at = deadline.min(Duration::from_secs(3)) + Duration::from_millis(700);
        assert!(
            limits.shutdown.forced_response_after + LONGEST_HOLD_UP + TIME_TO_WRITE <= sigkill_at,
            "{ms} ms: SIGKILL may interrupt the last responses"
        );
        let last_deadline = limits.shutdown.accept_period + deadline;
        let is_within_bound = deadline <= Duration::from_secs(3);
        assert!(
            !is_within_bound || last_deadline < limits.shutdown.forced_response_after,
            "{ms} ms: the last accepted request ends before its deadline"
        );
    }
}
