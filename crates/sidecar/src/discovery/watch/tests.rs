use std::future::{Future as _, poll_fn, ready};
use std::pin::pin;

use arrowstand_balancer::ServerId;
use futures_util::{FutureExt as _, stream};
use proptest::prelude::*;

use super::*;
use crate::discovery::test_fixture::Fixture;
use crate::limits::LimitInputs;

/// Servers that random lists name.
const SERVERS: u32 = 6;
/// Most bytes that may be processed before other tasks run: two steps.
const MAX_BYTES_PER_POLL: usize = 16 * 1024;

impl Fixture {
    /// Delivers a watch's body until its end; returns how often the watch was polled: so often
    /// could other tasks run.
    async fn deliver(&self, body: impl Stream<Item = Result<Bytes, PayloadError>>) -> usize {
        let body = pin!(body);
        let mut watch = pin!(deliver_lists(&self.sink, body, &self.cursor, &self.limits));
        let mut polls = 0;
        let ended = poll_fn(|context| {
            polls += 1;
            watch.as_mut().poll(context)
        });
        assert!(matches!(ended.await, Err(WatchError::WatchEnded)));
        polls
    }

    /// The servers by id with their address and whether they accept requests, the number of lists,
    /// and the last revision.
    fn state(&self) -> (Vec<Option<(SocketAddr, bool)>>, u64, u64) {
        let server = |id| {
            let server = self.host.server(ServerId(id))?;
            Some((server.address(), server.time_not_ready().is_none()))
        };
        let servers = (0..SERVERS).map(server).collect();
        let lists = self.counters.endpoint_updates.get();
        (servers, lists, self.cursor.revision())
    }
}

/// A list on one line with this number of servers.
fn list(is_full: bool, revision: usize, servers: usize) -> String {
    let entry = |n: usize| {
        let address = format!("127.7.{}.{}:9", n / 200, n % 200 + 1);
        format!(r#"{{"uid":"s{n}","endpoint":"{address}","state":"ready"}}"#)
    };
    let entries: Vec<String> = (0..servers).map(entry).collect();
    let entries = entries.join(",");
    format!("{{\"rev\":{revision},\"all\":{is_full},\"targets\":[{entries}]}}\n")
}

/// Receives a text at once. Returns the revision after it, and how often other tasks could run.
async fn receive(text: String) -> (u64, usize) {
    let fixture = Fixture::new(&LimitInputs::default());
    let body = stream::once(ready(Ok(Bytes::from(text))));
    let polls = fixture.deliver(body).await;
    (fixture.cursor.revision(), polls)
}

/// Guards against a full list that holds the thread until it has been parsed and read.
#[tokio::test(flavor = "current_thread")]
async fn other_tasks_run_while_a_large_list_is_read() {
    let text = list(true, 7, 3_200);
    let bytes = text.len();
    let (revision, polls) = receive(text).await;
    assert_eq!(revision, 7);
    assert!(polls > bytes / MAX_BYTES_PER_POLL, "{polls} polls");
}

/// Guards against many small objects in one chunk that hold the thread together.
#[tokio::test(flavor = "current_thread")]
async fn other_tasks_run_while_many_deltas_and_heartbeats_are_handled() {
    let deltas: String = (1..=500).map(|n| list(false, n, 1) + "\n\n").collect();
    let bytes = deltas.len();
    let (revision, polls) = receive(deltas).await;
    assert_eq!(revision, 500);
    assert!(polls > bytes / MAX_BYTES_PER_POLL, "{polls} polls");
}

/// Guards against short full lists in one chunk that hold the thread together: each of them costs
/// work for all servers.
#[tokio::test(flavor = "current_thread")]
async fn other_tasks_run_after_each_full_list() {
    let lists: String = (1..=50).map(|n| list(true, n, 1)).collect();
    let (revision, polls) = receive(lists).await;
    assert_eq!(revision, 50);
    assert!(polls >= 50, "{polls} polls");
}

/// Guards against lists that are lost when a watch is given up, for a new poll or address, before
/// they are applied: the next poll must request them again.
#[tokio::test(flavor = "current_thread")]
async fn watch_that_is_dropped_has_not_moved_past_lists_that_are_not_applied() {
    let fixture = Fixture::new(&LimitInputs::default());
    let deltas: String = (1..=40).map(|n| list(false, n, 1)).collect();
    let text = deltas + &list(true, 41, 3_200);
    let body = stream::once(ready(Ok(Bytes::from(text))));
    let mut delivery = Box::pin(fixture.deliver(body));
    let mut revisions = Vec::new();
    for _ in 0..4 {
        assert!(delivery.as_mut().now_or_never().is_none());
        revisions.push((fixture.cursor.revision(), fixture.state().1));
    }
    drop(delivery);
    // Each list has one count and one revision.
    assert!(revisions.iter().all(|(revision, lists)| revision == lists));
    assert!(revisions.iter().all(|(revision, _)| *revision < 41));
}

/// A list of some servers with random addresses, statuses and start times.
fn any_list() -> impl Strategy<Value = String> {
    let statuses = prop::sample::select(vec!["ready", "draining", "gone"]);
    let entry = (0..SERVERS, 1..3_u16, statuses, 0..3_u32).prop_map(|(n, port, status, boot)| {
        let address = format!("127.0.0.1:{port}");
        format!(r#"{{"uid":"s{n}","endpoint":"{address}","state":"{status}","boot_ms":{boot}}}"#)
    });
    let entries = prop::collection::vec(entry, 0..3);
    let is_full = prop::bool::weighted(0.1);
    (1..20_u64, is_full, entries).prop_map(|(revision, is_full, entries)| {
        let entries = entries.join(",");
        format!("{{\"rev\":{revision},\"all\":{is_full},\"targets\":[{entries}]}}\n")
    })
}

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build();
    runtime.expect("runtime is created").block_on(future)
}

proptest! {
    /// Lists that arrive together have the same effect as lists that arrive one by one.
    #[test]
    fn merged_deltas_have_the_effect_of_each_by_itself(
        lists in prop::collection::vec(any_list(), 1..20),
        chunk_bytes in 20..2_000_usize,
    ) {
        let one_by_one = Fixture::new(&LimitInputs::default());
        for list in &lists {
            // The watch ends after each list, so the next one cannot be merged with it.
            let body = stream::once(ready(Ok(Bytes::from(list.clone()))));
            run(one_by_one.deliver(body));
        }
        let together = Fixture::new(&LimitInputs::default());
        let text = lists.concat();
        let chunks = text.as_bytes().chunks(chunk_bytes);
        let chunks: Vec<Bytes> = chunks.map(Bytes::copy_from_slice).collect();
        run(together.deliver(stream::iter(chunks.into_iter().map(Ok))));
        prop_assert_eq!(together.state(), one_by_one.state());
    }
}
