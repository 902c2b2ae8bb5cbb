//! When discovery is called.

use std::net::SocketAddr;
use std::rc::Rc;

use arrowstand_balancer::{Event, UpdateKind};
use tokio::sync::watch as channel;
use tokio::time::sleep;

use super::watch::{WatchCursor, WatchEnd, watch};
use crate::host::BalancerHost;
use crate::limits::Limits;

/// Follows discovery for as long as the program runs: one call for each time the module asks, and one at once where
/// discovery has moved. Where news count as told though none came, calls do not wait for the module.
pub async fn follow(
    host: Rc<BalancerHost>,
    mut discovery: channel::Receiver<SocketAddr>,
    rev: u64,
    limits: Rc<Limits>,
    seed: u64,
) {
    let client = awc::Client::builder()
        .connector(
            awc::Connector::new()
                .timeout(limits.discovery.poll_timeout)
                .conn_lifetime(limits.client.max_timeout),
        )
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish();
    let at = WatchCursor::new(rev);
    let mut chance = fastrand::Rng::with_seed(seed);
    host.poll_requested().await;
    // A call that the module has not asked for yet is on.
    let mut ahead = false;
    loop {
        let address = *discovery.borrow_and_update();
        let call = watch(&host, &client, address, &at, &limits);
        tokio::pin!(call);
        let again = loop {
            tokio::select! {
            fault = &mut call => {
                tracing::warn!("discovery: {}", fault.text);
                host.update_list_freshness(|freshness, now| match fault.end {
                    WatchEnd::Silent { heard } => freshness.on_watch_silent(host.micros_at(heard), now),
                    WatchEnd::Refused => freshness.on_poll_refused(now),
                    WatchEnd::Broken => freshness.on_watch_ended(now),
                    WatchEnd::Unanswered => freshness.on_poll_abandoned(),
                });
                host.handle_event(Event::EndpointsUpdated { kind: UpdateKind::Lost, version: 0, endpoints: Vec::new() });
                break false;
            }
            // Guards against a call that loses its turn at a crowded discovery: the one that is on is the one asked for.
            () = host.poll_requested(), if ahead => ahead = false,
            // The module asks anew while a call or a watch is on: that one is ended.
            () = host.poll_requested(), if !ahead => { host.update_list_freshness(|freshness, _| freshness.on_poll_abandoned()); break true }
            // Guards against changes missed while the old address goes on or fails: the watch moves at once.
            () = relocated(&mut discovery) => { moved(&host); break true }
            }
        };
        ahead = false;
        if !again {
            // Guards against a pause of the module's that outlasts the grace of what counts as told meanwhile; drawn, so
            // that many sidecars do not call in step.
            let hurry = host.list_freshness().needs_immediate_poll();
            let pause = limits
                .discovery
                .poll_retry_delay
                .mul_f64(0.25 + 0.75 * chance.f64());
            tokio::select! {
                () = host.poll_requested() => {}
                () = relocated(&mut discovery) => { moved(&host); ahead = true }
                () = sleep(pause), if hurry => ahead = true,
            }
        }
    }
}

/// What a new discovery has counts as told after a time, whether or not a call got through by then.
fn moved(host: &BalancerHost) {
    host.update_list_freshness(|freshness, now| freshness.on_discovery_relocated(now));
}

/// Waits until discovery is somewhere else.
async fn relocated(discovery: &mut channel::Receiver<SocketAddr>) {
    if discovery.changed().await.is_err() {
        std::future::pending().await
    }
}
