//! The discovery service of a soak: the same list at two addresses, so that reloads can move it.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use arrowstand_balancer::EndpointStatus;
use arrowstand_platform::{EndpointList, ListKind, ListedEndpoint, SkippedEntries};
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};

use super::plan::Plan;
use crate::emulator::EmulatorError;
use crate::emulator::http::{HttpConnection, Message, format_response};
use crate::scenario::Scenario;

/// Number of addresses of discovery.
const ADDRESSES: usize = 2;
/// Interval between the empty lines of a watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// The head of a watch.
const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The revision of the only list.
const REVISION: u64 = 7;

/// Discovery, and the list that it serves.
pub(super) struct Discovery {
    list: Value,
    addresses: Vec<SocketAddr>,
    /// Index of the present address; only grows.
    moves: AtomicUsize,
}

impl Discovery {
    /// Starts discovery with a list of these servers.
    pub(super) async fn start(plan: &Plan, servers: &[SocketAddr]) -> Result<Self, EmulatorError> {
        let zones = Scenario::default().network.zones;
        let list = endpoint_list(plan.seed, servers, &zones).to_json();
        let text: Arc<str> = list.to_string().into();
        let mut addresses = Vec::with_capacity(ADDRESSES);
        for _ in 0..ADDRESSES {
            addresses.push(listen(Arc::clone(&text)).await?);
        }
        Ok(Self {
            list,
            addresses,
            moves: AtomicUsize::new(0),
        })
    }

    /// The whole list, as discovery sends it.
    pub(super) fn list(&self) -> &Value {
        &self.list
    }

    /// The address at which sidecars are to find discovery.
    pub(super) fn address(&self) -> SocketAddr {
        self.addresses[self.moves.load(Ordering::Relaxed) % ADDRESSES]
    }

    /// Moves discovery to its other address.
    pub(super) fn relocate(&self) {
        self.moves.fetch_add(1, Ordering::Relaxed);
    }
}

fn endpoint_list(seed: u64, servers: &[SocketAddr], zones: &[String]) -> EndpointList {
    let endpoints = servers.iter().enumerate().map(|(index, &address)| {
        let zone = zones.get(index % zones.len().max(1));
        ListedEndpoint {
            id: format!(
                "s-{:08x}",
                seed.wrapping_mul(0x1_0001) as u32 ^ index as u32
            ),
            address,
            zone: zone.cloned().unwrap_or_default(),
            cell: (index % zones.len().max(1)) as u32,
            machine_type: String::new(),
            status: EndpointStatus::Ready,
            started_at: None,
        }
    });
    EndpointList {
        revision: REVISION,
        kind: ListKind::Full,
        endpoints: endpoints.collect(),
        skipped: SkippedEntries::default(),
    }
}

async fn listen(list: Arc<str>) -> Result<SocketAddr, EmulatorError> {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let to_error = |source| EmulatorError::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(to_error)?;
    let address = listener.local_addr().map_err(to_error)?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_calls(stream, Arc::clone(&list)));
        }
    });
    Ok(address)
}

async fn answer_calls(stream: TcpStream, list: Arc<str>) {
    let mut connection = HttpConnection::new(stream);
    while let Ok(call) = connection.read_request().await {
        let answered = if is_watch(&call) {
            watch(&mut connection, &list).await
        } else {
            connection
                .write(&format_response("200 OK", "", &list))
                .await
        };
        if answered.is_err() {
            return;
        }
    }
}

fn is_watch(call: &Message) -> bool {
    call.query_parameter("stream") == Some("1")
}

/// Sends the whole list and then empty lines, until the connection ends.
async fn watch(connection: &mut HttpConnection, list: &str) -> std::io::Result<()> {
    connection.write(WATCH_HEAD).await?;
    connection.write(&chunk(&format!("{list}\n"))).await?;
    loop {
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        connection.write(&chunk("\n")).await?;
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
