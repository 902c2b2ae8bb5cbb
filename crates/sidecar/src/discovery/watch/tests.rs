use std::future::{Future as _, poll_fn, ready};
use std::pin::pin;
use std::rc::Rc;

use arrowstand_balancer::{Idempotency, RequestClass, Settings};
use arrowstand_control::{MachineCatalogue, WorkAwareBalancer};
use futures_util::stream;

use super::*;
use crate::counters::Counters;
use crate::host::{BalancerClock, BalancerHost, EndpointListFreshness, ServerRegistry};
use crate::limits::LimitInputs;

/// Most bytes that may be processed before other tasks run: two steps.
const MAX_BYTES_PER_POLL: usize = 16 * 1024;

fn limits() -> Rc<Limits> {
    Rc::new(Limits::derive(&LimitInputs::default()))
}

fn endpoint_sink(limits: &Rc<Limits>) -> EndpointSink {
    let class = RequestClass::new(Idempotency::Idempotent, 100_000, 1_000_000);
    let settings = Settings {
        classes: vec![class],
        ..Settings::default()
    };
    let balancer = WorkAwareBalancer::new(settings, 1).expect("valid settings");
    let registry = ServerRegistry::new(Vec::new(), MachineCatalogue::default());
    let clock = Rc::new(BalancerClock::start());
    let counters = Rc::new(Counters::default());
    let freshness = EndpointListFreshness::new(limits.discovery.staleness, Rc::clone(&clock));
    let limits = Rc::clone(limits);
    let (host, _) = BalancerHost::new(balancer, registry, clock, limits, Rc::clone(&counters));
    EndpointSink::new(host, Rc::new(freshness), counters)
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

/// Receives a text at once. Returns the revision after it, and how often the watch was polled: so
/// often could other tasks run.
async fn receive(text: String) -> (u64, usize) {
    let limits = limits();
    let sink = endpoint_sink(&limits);
    let cursor = WatchCursor::new(0);
    let body = stream::once(ready(Ok(Bytes::from(text))));
    let mut watch = pin!(deliver_lists(&sink, body, &cursor, &limits));
    let mut polls = 0;
    let ended = poll_fn(|context| {
        polls += 1;
        watch.as_mut().poll(context)
    });
    assert!(matches!(ended.await, Err(WatchError::WatchEnded)));
    (cursor.revision(), polls)
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
