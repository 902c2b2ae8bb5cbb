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
        let longest = limits.list_silence + LIST_PAUSE + limits.list_call;
        assert!(longest <= LIST_TOLD + grace, "{ms} ms: {longest:?}");
        assert!(
            limits.list_call >= Duration::from_secs(3),
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
        let none = limits.idle_reuse <= Duration::from_millis(1);
        assert!(
            none || limits.rest + limits.idle_reuse < idle_close,
            "{ms} ms: {:?}",
            limits.idle_reuse
        );
        assert!(!limits.idle_reuse.is_zero(), "the sweep would never rest");
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
            limits.stop_most + Duration::from_millis(50) <= kill,
            "{ms} ms: killed while it answers"
        );
        assert!(
            limits.stop_answer < limits.stop_most,
            "{ms} ms: no time to write what is answered last"
        );
        let last = limits.stop_accepting + deadline;
        let whole = deadline <= Duration::from_secs(3);
        assert!(
            !whole || last < limits.stop_answer,
            "{ms} ms: the last request taken is cut short"
        );
    }
}
