//! Size of the subset of the fleet that a balancer uses.
//!
//! Each open connection has a cost for the server and the deployment, and a connection that rarely
//! carries a request is closed before it is reused. A balancer therefore uses only a subset of the
//! fleet, selected by [`Subsetter`](crate::policy::Subsetter). With a request rate `r` per second,
//! `n` servers and `b` balancers:
//!
//! ```text
//! handshakes cheap:   size = max(clamp(0.006 * 100 * n / (connection fee * b), 3, 24), r / 4)
//! handshakes costly:  size = max(r * idle timeout / 12, 4)
//! ```
//!
//! rounded up, and limited to the size of the fleet.

#[cfg(test)]
mod tests;

use crate::Settings;

const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Maximum cost of open connections if all balancers use subsets of this size, in units of the
/// deployment's result ([`Fees`](crate::Fees)). Above it the subset shrinks, down to
/// [`MIN_SERVERS`].
const MAX_CONNECTION_COST: f64 = 0.006;
/// Number of open connections to each server that [`Fees::connection`](crate::Fees::connection) is
/// defined for.
const CONNECTIONS_PER_FEE: f64 = 100.0;
/// Minimum number of servers at any connection fee: with two, one failure halves the subset.
const MIN_SERVERS: f64 = 3.0;
/// Maximum number of servers at any connection fee; a high request rate may still exceed it.
const MAX_SERVERS: f64 = 24.0;
/// Servers per request per second of this balancer. With fewer, a balancer with a high request rate
/// concentrates its load on few servers.
const SERVERS_PER_REQUEST_RATE: f64 = 0.25;

/// Handshake fee above which the cost of new connections, rather than that of open connections,
/// determines the size of the subset. For one handshake per request, in units of the deployment's
/// result ([`Fees`](crate::Fees)).
const COSTLY_HANDSHAKE_FEE: f64 = 0.005;
/// Requests that this balancer sends to each server of the subset within the idle timeout if
/// handshakes are costly. More requests keep connections in use but concentrate the load; with
/// fewer, connections are closed before they are reused. From 1.2 to 9 requests within 3.75 s were
/// compared with 100 balancers: 9 gave the best result, the same rate as 12 within 5 s
/// (docs/fleet.md, "At 100 sidecars").
const REQUESTS_PER_IDLE_TIMEOUT: f64 = 12.0;
/// Minimum number of servers if handshakes are costly: with three, one slow server is a third of
/// the subset.
const MIN_SERVERS_WITH_COSTLY_HANDSHAKES: f64 = 4.0;

/// Computes the size of the subset.
pub(crate) struct SubsetSize;

impl SubsetSize {
    /// Returns the number of servers that a balancer uses of a fleet of this size; `request_rate`
    /// is per microsecond.
    pub(crate) fn compute(settings: &Settings, fleet_size: usize, request_rate: f64) -> usize {
        let fleet_size = fleet_size as f64;
        let size = if settings.fees.handshake > COSTLY_HANDSHAKE_FEE {
            Self::servers_for_connection_reuse(settings, request_rate)
        } else {
            Self::servers_within_connection_cost(settings, fleet_size, request_rate)
        };
        size.min(fleet_size).ceil() as usize
    }

    fn servers_for_connection_reuse(settings: &Settings, request_rate: f64) -> f64 {
        let servers = request_rate * settings.idle_timeout as f64 / REQUESTS_PER_IDLE_TIMEOUT;
        servers.max(MIN_SERVERS_WITH_COSTLY_HANDSHAKES)
    }

    fn servers_within_connection_cost(
        settings: &Settings,
        fleet_size: f64,
        request_rate: f64,
    ) -> f64 {
        let balancers = f64::from(settings.identity.count);
        let fee = (settings.fees.connection * balancers).max(f64::MIN_POSITIVE);
        let max_cost = MAX_CONNECTION_COST * CONNECTIONS_PER_FEE * fleet_size;
        let affordable = (max_cost / fee).clamp(MIN_SERVERS, MAX_SERVERS);
        let needed = request_rate * MICROSECONDS_PER_SECOND * SERVERS_PER_REQUEST_RATE;
        affordable.max(needed)
    }
}
