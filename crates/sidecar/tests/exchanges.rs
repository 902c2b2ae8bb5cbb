//! Plays the recordings `tests/exchanges/*.txt` against the sidecar and compares the transcript of
//! what it sent with a snapshot.
//!
//! `tests/exchanges/README.md` defines the format of the recordings: parties, options and what each
//! verb waits for. No performance is measured: each wait ends with the expected event, or the test
//! fails.

mod support;

use std::collections::BTreeSet;
use std::fs;
use std::process::Command;

use support::recording::Recording;
use support::{Harness, config_with};

const RECORDINGS_DIR: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/exchanges");

/// Plays a recording and returns the transcript.
fn play(name: &str) -> String {
    let script = read_recording(name);
    let recording = Recording::parse(&script);
    let mut harness = Harness::start(name, recording.first_line);
    for step in recording.steps {
        harness.step(step);
    }
    harness.take_transcript()
}

fn read_recording(name: &str) -> String {
    fs::read_to_string(format!("{RECORDINGS_DIR}/{name}.txt")).expect("recording is readable")
}

macro_rules! exchanges {
    ($($name:ident)*) => {
        $(#[test] fn $name() { insta::assert_snapshot!(play(stringify!($name))); })*

        /// The names of all recordings that have a test.
        const PLAYED_RECORDINGS: &[&str] = &[$(stringify!($name)),*];
    };
}

exchanges! {
    chunked_response_with_trailers_is_not_served
    client_disconnect_as_the_connect_completes_forwards_nothing
    client_disconnect_before_its_connection_is_accepted_forwards_nothing
    client_disconnect_before_its_request_is_read_forwards_nothing
    client_disconnect_behind_pipelined_input_forwards_nothing
    client_disconnect_cancels_its_attempt
    client_disconnect_during_a_pending_connect_forwards_nothing
    client_over_capacity_is_rejected_at_once
    clients_with_a_response_lose_permits_before_new_clients
    complete_response_before_a_reset_is_served
    connection_is_reused_after_its_reuse_delay
    drain_during_a_pending_connect_blocks_the_attempt
    draining_server_gets_no_new_request
    duplicate_request_id_in_flight_is_rejected
    endless_request_head_is_cut_off
    id_of_a_disconnected_client_does_not_run_again
    idle_connection_near_its_end_is_not_reused
    indented_endpoint_list_is_decoded
    interim_responses_are_skipped
    late_second_response_reaches_no_client
    malformed_requests_are_rejected
    malformed_responses_fail
    new_server_at_the_address_of_a_removed_one_gets_nothing_meant_for_that
    noise_behind_a_response_fails_it_and_a_second_copy_does_not
    non_idempotent_error_is_not_retried
    non_idempotent_refused_connection_is_retried_elsewhere
    non_idempotent_reset_is_not_retried
    older_list_does_not_end_a_drain
    pipelined_request_ends_the_connection
    polls_that_wait_block_attempts_until_the_first_one_brings_a_list
    pooled_connection_closed_as_it_is_reused_is_replaced
    queued_poll_blocks_attempts_until_a_list_comes
    redirect_is_not_followed
    rejected_attempt_is_retried_elsewhere
    rejected_polls_do_not_stop_service
    reload_to_a_refusing_discovery_blocks_nothing_after_its_notice_delay
    reload_to_a_refusing_discovery_keeps_the_list
    reload_with_a_new_discovery_moves_the_watch_at_once
    relocated_server_has_its_old_connections_closed
    request_and_response_are_forwarded_unchanged
    request_at_the_idle_timeout_is_served
    reset_watch_is_polled_again_without_backoff
    reset_within_a_response_fails_it
    response_before_unread_input_is_complete
    response_longer_than_its_length_is_not_served
    response_with_bytes_behind_it_ends_its_connection
    restart_while_polls_are_rejected_serves_from_the_cached_list
    restarted_discovery_with_lower_revisions_is_followed
    retry_with_idempotency_key_stays_in_its_zone
    second_response_behind_an_empty_one_reaches_no_client
    second_response_on_an_idle_connection_reaches_no_client
    server_relocated_during_a_pending_connect_gets_nothing_at_its_old_address
    shutdown_answers_a_half_read_request_at_its_forced_responses
    shutdown_before_any_request_is_clean
    shutdown_closes_idle_connections
    shutdown_does_not_wait_for_incomplete_requests
    shutdown_ends_though_a_client_sends_on
    shutdown_forwards_no_late_request
    shutdown_held_up_at_its_forced_responses_writes_them_all
    shutdown_ignores_further_signals
    shutdown_serves_a_connection_not_accepted_yet
    shutdown_serves_a_half_read_request
    shutdown_serves_an_unread_request
    shutdown_serves_requests_in_flight
    shutdown_with_a_hanging_server_ends_before_sigkill
    shutdown_with_a_hanging_server_keeps_short_deadlines
    silent_clients_lose_permits_to_active_ones
    silent_relocated_discovery_blocks_attempts_until_a_list_comes
    silent_watch_blocks_attempts_until_a_list_comes
    silent_watch_is_polled_again
    truncated_body_is_no_response
    truncated_chunks_are_no_response
    unreadable_line_blocks_attempts_until_the_whole_list_comes
    unreadable_line_polls_for_the_whole_list
    unreadable_timeout_and_cost_count_as_absent
    unsized_response_ends_with_its_connection
    watch_delivers_servers_and_skips_bad_entries
    deduplication_window_that_ends_during_a_connect_blocks_the_retry
}

#[test]
fn every_recording_is_played() {
    let files = fs::read_dir(RECORDINGS_DIR).expect("directory is readable");

    let recorded: BTreeSet<String> = files
        .map(|file| file.expect("directory entry is readable").file_name())
        .filter_map(|file| Some(file.to_str()?.strip_suffix(".txt")?.to_owned()))
        .collect();

    let played: BTreeSet<String> = PLAYED_RECORDINGS
        .iter()
        .map(|&name| name.to_owned())
        .collect();
    assert_eq!(recorded, played);
}

#[test]
fn readme_describes_exactly_the_verbs_that_recordings_use() {
    let readme = include_str!("exchanges/README.md");

    let used: BTreeSet<String> = PLAYED_RECORDINGS
        .iter()
        .flat_map(|name| verbs_of(&read_recording(name)))
        .collect();
    let described: BTreeSet<String> = readme
        .split_once("## Verbs")
        .expect("section on verbs")
        .1
        .lines()
        .filter_map(|line| line.strip_prefix("- `")?.split_once('`'))
        .map(|(verb, _)| verb.to_owned())
        .collect();

    assert_eq!(used, described);
}

fn verbs_of(recording: &str) -> Vec<String> {
    Recording::parse(recording)
        .steps
        .iter()
        .map(|step| step.verb.to_owned())
        .collect()
}

/// The sidecar's exit code and error message for a configuration; `case_number` makes the file name
/// unique.
fn run_with_config(case_number: usize, config: &str) -> String {
    let path = std::env::temp_dir().join(format!(
        "arrowstand-bad-{case_number}-{}.json",
        std::process::id()
    ));
    fs::write(&path, config).expect("configuration is written");
    let run = Command::new(env!("CARGO_BIN_EXE_arrowstand"))
        .env("NODE_CONFIG", &path)
        .output()
        .expect("sidecar starts");
    fs::remove_file(path).expect("configuration is removed");
    let message = String::from_utf8_lossy(&run.stderr);
    format!("{:?} {message}", run.status.code())
}

#[test]
fn configuration_error_names_the_invalid_key() {
    let valid = config_with("idle=1000 memory=64");
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
    for (case_number, (valid_part, invalid_part)) in cases.iter().enumerate() {
        assert!(valid.contains(valid_part), "{valid_part}");
        transcript += &run_with_config(case_number, &valid.replacen(valid_part, invalid_part, 1));
    }
    insta::assert_snapshot!(transcript);
}
