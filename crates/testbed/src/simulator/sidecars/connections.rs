//! A sidecar's idle connections to servers.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use super::environment::Environment;
use super::sidecar::Sidecar;
use crate::conversion::scaled_micros;
use crate::index::ServerIndex;
use crate::scenario::{Micros, from_s};
use crate::simulator::context::Context;
use crate::simulator::fleet::Fleet;

/// Share of the servers' idle timeout after which a sidecar no longer uses a connection.
const REUSE_TIMEOUT_SHARE: f64 = 0.75;

/// A connection that carries nothing.
#[derive(Clone, Copy)]
struct IdleConnection {
    idle_since: Micros,
    /// The server's start that it belongs to.
    server_start: u32,
}

/// Idle connections by server; the one that was used last is used first.
#[derive(Default)]
pub(super) struct IdleConnections {
    pools: FxHashMap<ServerIndex, VecDeque<IdleConnection>>,
}

impl IdleConnections {
    fn add(&mut self, server: ServerIndex, connection: IdleConnection) {
        self.pools.entry(server).or_default().push_back(connection);
    }

    /// The connection that was used last, of those to the server's present start; all others are
    /// forgotten, as the server's process that they belonged to has reset them. `open_start` is
    /// absent where it refuses.
    fn take(&mut self, server: ServerIndex, open_start: Option<u32>) -> Option<IdleConnection> {
        let pool = self.pools.get_mut(&server)?;
        pool.retain(|connection| Some(connection.server_start) == open_start);
        pool.pop_back()
    }

    /// Removes the connections that have been idle since before a moment, and calls `close` for
    /// each.
    fn remove_idle_since(&mut self, before: Micros, mut close: impl FnMut(ServerIndex, u32)) {
        for (&server, pool) in &mut self.pools {
            pool.retain(|connection| {
                let expired = connection.idle_since <= before;
                if expired {
                    close(server, connection.server_start);
                }
                !expired
            });
        }
        self.pools.retain(|_, pool| !pool.is_empty());
    }

    /// All connections, as server and server's start.
    pub(super) fn into_connections(self) -> impl Iterator<Item = (ServerIndex, u32)> {
        self.pools.into_iter().flat_map(|(server, pool)| {
            pool.into_iter()
                .map(move |connection| (server, connection.server_start))
        })
    }
}

impl Sidecar {
    /// Takes an idle connection to a server, as the server's start that it belongs to.
    pub(super) fn reuse_connection(
        &mut self,
        server: ServerIndex,
        environment: &mut Environment<'_, '_>,
    ) -> Option<u32> {
        let open_start = environment.fleet.open_start(server);
        let connection = self.connections.take(server, open_start)?;
        if connection.idle_since + reuse_timeout(environment.context) > environment.context.now() {
            return Some(connection.server_start);
        }
        environment
            .fleet
            .close_connection(server, connection.server_start);
        None
    }

    /// Keeps a connection that is idle from a moment on; a sidecar that is down has closed it.
    pub(in crate::simulator) fn keep_connection(
        &mut self,
        server: ServerIndex,
        idle_since: Micros,
        server_start: u32,
        fleet: &mut Fleet,
    ) {
        if self.is_up() {
            let connection = IdleConnection {
                idle_since,
                server_start,
            };
            self.connections.add(server, connection);
        } else {
            fleet.close_connection(server, server_start);
        }
    }

    /// Closes connections that have been idle for too long.
    pub(super) fn close_idle_connections(&mut self, fleet: &mut Fleet, context: &Context<'_>) {
        let Some(before) = context.now().checked_sub(reuse_timeout(context)) else {
            return;
        };
        self.connections
            .remove_idle_since(before, |server, server_start| {
                fleet.close_connection(server, server_start);
            });
    }
}

/// How long a sidecar uses an idle connection, in microseconds.
fn reuse_timeout(context: &Context<'_>) -> Micros {
    let idle_timeout = from_s(context.scenario().permissions.idle_timeout_s);
    scaled_micros(idle_timeout, REUSE_TIMEOUT_SHARE)
}
