use super::*;

const WINDOW: Duration = Duration::from_secs(10);
const MARGIN: Duration = Duration::from_millis(50);
const STEP: Duration = Duration::from_secs(1);

#[test]
fn the_first_attempt_has_no_start_limit() {
    let mut window = RetryWindow::new(Some(WINDOW), MARGIN);
    assert_eq!(window.on_attempt_started(Instant::now()), None);
}

#[test]
fn a_retry_without_an_idempotency_key_has_no_start_limit() {
    let mut window = RetryWindow::new(None, MARGIN);
    let start = Instant::now();
    window.on_attempt_started(start);
    assert_eq!(window.on_attempt_started(start + STEP), None);
}

#[test]
fn retries_must_start_within_the_window_of_the_first_possibly_executed_attempt() {
    let mut window = RetryWindow::new(Some(WINDOW), MARGIN);
    let start = Instant::now();
    window.on_attempt_started(start);
    window.on_attempt_ended(0, Outcome::Reset);
    let limit = Some(start + WINDOW - MARGIN);
    assert_eq!(window.on_attempt_started(start + STEP), limit);
    assert_eq!(window.on_attempt_started(start + 2 * STEP), limit);
}

#[test]
fn an_attempt_that_was_never_executed_does_not_start_the_window() {
    let mut window = RetryWindow::new(Some(WINDOW), MARGIN);
    let start = Instant::now();
    window.on_attempt_started(start);
    window.on_attempt_ended(0, Outcome::Rejected);
    assert_eq!(window.on_attempt_started(start + STEP), None);
    let limit = Some(start + STEP + WINDOW - MARGIN);
    assert_eq!(window.on_attempt_started(start + 2 * STEP), limit);
}

#[test]
fn the_outcome_of_an_unknown_attempt_is_ignored() {
    let mut window = RetryWindow::new(Some(WINDOW), MARGIN);
    window.on_attempt_ended(3, Outcome::NotSent);
    assert_eq!(window.on_attempt_started(Instant::now()), None);
}
