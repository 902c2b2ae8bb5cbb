//! Plays the recorded exchanges of `tests/exchanges/*.txt` against the sidecar and compares what it
//! sent.
//!
//! A recording names its parties: clients (T1, T2 ...), connections that the sidecar opens to
//! servers (S1, S2 ... in the order they come), to discovery (D1 ...) and to where it moves (E1
//! ...), and the sidecar's process (P). Nothing is measured: every wait ends with what is awaited,
//! or fails the test. A pause only lets a time-out of the sidecar pass.

mod support;

use std::fs;
use std::process::Command;

use support::Harness;

fn play(name: &str) -> String {
    let path = format!("{}/tests/exchanges/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let script = fs::read_to_string(path).expect("a recording");
    let (first_line, steps) = script.split_once("\n@ ").expect("steps");
    let mut harness = Harness::start(name, first_line);
    for step in steps.split("\n@ ") {
        let (words, text) = step.split_once('\n').unwrap_or((step, ""));
        let (party, verb) = words.trim().split_once(' ').expect("a party and a verb");
        harness.step(party, verb, text);
    }
    harness.take_transcript()
}

macro_rules! exchanges {
    ($($name:ident)*) => { $(#[test] fn $name() { insta::assert_snapshot!(play(stringify!($name))); })* };
}

exchanges! {
    served_unchanged rejected_goes_elsewhere unsafe_reset_fails unsafe_refused_goes_elsewhere
    unsafe_error_fails keyed_stays_in_its_zone terminal_leaves cut_length_is_no_answer cut_chunks_are_no_answer
    bad_requests unread_words_count_as_not_said idle_connection_is_not_reused too_many_terminals watch_names_servers drained_gets_nothing
    stop_answers_what_is_owed redirect_is_not_followed silent_watch_is_lost
    silent_terminals_give_way endless_head_is_cut one_request_at_a_time reload_moves_the_watch
    interim_answers_are_passed_over bytes_behind_an_answer spoilt_answers_fail open_id_is_taken
    moved_server_leaves_no_connection first_requests_keep_their_places stop_answers_what_is_unread
    lost_line_asks_for_the_whole_list
    open_answer_ends_with_its_connection reset_is_no_end
    stop_ends_before_the_kill stop_keeps_short_deadlines stop_hears_no_second_word stop_sends_on_nothing_late answer_before_unread_bytes_is_whole idle_close_meets_a_request client_leaves_while_its_dial_hangs client_leaves_as_its_dial_comes_up drain_told_while_a_dial_hangs window_ends_while_a_dial_hangs
    silent_list_holds_back crowded_list_holds_back moved_list_holds_back outage_stops_no_service lost_list_is_asked_for_without_a_pause pooled_connection_ends_as_it_is_taken second_answer_is_nobodys whole_answer_then_reset_is_served server_moves_while_a_dial_hangs client_leaves_behind_a_flood restart_while_discovery_is_down stop_at_the_start stop_closes_what_rests stop_waits_for_no_half_request
    old_list_ends_no_drain discovery_counts_anew
    second_answer_comes_late second_answer_behind_an_empty_one client_leaves_with_all_it_sent rested_connection_is_used_again
    indented_list_is_read
    stop_ends_with_a_client_that_sends_on
    stop_answers_what_is_not_accepted stop_answers_what_is_half_read reload_to_where_nobody_listens
}

/// The sidecar's exit code and message for a configuration.
fn run_with_config(number: usize, config: &str) -> String {
    let path = std::env::temp_dir().join(format!(
        "arrowstand-bad-{number}-{}.json",
        std::process::id()
    ));
    fs::write(&path, config).expect("written");
    let run = Command::new(env!("CARGO_BIN_EXE_arrowstand"))
        .env("NODE_CONFIG", &path)
        .output()
        .expect("the program starts");
    fs::remove_file(path).expect("removed");
    let message = String::from_utf8_lossy(&run.stderr);
    format!("{:?} {message}", run.status.code())
}

#[test]
fn bad_configuration_names_the_key() {
    let good = include_str!("exchanges/config.json")
        .replace("{targets}", "")
        .replace("\"{idle}\"", "1")
        .replace("\"{memory}\"", "64");
    let cases = [
        ("\"objective-ms\":15000", "\"objective-ms\":\"soon\""),
        ("\"semantics\":\"pure\"", "\"semantics\":\"tidy\""),
        ("\"max-attempts\":5", "\"max-attempts\":0"),
        ("\"seed\":\"8c\"", "\"seed\":\"?\""),
        ("\"sockets\":256", "\"sockets\":-1"),
        ("\"listen\":\"127.0.0.1:1\"", "\"listen\":\"here\""),
        ("\"settings\"", "\"setting\""),
        ("{", "["),
    ];
    let mut transcript = String::new();
    for (number, (good_part, bad_part)) in cases.iter().enumerate() {
        assert!(good.contains(good_part), "{good_part}");
        transcript += &run_with_config(number, &good.replacen(good_part, bad_part, 1));
    }
    insta::assert_snapshot!(transcript);
}
