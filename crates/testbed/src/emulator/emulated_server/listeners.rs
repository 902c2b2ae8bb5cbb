//! The listeners of an emulated server, one per sidecar.
//!
//! Accepted connections are served by `connection` and outlive their listener.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::AbortHandle;

use super::EmulatedServer;
use crate::emulator::error::EmulatorError;
use crate::emulator::lock::lock;
use crate::index::SidecarIndex;

/// Time between two checks whether the listeners' tasks have ended.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Number of checks before giving up on them: 200 ms in all.
const MAX_CLOSE_POLLS: usize = 200;
/// Backlog of a listener that never accepts: it holds one connection, and then is full.
const FULL_BACKLOG: u32 = 0;

/// The tasks that hold the listening sockets.
#[derive(Default)]
pub(super) struct Listeners {
    tasks: Mutex<Vec<AbortHandle>>,
}

impl Listeners {
    fn replace(&self, tasks: Vec<AbortHandle>) {
        *lock(&self.tasks) = tasks;
    }

    /// Aborts the tasks without waiting for their end.
    pub(super) fn abort(&self) -> Vec<AbortHandle> {
        let tasks = std::mem::take(&mut *lock(&self.tasks));
        tasks.iter().for_each(AbortHandle::abort);
        tasks
    }

    /// Aborts the tasks and waits until they have ended, which closes their sockets.
    pub(super) async fn close(&self) {
        let tasks = self.abort();
        for _ in 0..MAX_CLOSE_POLLS {
            if tasks.iter().all(AbortHandle::is_finished) {
                return;
            }
            tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
        }
    }
}

impl EmulatedServer {
    /// Listens on all addresses and serves the connections.
    pub(super) async fn listen(self: &Arc<Self>) -> Result<(), EmulatorError> {
        let mut tasks = Vec::new();
        for (sidecar, &address) in SidecarIndex::all(self.addresses.len()).zip(&self.addresses) {
            let listener = TcpListener::bind(address)
                .await
                .map_err(|source| EmulatorError::Listen { address, source })?;
            let server = Arc::clone(self);
            let task = tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(Arc::clone(&server).serve(stream, sidecar));
                }
            });
            tasks.push(task.abort_handle());
        }
        self.listeners.replace(tasks);
        Ok(())
    }

    /// Listens with a full backlog, so that connection attempts time out as they do with a machine
    /// that has failed.
    pub(super) fn listen_without_accepting(&self) {
        let tasks = self
            .addresses
            .iter()
            .filter_map(|&address| listen_with_full_backlog(address));
        self.listeners.replace(tasks.collect());
    }
}

/// Listens on an address and fills the backlog; `None` if the address cannot be bound.
fn listen_with_full_backlog(address: SocketAddr) -> Option<AbortHandle> {
    let socket = TcpSocket::new_v4().ok()?;
    let _ = socket.set_reuseaddr(true);
    socket.bind(address).ok()?;
    let listener = socket.listen(FULL_BACKLOG).ok()?;
    let task = tokio::spawn(async move {
        let filler = TcpStream::connect(address).await;
        std::future::pending::<()>().await;
        drop((listener, filler));
    });
    Some(task.abort_handle())
}
