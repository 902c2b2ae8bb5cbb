//! What delivers endpoint lists, for the tests of this directory.

use std::rc::Rc;

use arrowstand_balancer::{Idempotency, RequestClass, Settings};
use arrowstand_control::{MachineCatalogue, WorkAwareBalancer};

use super::endpoint_sink::EndpointSink;
use super::watch_cursor::WatchCursor;
use crate::counters::Counters;
use crate::host::{BalancerClock, BalancerHost, EndpointListFreshness, ServerRegistry};
use crate::limits::{LimitInputs, Limits};

/// A host without servers, and what delivers endpoint lists to it.
pub(super) struct Fixture {
    pub(super) sink: EndpointSink,
    pub(super) host: Rc<BalancerHost>,
    pub(super) counters: Rc<Counters>,
    pub(super) cursor: WatchCursor,
    pub(super) limits: Rc<Limits>,
}

impl Fixture {
    pub(super) fn new(limits: &LimitInputs) -> Self {
        let limits = Rc::new(Limits::derive(limits));
        let class = RequestClass::new(Idempotency::Idempotent, 100_000, 1_000_000);
        let settings = Settings {
            classes: vec![class],
            ..Settings::default()
        };
        let balancer = WorkAwareBalancer::new(settings, 1).expect("valid settings");
        let registry = ServerRegistry::new(Vec::new(), MachineCatalogue::default());
        let clock = Rc::new(BalancerClock::start());
        let counters = Rc::new(Counters::default());
        let staleness = limits.discovery.staleness;
        let freshness = Rc::new(EndpointListFreshness::new(staleness, Rc::clone(&clock)));
        let host_limits = Rc::clone(&limits);
        let (host, _) =
            BalancerHost::new(balancer, registry, clock, host_limits, Rc::clone(&counters));
        Self {
            sink: EndpointSink::new(Rc::clone(&host), freshness, Rc::clone(&counters)),
            host,
            counters,
            cursor: WatchCursor::new(0),
            limits,
        }
    }
}
