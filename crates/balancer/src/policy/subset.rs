//! The part of the fleet that this balancer uses, and who of it may be drawn.

use super::*;

/// A balancer uses a stable random part of the fleet: what keeps the fee for open connections under this
/// share if all do so, within these two, and at least so many for each own request a second.
const MAX_CONNECTION_COST: f64 = 0.006;
const MIN_SUBSET: f64 = 3.0;
const MAX_SUBSET: f64 = 24.0;
const SERVERS_PER_REQUEST_RATE: f64 = 0.25;
/// Where new connections are dear, the part is so small that each of its servers gets so many own requests in
/// the time after which an idle connection closes, and no smaller than this.
const REQUESTS_PER_IDLE_TIMEOUT: f64 = 12.0;
const MIN_SUBSET_COSTLY_HANDSHAKES: f64 = 4.0;
const COSTLY_HANDSHAKE_FEE: f64 = 0.005;

impl Balancer {
    pub(crate) fn is_ready(&self, server: &ServerState) -> bool {
        let listed = server.endpoint.status == EndpointStatus::Ready || self.settings.only_draining_binds;
        listed && !server.drained
    }

    /// Guards against more connections than servers accept: each balancer uses the first so many of an order
    /// of its own, and goes further down where these are suspected.
    pub(crate) fn subset_size(&self) -> usize {
        let (fleet, balancers) = (self.servers.len() as f64, f64::from(self.settings.balancer_count));
        // Guards against handshakes: connections that rarely serve are closed before they serve again,
        // and what all balancers open for rare use is what servers run out of.
        if self.settings.handshake_fee > COSTLY_HANDSHAKE_FEE {
            let kept =
                self.own_request_rate() * self.settings.idle_timeout as f64 / REQUESTS_PER_IDLE_TIMEOUT;
            return kept.max(MIN_SUBSET_COSTLY_HANDSHAKES).min(fleet).ceil() as usize;
        }
        let fee = (self.settings.connection_fee * balancers).max(f64::MIN_POSITIVE);
        let affordable = (MAX_CONNECTION_COST * 100.0 * fleet / fee).clamp(MIN_SUBSET, MAX_SUBSET);
        let own = self.own_request_rate() * 1e6 * SERVERS_PER_REQUEST_RATE;
        affordable.max(own).min(fleet).ceil() as usize
    }

    /// The order: random, the same at every list, and each cell once before any comes twice.
    pub(super) fn rebuild_subset_order(&mut self) {
        self.failed_health_checks = self.servers.iter().filter(|s| s.last_health_check_failed).count();
        self.index_by_id = self.servers.iter().enumerate().map(|(i, s)| (s.endpoint.server, i)).collect();
        let own = u64::from(self.settings.balancer_index) << 32;
        let hash = |s: &ServerState| fastrand::Rng::with_seed(s.endpoint.stable_hash ^ own).u64(..);
        let mut order: Vec<_> = self.servers.iter().enumerate().map(|(i, s)| (hash(s), i)).collect();
        order.sort_unstable();
        self.subset_order = order.into_iter().map(|(_, i)| i).collect();
        let mut turns = BTreeMap::new();
        self.subset_order.sort_by_cached_key(|&i| {
            let turn = turns.entry(self.servers[i].endpoint.cell).or_insert(0);
            *turn += 1;
            *turn
        });
    }

    /// The servers of this balancer's part of the fleet that may be drawn now.
    pub(super) fn candidates(&mut self, reach: RetryScope, avoid: &[ServerId], open: bool) -> Vec<usize> {
        let fits = |&i: &usize| {
            let server = &self.servers[i];
            let open = !open || (server.suspicion.is_none() && !server.possibly_draining);
            let tried = avoid.contains(&server.endpoint.server);
            open && !tried && reach.contains(&server.endpoint) && self.is_ready(server)
        };
        let part: Vec<usize> =
            self.subset_order.iter().copied().filter(fits).take(self.subset_size()).collect();
        part.into_iter().filter(|&i| self.admit_to_draw(i)).collect()
    }
}
