use std::cell::Cell;

use awc::http::StatusCode;
use tokio::time::{sleep, timeout};

use super::*;
use crate::discovery::test_fixture::Fixture;
use crate::limits::LimitInputs;

/// After this time a poll counts as one that never ends.
const GIVE_UP_AFTER: Duration = Duration::from_secs(60);

/// How discovery handles a call.
#[derive(Clone, Copy)]
enum Call {
    /// Its connection is lost without a word.
    Lost,
    Answered {
        after_secs: u64,
    },
    Rejected,
}

impl Call {
    async fn run(self, number: usize) -> Result<usize, WatchError> {
        match self {
            Self::Lost => std::future::pending().await,
            Self::Answered { after_secs } => {
                sleep(Duration::from_secs(after_secs)).await;
                Ok(number)
            }
            Self::Rejected => Err(WatchError::PollRejected(StatusCode::SERVICE_UNAVAILABLE)),
        }
    }
}

/// Polls, in virtual time, a discovery that handles the first call as `first` and the others as
/// `later`. Returns the number of the call that was answered, from 0, or `None` for an error, and
/// after how many milliseconds.
fn poll_discovery(first: Call, later: Call) -> (Option<usize>, u128) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    runtime.expect("runtime is created").block_on(async {
        let fixture = Fixture::new(&LimitInputs {
            drain_grace: Duration::from_secs(2),
            max_poll_interval: Duration::from_secs(10),
            ..LimitInputs::default()
        });
        let calls = Cell::new(0);
        let started_at = Instant::now();
        let start_call = || {
            let number = calls.replace(calls.get() + 1);
            let call = if number == 0 { first } else { later };
            call.run(number)
        };
        let poll = poll(start_call, &fixture.sink, &fixture.limits.discovery);
        let result = timeout(GIVE_UP_AFTER, poll).await;
        let answered = result.ok().and_then(Result::ok);
        (answered, started_at.elapsed().as_millis())
    })
}

/// Guards against a poll that is given up and made again before a slow discovery responds, and
/// against one that waits for a connection that is lost.
#[test]
fn poll_keeps_its_place_and_is_repeated_beside_it() {
    let slow = |after_secs| Call::Answered { after_secs };
    let cases = [
        (slow(5), slow(5), (Some(0), 5_000)),
        (slow(25), slow(25), (Some(0), 25_000)),
        (Call::Lost, slow(1), (Some(1), 5_500)),
        // The first call is given up after 30 s, and the latest one keeps its place from then on.
        (Call::Lost, slow(10), (Some(6), 37_000)),
        (slow(8), Call::Rejected, (Some(0), 8_000)),
        (Call::Rejected, slow(1), (None, 0)),
    ];
    for (index, (first, later, expected)) in cases.into_iter().enumerate() {
        assert_eq!(poll_discovery(first, later), expected, "case {index}");
    }
}
