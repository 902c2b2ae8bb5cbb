//! The load: emulated clients that send on time whatever comes back. An arrival's time runs from
//! when it was due, not from when it could be sent, so that a stall counts against all that would
//! have arrived in it.
//!
//! This file starts the arrivals; `arrival` plays one with its retries, `exchange` sends one
//! request and reads its response, `request` is their form on the wire.

mod arrival;
mod exchange;
mod request;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use tokio::task::JoinSet;

use super::Emulation;
use super::lock::lock;
use super::shared::Shared;
use super::sidecars::Sidecars;
use crate::index::{SidecarIndex, TenantIndex};
use crate::workload::{ArrivalStream, TenantQuota, tenant_quotas, traffic_shares};

use exchange::IdleConnections;

/// What the clients of all sidecars share.
struct Load {
    quotas: Mutex<Vec<TenantQuota>>,
    open_arrivals: AtomicUsize,
}

impl Load {
    /// Counts an arrival as open, unless so many are already.
    fn try_open(&self, limit: usize) -> bool {
        if self.open_arrivals.load(Ordering::Relaxed) >= limit {
            return false;
        }
        self.open_arrivals.fetch_add(1, Ordering::Relaxed);
        true
    }

    fn on_ended(&self) {
        self.open_arrivals.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The clients of one sidecar.
struct Clients {
    shared: Arc<Shared>,
    sidecars: Arc<Sidecars>,
    load: Arc<Load>,
    sidecar: SidecarIndex,
    address: SocketAddr,
    idle: IdleConnections,
}

impl Clients {
    /// Takes from a tenant's quota; false for what is beyond it.
    fn within_quota(&self, tenant: TenantIndex) -> bool {
        lock(&self.load.quotas)
            .get_mut(tenant.index())
            .is_none_or(|quota| quota.try_acquire(self.shared.clock.now()))
    }

    /// Plays the sidecar's arrivals to their ends.
    async fn play(self: Arc<Self>, arrivals: ArrivalStream) {
        let mut open = JoinSet::new();
        for (index, arrival) in arrivals.enumerate() {
            self.shared.clock.sleep_until(arrival.at).await;
            self.shared.on_done(arrival.at);
            open.spawn(Arc::clone(&self).play_arrival(arrival, index));
            while open.try_join_next().is_some() {}
        }
        while open.join_next().await.is_some() {}
    }
}

/// Plays all arrivals to their ends.
pub(super) async fn play(emulation: &Emulation) {
    let scenario = &emulation.shared.scenario;
    let load = Arc::new(Load {
        quotas: Mutex::new(tenant_quotas(scenario)),
        open_arrivals: AtomicUsize::new(0),
    });
    let mut all = JoinSet::new();
    for (position, traffic_share) in traffic_shares(scenario).into_iter().enumerate() {
        let sidecar = SidecarIndex::from_position(position);
        let clients = Arc::new(Clients {
            shared: Arc::clone(&emulation.shared),
            sidecars: Arc::clone(&emulation.sidecars),
            load: Arc::clone(&load),
            sidecar,
            address: emulation.sidecars.address(sidecar),
            idle: IdleConnections::default(),
        });
        all.spawn(clients.play(ArrivalStream::new(scenario, sidecar, traffic_share)));
    }
    while all.join_next().await.is_some() {}
}
