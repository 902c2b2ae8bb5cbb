use arrowstand_balancer::{EndpointStatus, ServerId};
use arrowstand_control::Informed;

use super::*;
use crate::config::Names;

fn core(drain_grace: std::time::Duration) -> Rc<Core> {
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
    let balancer = Informed::new(settings, 1).expect("settings");
    Core::new(balancer, Names::default(), limits, Rc::default()).0
}

fn sending(core: &Rc<Core>, server: &Rc<JobServer>) -> Rc<Sending> {
    let gate = Gate {
        core: Rc::clone(core),
        server: Rc::clone(server),
        address: server.address(),
        presence: Presence::default(),
        until: Instant::now() + std::time::Duration::from_secs(9),
        begins_by: None,
    };
    Sending::new(Some(gate), 2)
}

/// A drain told between the decision and a slow connect: loopback connects too fast to record it.
#[test]
fn a_drain_stops_the_first_byte_but_no_later_one() {
    let core = core(std::time::Duration::ZERO);
    let server = Rc::new(JobServer::new(
        ServerId(0),
        SocketAddr::from(([127, 0, 0, 1], 9)),
    ));
    let (late, begun) = (sending(&core, &server), sending(&core, &server));
    begun.wrote(b"POST / HTTP/1.1\r\n\r");
    server.told(EndpointStatus::Draining, 0.0);
    assert_eq!(late.may_begin(&core.limits), Err(Stop::ServerDrains));
    assert!(late.held_back() && begun.may_begin(&core.limits).is_ok() && !begun.whole());
    begun.wrote(b"\nab");
    assert!(begun.whole() && !begun.held_back());
    server.told(EndpointStatus::Ready, 0.0);
    assert_eq!(
        late.may_begin(&core.limits),
        Err(Stop::ServerDrains),
        "an old list ends no drain"
    );
    server.told(EndpointStatus::Ready, 1.0);
    assert_eq!(sending(&core, &server).may_begin(&core.limits), Ok(()));
}

/// A list that may hide a drain: only a server that took work since is known to be no part of it.
#[test]
fn a_list_too_old_stops_what_no_answer_speaks_for() {
    let core = core(std::time::Duration::from_secs(2));
    let server = Rc::new(JobServer::new(
        ServerId(0),
        SocketAddr::from(([127, 0, 0, 1], 9)),
    ));
    core.watched(|list, now| list.fell_silent(now, now));
    assert_eq!(
        sending(&core, &server).may_begin(&core.limits),
        Ok(()),
        "it does not bind yet"
    );
    core.watched(|list, now| list.fell_silent(now - 9_000_000, now));
    server.has_served(core.now() - core.limits.list.slack);
    assert_eq!(
        sending(&core, &server).may_begin(&core.limits),
        Err(Stop::ListTooOld)
    );
    server.has_served(core.now());
    assert_eq!(sending(&core, &server).may_begin(&core.limits), Ok(()));
    core.watched(|list, _| list.heard());
    assert_eq!(
        sending(
            &core,
            &Rc::new(JobServer::new(ServerId(1), server.address()))
        )
        .may_begin(&core.limits),
        Ok(())
    );
}
