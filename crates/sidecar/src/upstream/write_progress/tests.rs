use std::net::SocketAddr;
use std::time::Duration;

use arrowstand_balancer::{EndpointStatus, ServerId};

use super::*;
use crate::host::{BalancerClock, EndpointListFreshness, Server};
use crate::limits::LimitInputs;
use crate::message::ClientPresence;

/// The state that the check before a request's first byte depends on.
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

    /// The progress of a new attempt at the server.
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

/// Guards against sending a request to a server whose drain was notified during a slow connect, and
/// against blocking one that is already partly written. The recording
/// `drain_during_a_pending_connect_blocks_the_attempt` tests the former with a real connection.
#[test]
fn drain_blocks_the_first_byte_but_no_later_one() {
    let fixture = Fixture::new(Duration::ZERO);
    let server = server(0);
    let blocked = fixture.progress_to(&server);
    let started = fixture.progress_to(&server);
    started.on_written(b"POST / HTTP/1.1\r\n\r");
    server.apply_status(EndpointStatus::Draining, None);
    assert_eq!(
        blocked.check_may_send(&fixture.limits),
        Err(SendBlocked::ServerDraining)
    );
    assert!(
        blocked.is_not_sent()
            && started.check_may_send(&fixture.limits).is_ok()
            && !started.is_fully_written()
    );
    started.on_written(b"\nab");
    assert!(started.is_fully_written() && !started.is_not_sent());
    server.apply_status(EndpointStatus::Ready, None);
    assert_eq!(
        blocked.check_may_send(&fixture.limits),
        Err(SendBlocked::ServerDraining),
        "a list without a newer incarnation ends no drain"
    );
    server.apply_status(EndpointStatus::Ready, Some(1_000));
    assert_eq!(
        fixture.progress_to(&server).check_may_send(&fixture.limits),
        Ok(())
    );
}

/// A stale list may not show a drain; only a server that has served a request since the last update
/// is known not to be draining.
#[test]
fn stale_list_blocks_servers_that_have_served_nothing_since_its_last_update() {
    let fixture = Fixture::new(Duration::from_secs(2));
    let server = server(0);
    fixture.list_freshness.on_watch_silent(Instant::now());
    assert_eq!(
        fixture.progress_to(&server).check_may_send(&fixture.limits),
        Ok(()),
        "the list is not stale yet"
    );
    let last_received_at = Instant::now() - Duration::from_secs(9);
    fixture.list_freshness.on_watch_silent(last_received_at);
    let drain_slack = fixture.limits.discovery.staleness.drain_slack;
    server.on_request_served(fixture.clock.now() - drain_slack);
    assert_eq!(
        fixture.progress_to(&server).check_may_send(&fixture.limits),
        Err(SendBlocked::EndpointListStale)
    );
    server.on_request_served(fixture.clock.now());
    assert_eq!(
        fixture.progress_to(&server).check_may_send(&fixture.limits),
        Ok(())
    );
    fixture.list_freshness.on_watch_event();
    assert_eq!(
        fixture
            .progress_to(&self::server(1))
            .check_may_send(&fixture.limits),
        Ok(())
    );
}

/// The state of a request as its accessors return it: started, fully written, connection ended, not
/// sent.
fn observed_state(progress: &WriteProgress) -> (bool, bool, bool, bool) {
    (
        progress.started_at().is_some(),
        progress.is_fully_written(),
        progress.connection_ended(),
        progress.is_not_sent(),
    )
}

const NOT_STARTED: (bool, bool, bool, bool) = (false, false, false, false);
const PARTLY_WRITTEN: (bool, bool, bool, bool) = (true, false, false, false);
const FULLY_WRITTEN: (bool, bool, bool, bool) = (true, true, false, false);
const CONNECTION_ENDED: (bool, bool, bool, bool) = (true, true, true, false);
const NOT_SENT: (bool, bool, bool, bool) = (false, false, false, true);

#[test]
fn written_request_passes_through_each_phase_once() {
    let progress = WriteProgress::new(None, 2);
    assert_eq!(observed_state(&progress), NOT_STARTED);
    progress.on_written(b"");
    assert_eq!(
        observed_state(&progress),
        NOT_STARTED,
        "an empty write does not start the request"
    );
    progress.on_connection_ended();
    assert_eq!(observed_state(&progress), NOT_STARTED);
    progress.on_written(b"GET / HTTP/1.1\r\n");
    assert_eq!(observed_state(&progress), PARTLY_WRITTEN);
    let started_at = progress.started_at();
    progress.on_written(b"\r\na");
    progress.on_connection_ended();
    assert_eq!(observed_state(&progress), PARTLY_WRITTEN);
    progress.on_written(b"b");
    assert_eq!(observed_state(&progress), FULLY_WRITTEN);
    progress.on_connection_ended();
    assert_eq!(observed_state(&progress), CONNECTION_ENDED);
    progress.on_connection_ended();
    assert_eq!(observed_state(&progress), CONNECTION_ENDED);
    assert_eq!(progress.started_at(), started_at);
}

#[test]
fn request_over_the_connection_limit_stays_not_sent() {
    let progress = WriteProgress::new(None, 0);
    progress.on_connection_limit_reached();
    assert_eq!(observed_state(&progress), NOT_SENT);
    progress.on_connection_ended();
    assert_eq!(observed_state(&progress), NOT_SENT);
    assert_eq!(
        progress.check_may_send(&Fixture::new(Duration::ZERO).limits),
        Ok(())
    );
    assert_eq!(
        observed_state(&progress),
        NOT_SENT,
        "a later check does not change the phase"
    );
}

#[test]
fn blocked_request_stays_not_sent() {
    let fixture = Fixture::new(Duration::ZERO);
    let server = server(0);
    let progress = fixture.progress_to(&server);
    server.apply_status(EndpointStatus::Draining, None);
    assert!(progress.check_may_send(&fixture.limits).is_err());
    assert_eq!(observed_state(&progress), NOT_SENT);
    progress.on_connection_ended();
    assert_eq!(observed_state(&progress), NOT_SENT);
    server.apply_status(EndpointStatus::Ready, Some(1_000));
    assert_eq!(progress.check_may_send(&fixture.limits), Ok(()));
    assert_eq!(
        observed_state(&progress),
        NOT_SENT,
        "a later check does not change the phase"
    );
}

proptest::proptest! {
    /// The phase depends only on the bytes written so far and on the end of the connection, however
    /// the socket splits the request.
    #[test]
    fn phase_is_determined_by_the_bytes_written(
        head in "[a-z\r\n]{0,12}",
        body in 0_usize..6,
        chunks in proptest::collection::vec((0_usize..8, proptest::bool::ANY), 0..12),
    ) {
        // The first terminator ends the head, even if it is part of the generated text.
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
                _ => FULLY_WRITTEN,
            };
            proptest::prop_assert_eq!(observed_state(&progress), expected);
        }
    }
}
