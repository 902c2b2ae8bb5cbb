use arrowstand_balancer::{EndpointStatus, ServerId};
use arrowstand_control::WorkAwareBalancer;

use super::*;
use crate::config::Names;

fn host(drain_grace: std::time::Duration) -> Rc<BalancerHost> {
    let basis = crate::limits::Basis {
        sockets: 64,
        drain_grace,
        ..Default::default()
    };
    let limits = Rc::new(Limits::derive(&basis));
    let settings = arrowstand_balancer::Settings {
        classes: vec![arrowstand_balancer::RequestClass::new(
            arrowstand_balancer::Idempotency::Idempotent,
            1,
            1,
        )],
        ..Default::default()
    };
    let balancer = WorkAwareBalancer::new(settings, 1).expect("settings");
    BalancerHost::new(balancer, Names::default(), limits, Rc::default()).0
}

fn sending(host: &Rc<BalancerHost>, server: &Rc<Server>) -> Rc<WriteProgress> {
    let gate = SendGuard {
        host: Rc::clone(host),
        server: Rc::clone(server),
        address: server.address(),
        presence: ClientPresence::default(),
        attempt_deadline: Instant::now() + std::time::Duration::from_secs(9),
        start_before: None,
    };
    WriteProgress::new(Some(gate), 2)
}

/// A drain told between the decision and a slow connect: loopback connects too fast to record it.
#[test]
fn a_drain_stops_the_first_byte_but_no_later_one() {
    let host = host(std::time::Duration::ZERO);
    let server = Rc::new(Server::new(
        ServerId(0),
        SocketAddr::from(([127, 0, 0, 1], 9)),
    ));
    let (late, begun) = (sending(&host, &server), sending(&host, &server));
    begun.on_written(b"POST / HTTP/1.1\r\n\r");
    server.on_listed(EndpointStatus::Draining, 0.0);
    assert_eq!(
        late.check_first_byte(&host.limits),
        Err(SendBlocked::ServerDraining)
    );
    assert!(
        late.is_not_sent() && begun.check_first_byte(&host.limits).is_ok() && !begun.is_complete()
    );
    begun.on_written(b"\nab");
    assert!(begun.is_complete() && !begun.is_not_sent());
    server.on_listed(EndpointStatus::Ready, 0.0);
    assert_eq!(
        late.check_first_byte(&host.limits),
        Err(SendBlocked::ServerDraining),
        "an old list ends no drain"
    );
    server.on_listed(EndpointStatus::Ready, 1.0);
    assert_eq!(
        sending(&host, &server).check_first_byte(&host.limits),
        Ok(())
    );
}

/// A list that may hide a drain: only a server that took work since is known to be no part of it.
#[test]
fn a_list_too_old_stops_what_no_answer_speaks_for() {
    let host = host(std::time::Duration::from_secs(2));
    let server = Rc::new(Server::new(
        ServerId(0),
        SocketAddr::from(([127, 0, 0, 1], 9)),
    ));
    host.update_list_freshness(|list, now| list.on_watch_silent(now, now));
    assert_eq!(
        sending(&host, &server).check_first_byte(&host.limits),
        Ok(()),
        "it does not bind yet"
    );
    host.update_list_freshness(|list, now| list.on_watch_silent(now - 9_000_000, now));
    server.on_request_served(host.now() - host.limits.discovery.staleness.drain_slack);
    assert_eq!(
        sending(&host, &server).check_first_byte(&host.limits),
        Err(SendBlocked::ListStale)
    );
    server.on_request_served(host.now());
    assert_eq!(
        sending(&host, &server).check_first_byte(&host.limits),
        Ok(())
    );
    host.update_list_freshness(|list, _| list.on_watch_event());
    assert_eq!(
        sending(&host, &Rc::new(Server::new(ServerId(1), server.address())))
            .check_first_byte(&host.limits),
        Ok(())
    );
}
