//! The part of the fleet that this balancer uses, and who of it may be drawn.

use super::*;

/// A balancer uses a stable random part of the fleet: what keeps the fee for open connections under this
/// share if all do so, within these two, and at least so many for each own request a second.
const SUBSET_COST: f64 = 0.006;
const SUBSET_LEAST: f64 = 3.0;
const SUBSET_MOST: f64 = 24.0;
const SUBSET_TRAFFIC: f64 = 0.25;
/// Where new connections are dear, the part is so small that each of its servers gets so many own requests in
/// the time after which an idle connection closes, and no smaller than this.
const SUBSET_KEEP: f64 = 12.0;
const SUBSET_DEAR: f64 = 4.0;
const HANDSHAKE_FEE: f64 = 0.005;

impl Balancer {
    pub(crate) fn is_ready(&self, server: &Server) -> bool {
        let listed = server.member.status == EndpointStatus::Ready || self.settings.only_draining_binds;
        listed && !server.drained
    }

    /// Guards against more connections than servers accept: each balancer uses the first so many of an order
    /// of its own, and goes further down where these are suspected.
    pub(crate) fn subset(&self) -> usize {
        let (fleet, balancers) = (self.servers.len() as f64, f64::from(self.settings.balancer_count));
        // Guards against handshakes: connections that rarely serve are closed before they serve again,
        // and what all balancers open for rare use is what servers run out of.
        if self.settings.handshake_fee > HANDSHAKE_FEE {
            let kept = self.rate() * self.settings.idle_timeout as f64 / SUBSET_KEEP;
            return kept.max(SUBSET_DEAR).min(fleet).ceil() as usize;
        }
        let fee = (self.settings.connection_fee * balancers).max(f64::MIN_POSITIVE);
        let affordable = (SUBSET_COST * 100.0 * fleet / fee).clamp(SUBSET_LEAST, SUBSET_MOST);
        let own = self.rate() * 1e6 * SUBSET_TRAFFIC;
        affordable.max(own).min(fleet).ceil() as usize
    }

    /// The order: random, the same at every list, and each cell once before any comes twice.
    pub(super) fn arrange(&mut self) {
        self.mute = self.servers.iter().filter(|s| s.mute).count();
        self.places = self.servers.iter().enumerate().map(|(i, s)| (s.member.server, i)).collect();
        let own = u64::from(self.settings.balancer_index) << 32;
        let hash = |s: &Server| fastrand::Rng::with_seed(s.member.stable_hash ^ own).u64(..);
        let mut order: Vec<_> = self.servers.iter().enumerate().map(|(i, s)| (hash(s), i)).collect();
        order.sort_unstable();
        self.order = order.into_iter().map(|(_, i)| i).collect();
        let mut turns = BTreeMap::new();
        self.order.sort_by_cached_key(|&i| {
            let turn = turns.entry(self.servers[i].member.cell).or_insert(0);
            *turn += 1;
            *turn
        });
    }

    /// The servers of this balancer's part of the fleet that may be drawn now.
    pub(super) fn pool(&mut self, reach: Reach, avoid: &[ServerId], open: bool) -> Vec<usize> {
        let fits = |&i: &usize| {
            let server = &self.servers[i];
            let open = !open || (server.suspicion.is_none() && !server.doubted);
            let tried = avoid.contains(&server.member.server);
            open && !tried && reach.holds(&server.member) && self.is_ready(server)
        };
        let part: Vec<usize> = self.order.iter().copied().filter(fits).take(self.subset()).collect();
        part.into_iter().filter(|&i| self.admits(i)).collect()
    }
}
