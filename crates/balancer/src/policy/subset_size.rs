//! How many servers of the fleet a balancer uses.
//!
//! Each connection costs the server and the deployment something, and a connection that seldom
//! carries a request is closed before it is used again. So a balancer uses a subset of the fleet;
//! its order is that of [`Subsetter`](crate::policy::Subsetter). With a request rate `r` per
//! second, `n` servers and `b` balancers:
//!
//! ```text
//! handshakes cheap:   size = max(clamp(0.006 * 100 * n / (connection fee * b), 3, 24), r / 4)
//! handshakes costly:  size = max(r * idle timeout / 12, 4)
//! ```
//!
//! rounded up, and never more than the fleet.

#[cfg(test)]
mod tests;

use crate::Settings;

/// Microseconds in a second.
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Largest cost of open connections that the subset may cause, as a fraction of the deployment's
/// result, if all balancers choose alike. Above it the subset shrinks, down to [`MIN_SERVERS`].
/// Inherited with the first version of the module; its source was not recorded.
const MAX_CONNECTION_COST: f64 = 0.006;
/// Open connections to each server that [`Fees::connection`](crate::Fees::connection) is the fee
/// for. From the definition of the setting.
const CONNECTIONS_PER_FEE: f64 = 100.0;
/// Fewest servers that the connection fee leaves: with fewer, one failure takes half of them.
/// Inherited with the first version of the module; its source was not recorded.
const MIN_SERVERS: f64 = 3.0;
/// Most servers that the connection fee allows; a higher request rate still gets more. Inherited
/// with the first version of the module; its source was not recorded.
const MAX_SERVERS: f64 = 24.0;
/// Servers for each request per second of this balancer: below, a busy balancer concentrates its
/// load on a few servers. Inherited with the first version of the module; its source was not
/// recorded.
const SERVERS_PER_REQUEST_RATE: f64 = 0.25;

/// Handshake fee above which new connections are costly: they, and not open connections, bound the
/// subset. A fraction of the deployment's result for one handshake per request. Chosen by
/// experiment on the testbed's deployments.
const COSTLY_HANDSHAKE_FEE: f64 = 0.005;
/// Own requests that each server of the subset gets within the idle timeout where handshakes are
/// costly: more keep connections in use but concentrate the load, fewer let connections close
/// unused. Chosen by experiment: with 100 balancers, 1.2 to 9 requests within 3.75 s were tried and
/// 9, which is 12 within 5 s, was the best (docs/fleet.md, "At 100 sidecars").
const REQUESTS_PER_IDLE_TIMEOUT: f64 = 12.0;
/// Fewest servers where handshakes are costly, so that one slow server is not a third of the
/// subset. Chosen by experiment on the testbed.
const MIN_SERVERS_WITH_COSTLY_HANDSHAKES: f64 = 4.0;

/// The law of the subset's size.
pub(crate) struct SubsetSize;

impl SubsetSize {
    /// Servers that a balancer with this request rate, per microsecond, uses of a fleet of this
    /// size.
    pub(crate) fn compute(settings: &Settings, fleet_size: usize, request_rate: f64) -> usize {
        let fleet_size = fleet_size as f64;
        let wanted = if settings.fees.handshake > COSTLY_HANDSHAKE_FEE {
            Self::servers_for_connection_reuse(settings, request_rate)
        } else {
            Self::servers_within_connection_cost(settings, fleet_size, request_rate)
        };
        wanted.min(fleet_size).ceil() as usize
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
