use std::time::Duration;

use super::discovery::{CHANGE_NOTICE_DELAY, MAX_POLL_BACKOFF};
use super::{LimitInputs, Limits};

#[test]
fn from_the_last_event_of_a_watch_to_the_end_of_the_next_call_no_drain_is_missed() {
    for ms in (500..10_000).step_by(100) {
        let grace = Duration::from_millis(ms);
        let limits = Limits::derive(&LimitInputs {
            sockets: 256,
            drain_grace: grace,
            ..Default::default()
        });
        let longest = limits.discovery.watch_silence_timeout
            + MAX_POLL_BACKOFF
            + limits.discovery.poll_timeout;
        assert!(
            longest <= CHANGE_NOTICE_DELAY + grace,
            "{ms} ms: {longest:?}"
        );
        assert!(
            limits.discovery.poll_timeout >= Duration::from_secs(3),
            "too short for a poll that is queued: {ms} ms"
        );
    }
}

#[test]
fn an_idle_connection_is_not_reused_once_its_server_may_have_closed_it() {
    for ms in 1..10_000 {
        let idle_timeout = Duration::from_millis(ms);
        let limits = Limits::derive(&LimitInputs {
            sockets: 256,
            idle_timeout,
            ..Default::default()
        });
        let none = limits.upstream.idle_reuse_timeout <= Duration::from_millis(1);
        assert!(
            none || limits.upstream.reuse_delay + limits.upstream.idle_reuse_timeout < idle_timeout,
            "{ms} ms: {:?}",
            limits.upstream.idle_reuse_timeout
        );
        assert!(
            !limits.upstream.idle_reuse_timeout.is_zero(),
            "the sweep of the pool would have no pause"
        );
    }
}

#[test]
fn a_shutdown_ends_before_the_kill_and_after_the_last_deadline_that_fits() {
    for ms in (50..30_000).step_by(50) {
        let deadline = Duration::from_millis(ms);
        let limits = Limits::derive(&LimitInputs {
            sockets: 256,
            longest_deadline: deadline,
            ..Default::default()
        });
        let kill = deadline.min(Duration::from_secs(3)) + Duration::from_millis(700);
        assert!(
            limits.shutdown.exit_after + Duration::from_millis(50) <= kill,
            "{ms} ms: killed while responses are written"
        );
        assert!(
            limits.shutdown.forced_response_after < limits.shutdown.exit_after,
            "{ms} ms: no time to write the last responses"
        );
        let last = limits.shutdown.accept_period + deadline;
        let whole = deadline <= Duration::from_secs(3);
        assert!(
            !whole || last < limits.shutdown.forced_response_after,
            "{ms} ms: the last accepted request is cut short"
        );
    }
}
