use super::*;

#[test]
fn from_the_last_word_of_a_watch_to_the_end_of_the_next_call_no_drain_is_missed() {
    for ms in (500..10_000).step_by(100) {
        let grace = Duration::from_millis(ms);
        let limits = Limits::derive(&Basis {
            sockets: 256,
            drain_grace: grace,
            ..Default::default()
        });
        let longest =
            limits.discovery.watch_silence_timeout + MAX_POLL_PAUSE + limits.discovery.poll_timeout;
        assert!(longest <= NEWS_KNOWN_AFTER + grace, "{ms} ms: {longest:?}");
        assert!(
            limits.discovery.poll_timeout >= Duration::from_secs(3),
            "a call waits its turn: {ms} ms"
        );
    }
}

#[test]
fn a_rested_connection_is_not_used_once_its_server_may_have_closed_it() {
    for ms in 1..10_000 {
        let idle_close = Duration::from_millis(ms);
        let limits = Limits::derive(&Basis {
            sockets: 256,
            idle_close,
            ..Default::default()
        });
        let none = limits.upstream.idle_reuse_timeout <= Duration::from_millis(1);
        assert!(
            none || limits.upstream.reuse_delay + limits.upstream.idle_reuse_timeout < idle_close,
            "{ms} ms: {:?}",
            limits.upstream.idle_reuse_timeout
        );
        assert!(
            !limits.upstream.idle_reuse_timeout.is_zero(),
            "the sweep would never rest"
        );
    }
}

#[test]
fn a_stop_is_over_before_the_platform_kills_and_after_the_last_deadline_that_fits() {
    for ms in (50..30_000).step_by(50) {
        let deadline = Duration::from_millis(ms);
        let limits = Limits::derive(&Basis {
            sockets: 256,
            deadline,
            ..Default::default()
        });
        let kill = deadline.min(Duration::from_secs(3)) + Duration::from_millis(700);
        assert!(
            limits.shutdown.exit_after + Duration::from_millis(50) <= kill,
            "{ms} ms: killed while it answers"
        );
        assert!(
            limits.shutdown.answer_after < limits.shutdown.exit_after,
            "{ms} ms: no time to write what is answered last"
        );
        let last = limits.shutdown.accept_for + deadline;
        let whole = deadline <= Duration::from_secs(3);
        assert!(
            !whole || last < limits.shutdown.answer_after,
            "{ms} ms: the last request taken is cut short"
        );
    }
}
