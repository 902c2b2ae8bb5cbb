//! A sidecar's pool of idle connections to servers.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use super::components::Components;
use super::sidecar::Sidecar;
use crate::conversion::scaled_micros;
use crate::index::ServerIndex;
use crate::scenario::{Micros, from_s};
use crate::simulator::context::Context;
use crate::simulator::fleet::Fleet;

/// Share of the servers' idle timeout after which a sidecar no longer reuses a connection.
const REUSE_TIMEOUT_SHARE: f64 = 0.75;

/// An idle connection.
#[derive(Clone, Copy)]
struct IdleConnection {
    idle_since: Micros,
    /// Start number of the server process that the connection belongs to.
    server_start_number: u32,
}

/// Idle connections by server; the most recently used one is reused first.
#[derive(Default)]
pub(super) struct IdleConnections {
    pools: FxHashMap<ServerIndex, VecDeque<IdleConnection>>,
}

impl IdleConnections {
    fn add(&mut self, server: ServerIndex, connection: IdleConnection) {
        self.pools.entry(server).or_default().push_back(connection);
    }

    /// Takes the most recently used connection to the server's current process. Connections to
    /// earlier processes are dropped, as those processes have reset them. `current_start_number` is
    /// that of the current process, or `None` while the server refuses connections.
    fn take(
        &mut self,
        server: ServerIndex,
        current_start_number: Option<u32>,
    ) -> Option<IdleConnection> {
        let pool = self.pools.get_mut(&server)?;
        pool.retain(|connection| Some(connection.server_start_number) == current_start_number);
        pool.pop_back()
    }

    /// Removes the connections that have been idle since `before` or earlier, and calls `close` for
    /// each.
    fn remove_idle_since(&mut self, before: Micros, mut close: impl FnMut(ServerIndex, u32)) {
        for (&server, pool) in &mut self.pools {
            pool.retain(|connection| {
                let expired = connection.idle_since <= before;
                if expired {
                    close(server, connection.server_start_number);
                }
                !expired
            });
        }
        self.pools.retain(|_, pool| !pool.is_empty());
    }

    /// Returns all connections as pairs of server and start number of its process.
    pub(super) fn into_connections(self) -> impl Iterator<Item = (ServerIndex, u32)> {
        self.pools.into_iter().flat_map(|(server, pool)| {
            pool.into_iter()
                .map(move |connection| (server, connection.server_start_number))
        })
    }
}

impl Sidecar {
    /// Takes an idle connection to a server out of the pool and returns the start number of the
    /// server process that it belongs to.
    pub(super) fn reuse_connection(
        &mut self,
        server: ServerIndex,
        components: &mut Components<'_, '_>,
    ) -> Option<u32> {
        let current_start_number = components.fleet.start_number_unless_refusing(server);
        let connection = self.connections.take(server, current_start_number)?;
        if connection.idle_since + reuse_timeout(components.context) > components.context.now() {
            return Some(connection.server_start_number);
        }
        components
            .fleet
            .close_connection(server, connection.server_start_number);
        None
    }

    /// Adds a connection that is idle from `idle_since` on to the pool, or closes it if the sidecar
    /// is down.
    pub(in crate::simulator) fn keep_connection(
        &mut self,
        server: ServerIndex,
        idle_since: Micros,
        server_start_number: u32,
        fleet: &mut Fleet,
    ) {
        if self.is_up() {
            let connection = IdleConnection {
                idle_since,
                server_start_number,
            };
            self.connections.add(server, connection);
        } else {
            fleet.close_connection(server, server_start_number);
        }
    }

    /// Closes connections that have been idle for longer than the reuse timeout.
    pub(super) fn close_idle_connections(&mut self, fleet: &mut Fleet, context: &Context<'_>) {
        let Some(before) = context.now().checked_sub(reuse_timeout(context)) else {
            return;
        };
        self.connections
            .remove_idle_since(before, |server, server_start_number| {
                fleet.close_connection(server, server_start_number);
            });
    }
}

/// How long an idle connection can be reused, in microseconds.
fn reuse_timeout(context: &Context<'_>) -> Micros {
    let idle_timeout = from_s(context.scenario().permissions.idle_timeout_s);
    scaled_micros(idle_timeout, REUSE_TIMEOUT_SHARE)
}
