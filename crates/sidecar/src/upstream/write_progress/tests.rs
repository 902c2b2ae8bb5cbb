use std::net::SocketAddr;
use std::time::Duration;

use arrowstand_balancer::{EndpointStatus, ServerId};

use super::*;
use crate::host::{BalancerClock, EndpointListFreshness, Server};
use crate::limits::LimitInputs;
use crate::message::ClientPresence;

/// What a request's first byte is checked against.
struct Fixture {
    limits: Rc<Limits>,
    clock: Rc<BalancerClock>,
    list_freshness: Rc<EndpointListFreshness>,
}

impl Fixture {
    fn new(drain_grace: Duration) -> Self {
        let limits = Limits::derive(&LimitInputs {
            sockets: 64,
            drain_grace,
            ..Default::default()
        });
        let clock = Rc::new(BalancerClock::start());
        let staleness = limits.discovery.staleness;
        let list_freshness = EndpointListFreshness::new(staleness, Rc::clone(&clock));
        Self {
            limits: Rc::new(limits),
            clock,
            list_freshness: Rc::new(list_freshness),
        }
    }

    /// The progress of an attempt to the server that has just been made.
    fn progress_to(&self, server: &Rc<Server>) -> Rc<WriteProgress> {
        let guard = SendGuard {
            list_freshness: Rc::clone(&self.list_freshness),
            server: Rc::clone(server),
            address: server.address(),
            presence: ClientPresence::default(),
            attempt_deadline: Instant::now() + Duration::from_secs(9),
            start_before: None,
        };
        WriteProgress::new(Some(guard), 2)
    }
}

fn server(number: u32) -> Rc<Server> {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    Rc::new(Server::new(ServerId(number), address))
}

/// A drain that is notified between the decision and a slow connect: loopback connects too fast to
/// record it.
#[test]
fn a_drain_blocks_the_first_byte_but_no_later_one() {
    let fixture = Fixture::new(Duration::ZERO);
    let server = server(0);
    let blocked = fixture.progress_to(&server);
    let started = fixture.progress_to(&server);
    started.on_written(b"POST / HTTP/1.1\r\n\r");
    server.on_listed(EndpointStatus::Draining, None);
    assert_eq!(
        blocked.check_first_byte(&fixture.limits),
        Err(SendBlocked::ServerDraining)
    );
    assert!(
        blocked.is_not_sent()
            && started.check_first_byte(&fixture.limits).is_ok()
            && !started.is_complete()
    );
    started.on_written(b"\nab");
    assert!(started.is_complete() && !started.is_not_sent());
    server.on_listed(EndpointStatus::Ready, None);
    assert_eq!(
        blocked.check_first_byte(&fixture.limits),
        Err(SendBlocked::ServerDraining),
        "an old list ends no drain"
    );
    server.on_listed(EndpointStatus::Ready, Some(1_000));
    assert_eq!(
        fixture
            .progress_to(&server)
            .check_first_byte(&fixture.limits),
        Ok(())
    );
}

/// A stale list may hide a drain; only a server that has served a request since then is known not
/// to be draining.
#[test]
fn a_stale_list_blocks_servers_that_have_served_nothing_since() {
    let fixture = Fixture::new(Duration::from_secs(2));
    let server = server(0);
    fixture.list_freshness.on_watch_silent(Instant::now());
    assert_eq!(
        fixture
            .progress_to(&server)
            .check_first_byte(&fixture.limits),
        Ok(()),
        "the list is not stale yet"
    );
    let last_received_at = Instant::now() - Duration::from_secs(9);
    fixture.list_freshness.on_watch_silent(last_received_at);
    let drain_slack = fixture.limits.discovery.staleness.drain_slack;
    server.on_request_served(fixture.clock.now() - drain_slack);
    assert_eq!(
        fixture
            .progress_to(&server)
            .check_first_byte(&fixture.limits),
        Err(SendBlocked::EndpointListStale)
    );
    server.on_request_served(fixture.clock.now());
    assert_eq!(
        fixture
            .progress_to(&server)
            .check_first_byte(&fixture.limits),
        Ok(())
    );
    fixture.list_freshness.on_watch_event();
    assert_eq!(
        fixture
            .progress_to(&self::server(1))
            .check_first_byte(&fixture.limits),
        Ok(())
    );
}

/// What the rest of the sidecar sees of a request's progress: started, complete, connection ended,
/// not sent.
fn observed(progress: &WriteProgress) -> (bool, bool, bool, bool) {
    (
        progress.started_at().is_some(),
        progress.is_complete(),
        progress.connection_ended(),
        progress.is_not_sent(),
    )
}

const NOT_STARTED: (bool, bool, bool, bool) = (false, false, false, false);
const PARTLY_WRITTEN: (bool, bool, bool, bool) = (true, false, false, false);
const COMPLETE: (bool, bool, bool, bool) = (true, true, false, false);
const CONNECTION_ENDED: (bool, bool, bool, bool) = (true, true, true, false);
const NOT_SENT: (bool, bool, bool, bool) = (false, false, false, true);

#[test]
fn a_written_request_passes_through_each_phase_once() {
    let progress = WriteProgress::new(None, 2);
    assert_eq!(observed(&progress), NOT_STARTED);
    progress.on_written(b"");
    assert_eq!(observed(&progress), NOT_STARTED, "no byte starts nothing");
    progress.on_connection_ended();
    assert_eq!(observed(&progress), NOT_STARTED);
    progress.on_written(b"GET / HTTP/1.1\r\n");
    assert_eq!(observed(&progress), PARTLY_WRITTEN);
    let started_at = progress.started_at();
    progress.on_written(b"\r\na");
    progress.on_connection_ended();
    assert_eq!(observed(&progress), PARTLY_WRITTEN);
    progress.on_written(b"b");
    assert_eq!(observed(&progress), COMPLETE);
    progress.on_connection_ended();
    assert_eq!(observed(&progress), CONNECTION_ENDED);
    progress.on_connection_ended();
    assert_eq!(observed(&progress), CONNECTION_ENDED);
    assert_eq!(progress.started_at(), started_at);
}

#[test]
fn a_request_without_a_descriptor_stays_not_sent() {
    let progress = WriteProgress::new(None, 0);
    progress.on_connection_limit_reached();
    assert_eq!(observed(&progress), NOT_SENT);
    progress.on_connection_ended();
    assert_eq!(observed(&progress), NOT_SENT);
    assert_eq!(
        progress.check_first_byte(&Fixture::new(Duration::ZERO).limits),
        Ok(())
    );
    assert_eq!(
        observed(&progress),
        NOT_SENT,
        "a later look takes nothing back"
    );
}

#[test]
fn a_blocked_request_stays_not_sent() {
    let fixture = Fixture::new(Duration::ZERO);
    let server = server(0);
    let progress = fixture.progress_to(&server);
    server.on_listed(EndpointStatus::Draining, None);
    assert!(progress.check_first_byte(&fixture.limits).is_err());
    assert_eq!(observed(&progress), NOT_SENT);
    progress.on_connection_ended();
    assert_eq!(observed(&progress), NOT_SENT);
    server.on_listed(EndpointStatus::Ready, Some(1_000));
    assert_eq!(progress.check_first_byte(&fixture.limits), Ok(()));
    assert_eq!(
        observed(&progress),
        NOT_SENT,
        "a later look takes nothing back"
    );
}

proptest::proptest! {
    /// However the socket splits a request, and whenever the connection ends, one phase follows
    /// from the bytes.
    #[test]
    fn the_phase_follows_from_the_bytes_written(
        head in "[a-z\r\n]{0,12}",
        body in 0_usize..6,
        chunks in proptest::collection::vec((0_usize..8, proptest::bool::ANY), 0..12),
    ) {
        // The first end-of-head mark ends the head, wherever it comes.
        let head = format!("{head}\r\n\r\n");
        let end = head.find("\r\n\r\n").unwrap_or_default() + 4;
        let request = [&head.as_bytes()[..end], &vec![b'\r'; body]].concat();
        let progress = WriteProgress::new(None, body);
        let mut written = 0;
        let mut ended = false;
        for (length, connection_ends) in chunks {
            let next = (written + length).min(request.len());
            progress.on_written(&request[written..next]);
            written = next;
            if connection_ends {
                progress.on_connection_ended();
                ended |= written == request.len();
            }
            let expected = match written {
                0 => NOT_STARTED,
                _ if written < request.len() => PARTLY_WRITTEN,
                _ if ended => CONNECTION_ENDED,
                _ => COMPLETE,
            };
            proptest::prop_assert_eq!(observed(&progress), expected);
        }
    }
}
