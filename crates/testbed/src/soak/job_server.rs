//! The servers of a soak: each works on every request for the same time, and leaves some without a
//! response.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

use super::plan::Plan;
use super::record::Record;
use crate::emulator::EmulatorError;
use crate::emulator::http::{HttpConnection, Message, format_response};
use crate::random::{RandomStream, StreamId};

/// First and second octet of the servers' addresses; the others number the servers.
const ADDRESS_PREFIX: (u8, u8) = (127, 77);
/// Servers that share the third octet of their addresses.
const SERVERS_PER_OCTET: usize = 250;
/// The load report of a server that is asked for its health or its load.
const LOAD_REPORT: &str = "inflight=0,eps=0,queue=0";
/// Paths of health checks and load checks.
const CHECK_PATHS: [&str; 2] = ["/health", "/status/load"];

/// What all servers of a run do.
struct Behavior {
    work: Duration,
    response_bytes: usize,
    hang_share: f64,
    seed: u64,
    record: Arc<Record>,
}

/// Starts all servers of the plan, and returns their addresses.
pub(super) async fn start_all(
    plan: &Plan,
    record: &Arc<Record>,
) -> Result<Vec<SocketAddr>, EmulatorError> {
    let behavior = Arc::new(Behavior {
        work: plan.work,
        response_bytes: plan.response_bytes,
        hang_share: plan.hang_share,
        seed: plan.seed,
        record: Arc::clone(record),
    });
    let mut addresses = Vec::with_capacity(plan.servers);
    for server in 0..plan.servers {
        let listener = listen(server).await?;
        if let Ok(address) = listener.local_addr() {
            addresses.push(address);
        }
        tokio::spawn(accept(listener, server, Arc::clone(&behavior)));
    }
    Ok(addresses)
}

async fn listen(server: usize) -> Result<TcpListener, EmulatorError> {
    let (first, second) = ADDRESS_PREFIX;
    let third = (server / SERVERS_PER_OCTET) as u8;
    let fourth = (server % SERVERS_PER_OCTET + 1) as u8;
    let address = SocketAddr::from((Ipv4Addr::new(first, second, third, fourth), 0));
    TcpListener::bind(address)
        .await
        .map_err(|source| EmulatorError::Listen { address, source })
}

async fn accept(listener: TcpListener, server: usize, behavior: Arc<Behavior>) {
    let mut random = RandomStream::new(behavior.seed, StreamId::Servers, server);
    while let Ok((stream, _)) = listener.accept().await {
        let seed = random.next_u64();
        let connection_random = RandomStream::new(seed, StreamId::Servers, server);
        tokio::spawn(serve(stream, connection_random, Arc::clone(&behavior)));
    }
}

async fn serve(stream: TcpStream, mut random: RandomStream, behavior: Arc<Behavior>) {
    let mut connection = HttpConnection::new(stream);
    while let Ok(request) = connection.read_request().await {
        let response = if CHECK_PATHS.contains(&request.target.as_str()) {
            format_response("200 OK", "", LOAD_REPORT)
        } else {
            execute(&request, &mut random, &behavior).await
        };
        if connection.write(&response).await.is_err() {
            return;
        }
    }
}

/// Works on a request; never returns if the request is left without a response.
async fn execute(request: &Message, random: &mut RandomStream, behavior: &Behavior) -> String {
    let id = request.header("x-request-id").unwrap_or_default();
    behavior.record.on_executed(id);
    if random.bernoulli(behavior.hang_share) {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(behavior.work).await;
    let body = response_body(id);
    format_response(
        "200 OK",
        "",
        &format!("{body:<width$}", width = behavior.response_bytes),
    )
}

/// The beginning of the body of the response to the request with this id.
pub(super) fn response_body(id: impl std::fmt::Display) -> String {
    format!("served {id}")
}
