//! Crowds: clients that hold connections, memory and turns of the sidecar, each in its own way, and
//! connect again as soon as their connection ends.

use std::fmt::Write as _;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

use super::exchange::{ConnectionState, OutgoingRequest, exchange};
use super::plan::{CrowdKind, CrowdPlan, Plan};
use super::process::Sidecar;
use super::record::{ConnectionUse, Record, RequestId, Sender};
use super::request::{RequestClass, head_fields, sized_head};
use crate::emulator::http::HttpConnection;

/// The longest body that the platform allows.
const LONGEST_BODY_BYTES: usize = 65_536;
/// Where an incomplete body stops.
const INCOMPLETE_BODY_BYTES: usize = 65_000;
/// Time for which a client of the crowd waits for a response.
const CROWD_TIMEOUT: Duration = Duration::from_secs(3);
/// Length of one piece of a body that is written slowly, and the pause after it.
const SLOW_PIECE: (usize, Duration) = (1_000, Duration::from_millis(20));
/// Short fields of a head: how many there are, how many are written at once, and the pause.
const SHORT_FIELDS: (usize, usize, Duration) = (80, 4, Duration::from_millis(40));
/// Lengths of heads with one long field that does not end: beyond every limit, and within.
const LONG_HEAD_BYTES: [usize; 2] = [100_000, 30_000];
/// Length of one chunk of a chunked body.
const CHUNK_BYTES: usize = 8_000;
/// Requests behind one that is in flight.
const PIPELINED_REQUESTS: usize = 3_000;
/// Time for which a client does not read its response.
const UNREAD_TIME: Duration = Duration::from_millis(2_500);
/// Pause of a client that was refused a connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Requests of a flooding client on one connection.
const FLOOD_REQUESTS: usize = 200;
/// A request without the fields that the platform requires.
const UNSOUND_REQUEST: &str = "GET /api HTTP/1.1\r\nHost: soak\r\n\r\n";

/// One client of a crowd.
struct CrowdClient {
    kind: CrowdKind,
    sidecar: Arc<Sidecar>,
    record: Arc<Record>,
}

/// Starts the crowd of the plan, if there is one; the task ends with the crowd.
pub(super) fn start(plan: &Plan, sidecar: &Arc<Sidecar>, record: &Arc<Record>) -> JoinHandle<()> {
    let crowd = plan.crowd;
    let sidecar = Arc::clone(sidecar);
    let record = Arc::clone(record);
    tokio::spawn(async move {
        if let Some(crowd) = crowd {
            tokio::time::sleep(crowd.starts_at).await;
            play(crowd, &sidecar, &record).await;
        }
    })
}

async fn play(crowd: CrowdPlan, sidecar: &Arc<Sidecar>, record: &Arc<Record>) {
    let end = Instant::now() + crowd.lasts;
    let mut clients = JoinSet::new();
    for number in 0..crowd.clients {
        let client = CrowdClient {
            kind: kind_of(crowd.kind, number),
            sidecar: Arc::clone(sidecar),
            record: Arc::clone(record),
        };
        clients.spawn(client.stay_until(end));
    }
    while clients.join_next().await.is_some() {}
}

/// What the client with this number does in a crowd of this kind.
fn kind_of(crowd: CrowdKind, number: usize) -> CrowdKind {
    match crowd {
        CrowdKind::Mixed => CrowdKind::SINGLE[number % CrowdKind::SINGLE.len()],
        // One client floods; a crowd of them would only take each other's turns.
        CrowdKind::Flood if number > 0 => CrowdKind::SlowBodies,
        single => single,
    }
}

impl CrowdClient {
    /// Connects again and again.
    async fn stay_until(self, end: Instant) {
        while Instant::now() < end {
            self.sidecar.wait_until_connectable().await;
            match TcpStream::connect(self.sidecar.address).await {
                Ok(stream) => {
                    let mut connection = HttpConnection::new(stream);
                    let _ = self.use_connection(&mut connection, end).await;
                    connection.reset_on_close();
                }
                Err(_) => tokio::time::sleep(RECONNECT_PAUSE).await,
            }
        }
    }

    /// Sends what clients of this kind send, and stays until the sidecar ends the connection.
    async fn use_connection(
        &self,
        connection: &mut HttpConnection,
        end: Instant,
    ) -> io::Result<()> {
        match self.kind {
            CrowdKind::WholeBodies => {
                self.send_whole_bodies(connection, end).await;
                return Ok(());
            }
            CrowdKind::UnreadResponses => {
                let request = short_request(self.record.next_id());
                connection.write(&request).await?;
                tokio::time::sleep(UNREAD_TIME).await;
                return Ok(());
            }
            CrowdKind::Flood => self.flood(connection).await?,
            kind => write_incomplete(connection, kind, self.record.next_id()).await?,
        }
        while connection.read_response().await.is_ok() {}
        Ok(())
    }

    async fn flood(&self, connection: &mut HttpConnection) -> io::Result<()> {
        for _ in 0..FLOOD_REQUESTS {
            let request = short_request(self.record.next_id());
            connection.write(&request).await?;
            connection.write(UNSOUND_REQUEST).await?;
        }
        Ok(())
    }

    /// Sends complete requests on one connection, until it ends; their responses are owed.
    async fn send_whole_bodies(&self, connection: &mut HttpConnection, end: Instant) {
        let mut state = ConnectionState::Open;
        let mut connection_use = ConnectionUse::New;
        while state == ConnectionState::Open && Instant::now() < end {
            let request = OutgoingRequest {
                id: self.record.next_id(),
                sender: Sender::Crowd,
                connection: connection_use,
                class: RequestClass::NonIdempotent,
                timeout: CROWD_TIMEOUT,
                body_bytes: LONGEST_BODY_BYTES,
            };
            state = exchange(connection, request, &self.record).await;
            connection_use = ConnectionUse::Reused;
        }
    }
}

/// Writes input that no response can end, or that is more than one request.
async fn write_incomplete(
    connection: &mut HttpConnection,
    kind: CrowdKind,
    id: RequestId,
) -> io::Result<()> {
    match kind {
        CrowdKind::SlowBodies => {
            connection.write(&body_head(id)).await?;
            write_slowly(connection).await
        }
        CrowdKind::ManyFields => write_short_fields(connection, id).await,
        CrowdKind::LongHeads => {
            let fields = head_fields(RequestClass::NonIdempotent, id, CROWD_TIMEOUT);
            let [longer, shorter] = LONG_HEAD_BYTES;
            let long_field = "a".repeat(if id.0 % 2 == 0 { longer } else { shorter });
            connection
                .write(&format!("{fields}X-Long: {long_field}"))
                .await
        }
        CrowdKind::ChunkedBodies => write_chunks(connection, id).await,
        CrowdKind::Pipelined => {
            let behind = UNSOUND_REQUEST.repeat(PIPELINED_REQUESTS);
            connection.write(&(short_request(id) + &behind)).await
        }
        _ => {
            connection.write(&body_head(id)).await?;
            connection.write(&"b".repeat(INCOMPLETE_BODY_BYTES)).await
        }
    }
}

/// The head of a request with the longest body.
fn body_head(id: RequestId) -> String {
    sized_head(
        RequestClass::NonIdempotent,
        id,
        CROWD_TIMEOUT,
        LONGEST_BODY_BYTES,
    )
}

fn short_request(id: RequestId) -> String {
    sized_head(RequestClass::Idempotent, id, CROWD_TIMEOUT, 0)
}

async fn write_slowly(connection: &mut HttpConnection) -> io::Result<()> {
    let (piece_bytes, pause) = SLOW_PIECE;
    let piece = "b".repeat(piece_bytes);
    for _ in 0..INCOMPLETE_BODY_BYTES / piece_bytes {
        connection.write(&piece).await?;
        tokio::time::sleep(pause).await;
    }
    Ok(())
}

async fn write_short_fields(connection: &mut HttpConnection, id: RequestId) -> io::Result<()> {
    let (count, at_once, pause) = SHORT_FIELDS;
    let fields = head_fields(RequestClass::NonIdempotent, id, CROWD_TIMEOUT);
    connection.write(&fields).await?;
    for field in 0..count / at_once {
        let mut text = String::new();
        for part in 0..at_once {
            let _ = write!(text, "x{field}-{part}: 1\r\n");
        }
        connection.write(&text).await?;
        tokio::time::sleep(pause).await;
    }
    Ok(())
}

async fn write_chunks(connection: &mut HttpConnection, id: RequestId) -> io::Result<()> {
    let fields = head_fields(RequestClass::NonIdempotent, id, CROWD_TIMEOUT);
    connection
        .write(&format!("{fields}Transfer-Encoding: chunked\r\n\r\n"))
        .await?;
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "c".repeat(CHUNK_BYTES));
    for _ in 0..INCOMPLETE_BODY_BYTES / CHUNK_BYTES {
        connection.write(&chunk).await?;
    }
    Ok(())
}
