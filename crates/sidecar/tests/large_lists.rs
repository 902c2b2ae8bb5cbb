//! Full endpoint lists of the largest fleet: while the sidecar receives, reads and applies one, it
//! answers its clients.

mod support;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use arrowstand_balancer::EndpointStatus;
use arrowstand_platform::{EndpointList, ListKind, ListedEndpoint, SkippedEntries};

use support::recording::Step;
use support::{Harness, wait_for};

/// The platform's bound on the number of servers.
const LARGEST_FLEET: usize = 3_200;
/// The platform counts a request as lost if its response comes later than this after its time, so
/// the sidecar must not leave any client without an answer for longer.
const LONGEST_WAIT: Duration = Duration::from_millis(500);
/// A full list of this number of servers.
fn list(servers: usize) -> EndpointList {
    let server = |n: usize| ListedEndpoint {
        id: format!("s-{n:08x}"),
        address: SocketAddr::from(([127, 7, (n / 200) as u8, (n % 200) as u8], 9)),
        zone: "z0".to_owned(),
        cell: 0,
        machine_type: "std-3".to_owned(),
        status: EndpointStatus::Ready,
        started_at: None,
    };
    EndpointList {
        revision: 9,
        kind: ListKind::Full,
        endpoints: (0..servers).map(server).collect(),
        skipped: SkippedEntries::default(),
    }
}

/// Starts a watch on which `list` then arrives in HTTP chunks of `chunk_bytes`.
fn send_on_a_watch(harness: &mut Harness, list: String, chunk_bytes: usize) {
    let discovery = |verb, text| Step {
        party: "D1",
        verb,
        text,
    };
    harness.step(discovery("read", ""));
    let head = "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n";
    harness.step(discovery("send", head));
    let mut stream = harness.duplicate_connection("D1");
    std::thread::spawn(move || {
        for chunk in list.as_bytes().chunks(chunk_bytes) {
            let framed = [format!("{:x}\r\n", chunk.len()).as_bytes(), chunk, b"\r\n"].concat();
            // The sidecar is killed when the test has failed.
            if stream.write_all(&framed).is_err() {
                return;
            }
        }
    });
}

/// The counters of the sidecar.
///
/// # Panics
/// If they do not arrive within [`LONGEST_WAIT`].
fn counters(client: &mut TcpStream) -> String {
    let request = b"GET /counters HTTP/1.1\r\nHost: n\r\n\r\n";
    client.write_all(request).expect("request is sent");
    let mut response = [0; 4096];
    let length = client
        .read(&mut response)
        .expect("the sidecar answers within the longest wait");
    String::from_utf8_lossy(&response[..length]).into_owned()
}

/// Sends the list and requests the counters again and again until the list has been applied.
fn assert_answers_while_receiving(name: &str, list: String, chunk_bytes: usize) {
    let mut harness = Harness::start(name, "servers=1");
    let mut client = TcpStream::connect(harness.listen_address()).expect("client connects");
    client
        .set_read_timeout(Some(LONGEST_WAIT))
        .expect("timeout is set");
    send_on_a_watch(&mut harness, list, chunk_bytes);
    wait_for("the list to be applied", || {
        // The first update is the cached list.
        counters(&mut client)
            .contains("endpoint_updates 2")
            .then_some(())
    });
}

/// Guards against framing whose work grows with the square of the list: the sidecar stood still for
/// over 5 s, and clients got no final answer in time.
#[test]
fn clients_are_answered_while_a_large_indented_list_arrives() {
    let list = format!("{:#}\n", list(LARGEST_FLEET).to_json());
    assert_answers_while_receiving("large-indented-list", list, usize::MAX);
}

/// Guards against a search for the end of the line that begins anew with each piece of the line.
#[test]
fn clients_are_answered_while_a_large_list_arrives_on_one_line_in_small_pieces() {
    let list = format!("{}\n", list(LARGEST_FLEET).to_json());
    assert_answers_while_receiving("large-list-in-pieces", list, 100);
}
