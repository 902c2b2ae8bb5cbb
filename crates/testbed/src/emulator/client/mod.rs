//! Open-loop load generator: emulated clients start each arrival at its drawn time, independent of
//! earlier responses. The latency of an arrival is measured from its drawn time and not from when
//! it was sent, so that a stall counts against every arrival that was due during it (no coordinated
//! omission).
//!
//! This module starts the arrivals; `arrival` runs one arrival with its retries, `exchange` sends
//! one request and reads its response, and `request` encodes requests and interprets responses.

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

/// Tenant quotas and the count of open arrivals, shared by the clients of all sidecars.
struct ArrivalLimits {
    quotas: Mutex<Vec<TenantQuota>>,
    open_arrivals: AtomicUsize,
}

impl ArrivalLimits {
    /// Counts an arrival as open and returns true, unless `max_open` arrivals are open already.
    fn try_open_arrival(&self, max_open: usize) -> bool {
        if self.open_arrivals.load(Ordering::Relaxed) >= max_open {
            return false;
        }
        self.open_arrivals.fetch_add(1, Ordering::Relaxed);
        true
    }

    fn on_arrival_ended(&self) {
        self.open_arrivals.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The emulated clients that send to one sidecar.
struct SidecarClients {
    shared: Arc<Shared>,
    sidecars: Arc<Sidecars>,
    limits: Arc<ArrivalLimits>,
    sidecar: SidecarIndex,
    address: SocketAddr,
    idle_connections: IdleConnections,
}

impl SidecarClients {
    /// Takes one arrival from the tenant's quota; returns false if the quota is used up.
    fn try_take_quota(&self, tenant: TenantIndex) -> bool {
        lock(&self.limits.quotas)
            .get_mut(tenant.index())
            .is_none_or(|quota| quota.try_acquire(self.shared.clock.now()))
    }

    /// Runs the sidecar's arrivals until all have ended.
    async fn run(self: Arc<Self>, arrivals: ArrivalStream) {
        let mut open_arrivals = JoinSet::new();
        for (index, arrival) in arrivals.enumerate() {
            self.shared.clock.sleep_until(arrival.at).await;
            self.shared.record_lag(arrival.at);
            open_arrivals.spawn(Arc::clone(&self).run_arrival(arrival, index));
            while open_arrivals.try_join_next().is_some() {}
        }
        while open_arrivals.join_next().await.is_some() {}
    }
}

/// Runs the arrivals at all sidecars until all have ended.
pub(super) async fn run(emulation: &Emulation) {
    let scenario = &emulation.shared.scenario;
    let limits = Arc::new(ArrivalLimits {
        quotas: Mutex::new(tenant_quotas(scenario)),
        open_arrivals: AtomicUsize::new(0),
    });
    let mut tasks = JoinSet::new();
    for (position, traffic_share) in traffic_shares(scenario).into_iter().enumerate() {
        let sidecar = SidecarIndex::from_position(position);
        let clients = Arc::new(SidecarClients {
            shared: Arc::clone(&emulation.shared),
            sidecars: Arc::clone(&emulation.sidecars),
            limits: Arc::clone(&limits),
            sidecar,
            address: emulation.sidecars.address(sidecar),
            idle_connections: IdleConnections::default(),
        });
        tasks.spawn(clients.run(ArrivalStream::new(scenario, sidecar, traffic_share)));
    }
    while tasks.join_next().await.is_some() {}
}
