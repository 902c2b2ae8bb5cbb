//! The subset of the fleet that this balancer uses, and which of its servers are candidates.

use crate::policy::Balancer;
use crate::state::{RetryScope, ServerIndex, ServerState};
use crate::{EndpointStatus, ServerId};

/// A balancer uses a stable random subset of the fleet: what keeps the fee for open connections under this
/// share if all do so, within these two, and at least so many servers for each own request a second.
const MAX_CONNECTION_COST: f64 = 0.006;
const MIN_SUBSET: f64 = 3.0;
const MAX_SUBSET: f64 = 24.0;
const SERVERS_PER_REQUEST_RATE: f64 = 0.25;
/// The connection fee is for this many open connections.
const CONNECTIONS_PER_FEE: f64 = 100.0;
/// Where new connections are dear, the subset is so small that each of its servers gets so many own requests
/// in the time after which an idle connection closes, and no smaller than this.
const REQUESTS_PER_IDLE_TIMEOUT: f64 = 12.0;
const MIN_SUBSET_COSTLY_HANDSHAKES: f64 = 4.0;
const COSTLY_HANDSHAKE_FEE: f64 = 0.005;

impl Balancer {
    /// True where a server may be sent requests as far as the endpoint list tells.
    pub(super) fn is_ready(&self, server: &ServerState) -> bool {
        let listed =
            server.endpoint().status == EndpointStatus::Ready || self.settings.only_draining_binds;
        listed && !server.is_drain_listed()
    }

    /// Guards against more connections than servers accept: each balancer uses the first so many of an order
    /// of its own, and goes further down where these are suspected.
    pub(super) fn subset_size(&self) -> usize {
        let (settings, fleet) = (&self.settings, self.endpoints.len() as f64);
        let request_rate = self.estimators.workload.request_rate(self.now);
        // Guards against handshakes: connections that rarely serve are closed before they serve again,
        // and what all balancers open for rare use is what servers run out of.
        if settings.fees.handshake > COSTLY_HANDSHAKE_FEE {
            let kept = request_rate * settings.idle_timeout as f64 / REQUESTS_PER_IDLE_TIMEOUT;
            return kept.max(MIN_SUBSET_COSTLY_HANDSHAKES).min(fleet).ceil() as usize;
        }
        let fee =
            (settings.fees.connection * f64::from(settings.identity.count)).max(f64::MIN_POSITIVE);
        let cost = MAX_CONNECTION_COST * CONNECTIONS_PER_FEE * fleet;
        let affordable = (cost / fee).clamp(MIN_SUBSET, MAX_SUBSET);
        let needed = request_rate * 1e6 * SERVERS_PER_REQUEST_RATE;
        affordable.max(needed).min(fleet).ceil() as usize
    }

    /// The servers of the subset that may be drawn now; `trusted` leaves out those that are suspected or
    /// possibly draining.
    pub(super) fn candidates(
        &mut self,
        scope: RetryScope,
        tried: &[ServerId],
        trusted: bool,
    ) -> Vec<ServerIndex> {
        let fits = |&index: &ServerIndex| {
            let server = &self.endpoints[index];
            let doubtful = server.suspicion.is_suspected() || server.is_possibly_draining();
            let usable = scope.contains(server.endpoint()) && self.is_ready(server);
            usable && !tried.contains(&server.id()) && !(trusted && doubtful)
        };
        let subset: Vec<ServerIndex> = self
            .subset_order
            .iter()
            .filter(fits)
            .take(self.subset_size())
            .collect();
        subset
            .into_iter()
            .filter(|&server_index| self.admit_to_draw(server_index))
            .collect()
    }
}
