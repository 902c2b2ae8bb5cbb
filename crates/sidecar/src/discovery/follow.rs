//! When discovery is called.

use std::net::SocketAddr;
use std::rc::Rc;

use arrowstand_balancer::{Event, UpdateKind};
use tokio::sync::watch as channel;
use tokio::time::sleep;

use super::watch::{End, Position, watch};
use crate::core::Core;
use crate::limits::Limits;

/// Follows discovery for as long as the program runs: one call for each time the module asks, and one at once where
/// discovery has moved. Where news count as told though none came, calls do not wait for the module.
pub async fn follow(
    core: Rc<Core>,
    mut discovery: channel::Receiver<SocketAddr>,
    rev: u64,
    limits: Rc<Limits>,
    seed: u64,
) {
    let client = awc::Client::builder()
        .connector(
            awc::Connector::new()
                .timeout(limits.list_call)
                .conn_lifetime(limits.patience),
        )
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish();
    let at = Position::new(rev);
    let mut chance = fastrand::Rng::with_seed(seed);
    core.asked().await;
    // A call that the module has not asked for yet is on.
    let mut ahead = false;
    loop {
        let address = *discovery.borrow_and_update();
        let call = watch(&core, &client, address, &at, &limits);
        tokio::pin!(call);
        let again = loop {
            tokio::select! {
            fault = &mut call => {
                tracing::warn!("discovery: {}", fault.text);
                core.watched(|freshness, now| match fault.end {
                    End::Silent { heard } => freshness.fell_silent(core.at(heard), now),
                    End::Refused => freshness.refused(now),
                    End::Broken => freshness.lost(now),
                    End::Unanswered => freshness.unanswered(),
                });
                core.tell(Event::EndpointsUpdated { kind: UpdateKind::Lost, version: 0, endpoints: Vec::new() });
                break false;
            }
            // Guards against a call that loses its turn at a crowded discovery: the one that is on is the one asked for.
            () = core.asked(), if ahead => ahead = false,
            // The module asks anew while a call or a watch is on: that one is ended.
            () = core.asked(), if !ahead => { core.watched(|freshness, _| freshness.unanswered()); break true }
            // Guards against changes missed while the old address goes on or fails: the watch moves at once.
            () = relocated(&mut discovery) => { moved(&core); break true }
            }
        };
        ahead = false;
        if !again {
            // Guards against a pause of the module's that outlasts the grace of what counts as told meanwhile; drawn, so
            // that many sidecars do not call in step.
            let hurry = core.freshness().urgent();
            let pause = limits.list_retry.mul_f64(0.25 + 0.75 * chance.f64());
            tokio::select! {
                () = core.asked() => {}
                () = relocated(&mut discovery) => { moved(&core); ahead = true }
                () = sleep(pause), if hurry => ahead = true,
            }
        }
    }
}

/// What a new discovery has counts as told after a time, whether or not a call got through by then.
fn moved(core: &Core) {
    core.watched(|freshness, now| freshness.moved(now));
}

/// Waits until discovery is somewhere else.
async fn relocated(discovery: &mut channel::Receiver<SocketAddr>) {
    if discovery.changed().await.is_err() {
        std::future::pending().await
    }
}
