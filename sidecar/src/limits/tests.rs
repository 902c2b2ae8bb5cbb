use super::*;

#[test]
fn from_the_last_word_of_a_watch_to_the_end_of_the_next_call_no_drain_is_missed() {
    for ms in (500..10_000).step_by(100) {
        let grace = Duration::from_millis(ms);
        let limits = Limits::derive(&Basis { sockets: 256, drain_grace: grace, ..Default::default() });
        let longest = limits.list_silence + LIST_PAUSE + limits.list_call;
        assert!(longest <= LIST_TOLD + grace, "{ms} ms: {longest:?}");
        assert!(limits.list_call >= Duration::from_secs(3), "a call waits its turn: {ms} ms");
    }
}
